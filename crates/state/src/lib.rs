//! A durable key-value state service that speaks the protocol that oatloom's controllers expect.
//!
//! The keyspace is held in memory. Changes are made durable by a write-ahead log; snapshots limit its
//! length.
//! The core is deterministic: [`engine::Engine`] turns `(event, now)` into actions. [`wal`] and [`recovery`]
//! write and read files through [`disk::Disk`], so that tests can simulate a crash between any two operations.
//! Threads, sockets and the clock are confined to [`service`].

pub mod api;
pub mod constants;
pub mod disk;
pub mod engine;
pub mod keyspace;
pub mod rate_limiter;
pub mod records;
pub mod recovery;
pub mod service;
pub mod settings;
pub mod snapshots;
pub mod wal;
