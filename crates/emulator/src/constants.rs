//! Constants of the emulator.

use oatloom_protocol::ids::Millis;

/// Interval between two steps of the machines: an eighth of the shortest time in the protocol.
pub const STEP_INTERVAL_MS: Millis = Millis(25);
/// Interval at which the cloud takes a snapshot of its machine list and the checker looks for tasks of
/// cancelled jobs.
pub const LIST_SNAPSHOT_INTERVAL_MS: Millis = Millis(250);
/// Timeout of a report (protocol).
pub const REPORT_TIMEOUT_MS: Millis = Millis(4_000);
/// Threads that forward requests of one controller to one service: a controller has at most 11 calls to the
/// state service and 3 to the cloud in flight.
pub const PROXY_THREAD_COUNT: usize = 14;
/// Timeout of a forwarded request: a watch stays open for 10 s.
pub const PROXY_TIMEOUT_MS: Millis = Millis(15_000);
/// Requests that may wait in the queue of a proxy.
pub const MAX_QUEUED_REQUESTS: usize = 64;
/// Maximum size of a forwarded response.
pub const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum number of connections to a proxy, to the cloud, and to a worker.
pub const MAX_CONNECTIONS: usize = 256;
/// Time until the connection of an unanswered request is closed: longer than any caller waits.
pub const SILENT_CLOSE_DELAY_MS: Millis = Millis(16_000);
/// Maximum duration of a fault: 12 hours, so that it can last a whole night.
pub const MAX_FAULT_DURATION_S: f64 = 43_200.0;
/// Maximum delay that a fault can set, in milliseconds.
pub const MAX_FAULT_DELAY_MS: f64 = 60_000.0;
/// Default share of the requests that a fault affects.
pub const DEFAULT_FAULT_SHARE: f64 = 0.3;
/// Default delay that a fault adds to answers, in milliseconds.
pub const DEFAULT_SLOW_DELAY_MS: f64 = 300.0;
/// Default delay until a late request is executed, in milliseconds.
pub const DEFAULT_LATE_DELAY_MS: f64 = 6_000.0;
/// Default duration of a fault, in seconds.
pub const DEFAULT_FAULT_DURATION_S: f64 = 5.0;
/// Time from the preemption notice of a spot machine until the cloud takes it back, in milliseconds.
pub const SPOT_NOTICE_MS: u64 = 5_000;
/// Maximum number of connections of one link between controllers. A controller keeps one open and opens a new
/// one after a partition.
pub const MAX_LINK_CONNECTIONS: usize = 32;
/// Buffer size for forwarding on such a link.
pub const LINK_BUFFER_BYTES: usize = 16 * 1024;
/// Time after which a worker stops waiting for the answer to a report, in milliseconds (protocol).
pub const WORKER_ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Delay before a worker that was redirected reports to the leader, in milliseconds (protocol).
pub const REDIRECT_RETRY_DELAY_MS: u64 = 200;
/// Factor on the boot time of a late machine: the protocol says several times the usual.
pub const LATE_BOOT_FACTOR: u64 = 4;
