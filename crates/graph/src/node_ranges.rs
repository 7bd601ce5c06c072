//! Compact lists of nodes: ranges of consecutive ones.

use crate::ids::NodeId;
use serde::{Deserialize, Serialize};

/// Nodes in ascending order, as pairs of the first node of a range and the range's length.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeRanges(Vec<(u32, u32)>);

impl NodeRanges {
    /// Encodes nodes in ascending order into at most `max_count` ranges. Also returns how many of the nodes fit.
    pub fn from_nodes(nodes: &[NodeId], max_count: usize) -> (Self, usize) {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for (taken, node) in nodes.iter().enumerate() {
            let is_full = ranges.len() == max_count;
            match ranges.last_mut() {
                Some((first, length)) if first.checked_add(*length) == Some(node.0) => *length += 1,
                _ if is_full => return (Self(ranges), taken),
                _ => ranges.push((node.0, 1)),
            }
        }
        (Self(ranges), nodes.len())
    }

    /// The number of nodes; saturates, since a damaged record may contain any numbers.
    pub fn len(&self) -> usize {
        self.0.iter().fold(0usize, |sum, (_, length)| sum.saturating_add(*length as usize))
    }

    /// Whether the list contains no node.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The node at a position of the list.
    pub fn get(&self, position: usize) -> Option<NodeId> {
        let mut remaining = u32::try_from(position).ok()?;
        for (first, length) in &self.0 {
            if remaining < *length {
                return first.checked_add(remaining).map(NodeId);
            }
            remaining -= length;
        }
        None
    }

    /// The nodes, at most `max_count` of them.
    pub fn iter(&self, max_count: usize) -> impl Iterator<Item = NodeId> + '_ {
        let range_nodes = |(first, length): &(u32, u32)| {
            let last = length.checked_sub(1).map(|rest| first.saturating_add(rest));
            let first = *first;
            last.into_iter().flat_map(move |last| first..=last).map(NodeId)
        };
        self.0.iter().flat_map(range_nodes).take(max_count)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_round_trip() {
        let nodes: Vec<NodeId> = [3, 4, 5, 9, 11, 12].map(NodeId).to_vec();
        let (ranges, taken) = NodeRanges::from_nodes(&nodes, 10);
        assert_eq!((taken, ranges.len()), (6, 6));
        assert_eq!(ranges.iter(99).collect::<Vec<_>>(), nodes);
        assert_eq!((ranges.get(3), ranges.get(6)), (Some(NodeId(9)), None));
        let (short, taken) = NodeRanges::from_nodes(&nodes, 2);
        assert_eq!((taken, short.get(3)), (4, Some(NodeId(9))));
        let broken: NodeRanges = serde_json::from_str("[[4294967295,9],[0,4294967295]]").unwrap();
        assert!(broken.iter(20).count() <= 20 && broken.get(5).is_none());
    }

    /// Guards against steps through billions of numbers that are no nodes, on the thread that decides, for a damaged record.
    #[test]
    fn a_range_ends_with_the_largest_node() {
        let (ended, has_ended) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let broken = NodeRanges(vec![(u32::MAX, u32::MAX); 1_000]);
            ended.send(broken.iter(2_000).count())
        });
        assert_eq!(has_ended.recv_timeout(std::time::Duration::from_secs(30)), Ok(1_000));
        let none = NodeRanges(vec![(7, 0), (u32::MAX, 0)]);
        assert_eq!(none.iter(20).count(), 0);
    }
}
