//! What controllers say to each other: a question about a job or a worker's report for the leader,
//! and its answer.

use crate::api::{Request, Submission};
use crate::notes::Notes;
use oatloom_graph::requests::Ask;
use oatloom_membership::Gossip;
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{JobSpec, Report};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    View(JobId),
    Abort(JobId),
    /// A submission that the state service does not take from the controller which it reached.
    Submit(Box<JobSpec>),
    /// A worker's report that could not reach the leader directly.
    Report(Box<Report>),
    /// Not a question: what the leader has learnt and the next one would miss.
    Notes(Box<Notes>),
    /// What a client of graphs asks.
    Graph(Box<Ask>),
    /// Not a question either: who is there, said to those who have heard nothing for a while. Only to those who speak
    /// so themselves: earlier versions would not understand it.
    Greet(Box<Gossip>),
}

impl From<Question> for Request {
    fn from(question: Question) -> Self {
        match question {
            Question::View(job) => Self::View(job),
            Question::Abort(job) => Self::Abort(job),
            Question::Submit(spec) => Self::Submit(Submission::Spec(spec)),
            Question::Report(report) => Self::Report(report),
            Question::Notes(notes) => Self::Notes(notes),
            Question::Graph(ask) => Self::Graph(ask),
            Question::Greet(gossip) => Self::Greet(gossip),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub id: u64,
    pub question: Question,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub id: u64,
    pub reply: HttpReply,
}
