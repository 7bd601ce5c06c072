//! Names of graphs, and the ids of the jobs that run their nodes.

use crate::constants::{GRAPH_NUMBER_END, JOB_SEQ_END};
use oatloom_protocol::ids::JobId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A graph, by the number that its client chose.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GraphId(u64);

impl GraphId {
    /// Reads `graph-` and up to ten digits; leading zeros do not matter.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("graph-")?;
        let fits = (1..=10).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        let number = fits.then(|| digits.parse().ok()).flatten()?;
        (number < GRAPH_NUMBER_END).then_some(Self(number))
    }

    /// From the ten digits in a key.
    pub fn of_digits(digits: &str) -> Option<Self> {
        (digits.len() == 10).then(|| Self::parse(&format!("graph-{digits}"))).flatten()
    }

    /// Ten digits, as keys have them: graphs are listed in the order of their numbers.
    pub fn digits(self) -> String {
        format!("{:010}", self.0)
    }

    /// The id of the graph's job with this number. No two jobs of any graph ever have the same.
    pub fn job(self, seq: Seq) -> JobId {
        JobId::new(&format!("req-9{:010}{:09}", self.0, seq.0))
    }

    /// The graph and the number of a job that runs nodes.
    pub fn of_job(id: &JobId) -> Option<(Self, Seq)> {
        let digits = id.as_str().strip_prefix("req-9").filter(|digits| digits.len() == 19)?;
        let (graph, seq) = digits.split_at_checked(10)?;
        Some((Self(graph.parse().ok()?), Seq(seq.parse().ok()?)))
    }

    /// The least and the greatest id that a job of it may have.
    pub fn first_job(self) -> JobId {
        self.job(Seq(0))
    }

    pub fn last_job(self) -> JobId {
        self.job(Seq(JOB_SEQ_END - 1))
    }

    /// Whether a job's id is of the form that only graphs may use.
    pub fn reserved(id: &JobId) -> bool {
        Self::of_job(id).is_some()
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
        Self::parse(&text).ok_or_else(|| "a graph's id is `graph-` and up to ten digits".to_owned())
    }
}

impl From<GraphId> for String {
    fn from(id: GraphId) -> Self {
        id.to_string()
    }
}

/// Number of a job within its graph, from 0 on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Seq(pub u64);

impl Seq {
    /// The number after this one, unless the digits of an id are used up.
    pub fn next(self) -> Option<Self> {
        (self.0 + 1 < JOB_SEQ_END).then_some(Self(self.0 + 1))
    }
}

/// A node, by its place in the order in which the graph grew; what it needs has a lower one.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct NodeIx(pub u32);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn jobs_of_graphs_are_told_from_others() {
        let graph = GraphId::parse("graph-0042").unwrap();
        assert_eq!(graph.to_string(), "graph-42");
        let job = graph.job(Seq(7));
        assert_eq!(job.as_str(), "req-90000000042000000007");
        assert_eq!(GraphId::of_job(&job), Some((graph, Seq(7))));
        assert!(JobId::parse(job.as_str()).is_some(), "the protocol takes it");
        assert!(!GraphId::reserved(&JobId::new("req-900000000420000007")));
        for bad in ["graph-", "graph-12345678901", "graph-1a", "graph--1", "g-1", "graph-+1"] {
            assert_eq!(GraphId::parse(bad), None, "{bad}");
        }
        assert_eq!(Seq(JOB_SEQ_END - 1).next(), None);
    }
}
