//! Messages between controllers: a request about a job or a worker's report for the leader, a
//! one-way message, and the response.

use crate::api::{Request, Submission};
use crate::leader_hints::LeaderHints;
use oatloom_graph::requests::GraphRequest;
use oatloom_membership::Gossip;
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{JobSpec, Report};
use serde::{Deserialize, Serialize};

/// A message from one controller to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reads the state of a job.
    View(JobId),
    /// Cancels a job.
    Abort(JobId),
    /// A submission that the state service refused from the controller that received it.
    Submit(Box<JobSpec>),
    /// A report of a worker that cannot reach the leader directly.
    Report(Box<Report>),
    /// One-way: hints from the leader that the next leader would otherwise lack.
    #[serde(rename = "Notes")]
    LeaderHints(Box<LeaderHints>),
    /// A request from a client of graphs.
    Graph(Box<GraphRequest>),
    /// One-way: gossip about which controllers are alive, for peers that have received nothing for
    /// a while. Sent only to peers that send it themselves, since earlier versions cannot decode
    /// it.
    #[serde(rename = "Greet")]
    Gossip(Box<Gossip>),
}

impl From<PeerRequest> for Request {
    fn from(request: PeerRequest) -> Self {
        match request {
            PeerRequest::View(job) => Self::View(job),
            PeerRequest::Abort(job) => Self::Abort(job),
            PeerRequest::Submit(spec) => Self::Submit(Submission::Spec(spec)),
            PeerRequest::Report(report) => Self::Report(report),
            PeerRequest::LeaderHints(hints) => Self::LeaderHints(hints),
            PeerRequest::Graph(request) => Self::Graph(request),
            PeerRequest::Gossip(gossip) => Self::Gossip(gossip),
        }
    }
}

/// A message with the id that its response carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerRequestFrame {
    pub id: u64,
    #[serde(rename = "question")]
    pub request: PeerRequest,
}

/// The response to the message with the same id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReplyFrame {
    pub id: u64,
    pub reply: HttpReply,
}
