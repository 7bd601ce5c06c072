//! Newtypes used by every crate: identifiers, counters and points in time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! string_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
        $(#[$doc])*
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_newtype!(
    /// The id of a job, chosen by its user.
    #[cfg_attr(feature = "schema", schemars(extend("pattern" = "^req-[0-9]{1,20}$")))]
    JobId
);
string_newtype!(
    /// The id of a rented machine, assigned by the cloud.
    HostId
);
string_newtype!(
    /// The name of a controller.
    Member
);
string_newtype!(
    /// The name of a zone in the region.
    Zone
);

impl JobId {
    /// Parses a job id: `req-` and 1 to 20 decimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("req-")?;
        let valid = (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        valid.then(|| Self::new(text))
    }
}

macro_rules! counter_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        #[derive(
            Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize, Deserialize,
        )]
        #[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
        $(#[$doc])*
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_newtype!(
    /// Fencing token: the revision at which the leader key was created, or the key of a share's owner last written.
    Token
);
counter_newtype!(
    /// Distinguishes the starts of a task.
    Attempt
);
counter_newtype!(
    /// A worker's session; a new one begins whenever the worker's lease has expired.
    #[cfg_attr(feature = "schema", schemars(rename = "Shift"))]
    WorkerSession
);
counter_newtype!(
    /// Sequence number of a report within a worker session.
    #[cfg_attr(feature = "schema", schemars(rename = "Tally"))]
    ReportSeq
);
counter_newtype!(
    /// A revision of the state service.
    Revision
);
counter_newtype!(
    /// The id of a lease of the state service.
    LeaseId
);

/// One task of a job.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    pub fn new(job: &JobId, index: u32) -> Self {
        Self { job: job.clone(), index }
    }

    /// Parses the form `req-000412/3`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A duration in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Millis(pub u64);

impl Millis {
    pub fn from_secs(secs: f64) -> Self {
        Self((secs.max(0.0) * 1000.0).round() as u64)
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// A point in time on this process's monotonic clock, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Mono(pub u64);

impl Mono {
    pub fn plus(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    pub fn since(self, earlier: Mono) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// Both clocks, read once when the handling of an event begins.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub mono: Mono,
    /// Unix time in milliseconds; only for times that outlive the process.
    pub wall_ms: u64,
}
