//! Ids of graphs and nodes, and of the jobs that run the nodes.

use crate::constants::{GRAPH_NUMBER_END, JOB_SEQ_END};
use oatloom_protocol::ids::JobId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Id of a graph: a number chosen by its client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GraphId(u64);

impl GraphId {
    /// Parses `graph-` and up to ten digits; leading zeros are ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("graph-")?;
        let fits = (1..=10).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        let number = fits.then(|| digits.parse().ok()).flatten()?;
        (number < GRAPH_NUMBER_END).then_some(Self(number))
    }

    /// Parses the ten digits of a record's key.
    pub fn from_digits(digits: &str) -> Option<Self> {
        (digits.len() == 10).then(|| Self::parse(&format!("graph-{digits}"))).flatten()
    }

    /// Formats the number with ten digits, so that keys sort by number.
    pub fn digits(self) -> String {
        format!("{:010}", self.0)
    }

    /// The id of the graph's job with this sequence number; unique across all graphs.
    pub fn job(self, seq: JobSeq) -> JobId {
        JobId::new(&format!("req-9{:010}{:09}", self.0, seq.0))
    }

    /// The graph and sequence number of a job that runs nodes.
    pub fn from_job_id(id: &JobId) -> Option<(Self, JobSeq)> {
        let digits = id.as_str().strip_prefix("req-9").filter(|digits| digits.len() == 19)?;
        let (graph, seq) = digits.split_at_checked(10)?;
        Some((Self(graph.parse().ok()?), JobSeq(seq.parse().ok()?)))
    }

    /// The smallest id that a job of the graph may have.
    pub fn first_job(self) -> JobId {
        self.job(JobSeq(0))
    }

    /// The largest id that a job of the graph may have.
    pub fn last_job(self) -> JobId {
        self.job(JobSeq(JOB_SEQ_END - 1))
    }

    /// Whether a job's id has the form that is reserved for jobs of graphs.
    pub fn is_reserved(id: &JobId) -> bool {
        Self::from_job_id(id).is_some()
    }
}

impl fmt::Display for GraphId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "graph-{}", self.0)
    }
}

impl TryFrom<String> for GraphId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        Self::parse(&text)
            .ok_or_else(|| "a graph id consists of `graph-` and up to ten digits".to_owned())
    }
}

impl From<GraphId> for String {
    fn from(id: GraphId) -> Self {
        id.to_string()
    }
}

/// Sequence number of a job within its graph, starting from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct JobSeq(pub u64);

impl JobSeq {
    /// The next number; `None` if it would not fit into the digits of an id.
    pub fn next(self) -> Option<Self> {
        (self.0 + 1 < JOB_SEQ_END).then_some(Self(self.0 + 1))
    }
}

/// Id of a node within its graph: its position in the order of addition. Its inputs have lower ones.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct NodeId(pub u32);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn job_ids_of_graphs_are_distinguished_from_others() {
        let graph = GraphId::parse("graph-0042").unwrap();
        assert_eq!(graph.to_string(), "graph-42");
        let job = graph.job(JobSeq(7));
        assert_eq!(job.as_str(), "req-90000000042000000007");
        assert_eq!(GraphId::from_job_id(&job), Some((graph, JobSeq(7))));
        assert!(JobId::parse(job.as_str()).is_some(), "the protocol takes it");
        assert!(!GraphId::is_reserved(&JobId::new("req-900000000420000007")));
        for invalid in ["graph-", "graph-12345678901", "graph-1a", "graph--1", "g-1", "graph-+1"] {
            assert_eq!(GraphId::parse(invalid), None, "{invalid}");
        }
        assert_eq!(JobSeq(JOB_SEQ_END - 1).next(), None);
    }
}
