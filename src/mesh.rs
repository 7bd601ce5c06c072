//! What controllers say to each other: a question about a job or a worker's report for the leader,
//! and its answer.

use crate::api::HttpReply;
use crate::constants::NOTES_MACHINES_KEPT;
use crate::types::{HostId, JobId, Member, Token};
use crate::wire::{JobSpec, Report};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::io::{Read, Write};

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
}

/// What a leader knows beyond the store. Losing it costs time, never a rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notes {
    pub token: Token,
    /// Who leads with that token.
    #[serde(default)]
    pub leader: Option<Member>,
    /// Images that machines have, with their sizes.
    pub images: Vec<(HostId, Vec<(String, f64)>)>,
    /// By how much each class's run times are misjudged.
    pub shown: Vec<(String, f64)>,
    /// For each class its latest job, and how long ago (ms) its jobs came.
    pub arrivals: Vec<(JobSpec, Vec<u64>)>,
}

impl Notes {
    /// News, with what the same leader told of other machines before. It tells of a part of the
    /// fleet at a time, so that a note's size does not grow with the fleet.
    pub fn joined(told: Option<Self>, mut news: Self) -> Self {
        let Some(mut told) = told.filter(|told| told.token == news.token) else { return news };
        let known: HashSet<HostId> = news.images.iter().map(|(host, _)| host.clone()).collect();
        told.images.retain(|(host, _)| !known.contains(host));
        let room = NOTES_MACHINES_KEPT.saturating_sub(news.images.len());
        let from = told.images.len().saturating_sub(room);
        news.images.splice(..0, told.images.drain(from..));
        news
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

/// Longest frame taken in; answers are far smaller.
const MOST_BYTES: usize = 256 * 1024;

/// A frame: length in four bytes, then CBOR.
pub fn write_frame(out: &mut impl Write, message: &impl Serialize) -> std::io::Result<()> {
    let mut frame = vec![0; 4];
    ciborium::into_writer(message, &mut frame).map_err(std::io::Error::other)?;
    let length = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    out.write_all(&frame)
}

pub fn read_frame<T: serde::de::DeserializeOwned>(input: &mut impl Read) -> std::io::Result<T> {
    let mut length = [0; 4];
    input.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MOST_BYTES {
        return Err(std::io::Error::other("frame too long"));
    }
    let mut frame = vec![0; length];
    input.read_exact(&mut frame)?;
    ciborium::from_reader(frame.as_slice()).map_err(std::io::Error::other)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Notes of parts of a fleet add up, within a bound, and a new leader's replace them: the
    /// whole fleet in one note outgrew a frame.
    #[test]
    fn notes_of_parts_add_up_to_a_bound() {
        let note = |token, hosts: std::ops::Range<usize>| Notes {
            token: Token(token),
            images: hosts.map(|n| (HostId::new(&format!("i-{n:06}")), Vec::new())).collect(),
            ..Notes::default()
        };
        let told = Notes::joined(Some(note(1, 0..100)), note(1, 50..200));
        assert_eq!(told.images.len(), 200);
        let told = Notes::joined(Some(told), note(1, 200..2 * NOTES_MACHINES_KEPT));
        assert!(told.images.len() >= NOTES_MACHINES_KEPT);
        let told = Notes::joined(Some(note(1, 0..NOTES_MACHINES_KEPT)), note(1, 0..90));
        assert_eq!(told.images.len(), NOTES_MACHINES_KEPT);
        assert_eq!(Notes::joined(Some(told), note(2, 0..3)).images.len(), 3);
    }

    #[test]
    fn frames_survive_the_trip_and_long_ones_are_refused() {
        let asked = Asked { id: 7, question: Question::Abort(JobId::new("req-1")) };
        let mut wire = Vec::new();
        write_frame(&mut wire, &asked).unwrap();
        assert_eq!(read_frame::<Asked>(&mut wire.as_slice()).unwrap(), asked);
        assert!(read_frame::<Asked>(&mut &wire[..wire.len() - 1]).is_err());
        assert!(read_frame::<Asked>(&mut &[0xff; 8][..]).is_err());
    }
}
