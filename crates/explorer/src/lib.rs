//! A breadth-first model checker for small models: it explores all interleavings, so the first counterexample
//! found is a shortest one. Of each known state only a 128-bit digest and the step that first reached it are
//! stored; full states are kept only for the level that is being explored and the next one.

pub mod constants;

use constants::{CHUNK_STATE_COUNT, THREAD_COUNT};
use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash, Hasher};

/// A model to explore: its states, the steps between them, and the invariants.
pub trait Model: Sync {
    /// A state of the whole model.
    type State: Clone + Hash + Send + Sync;
    /// A transition from one state to the next.
    type Step: Clone + Debug + PartialEq + Send;

    /// The initial state.
    fn initial_state(&self) -> Self::State;
    /// The steps to try in a state, always in the same order.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after a step; `None` if the step is not possible or changes nothing relevant.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Option<Self::State>;
    /// Describes the invariant that a state violates, if any.
    fn find_violation(&self, state: &Self::State) -> Option<String>;
}

/// Limits of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of distinct states after which the exploration ends; it still completes the current slice of
    /// the level.
    pub states: usize,
    /// Maximum number of steps from the initial state.
    pub depth: usize,
}

/// The steps from the initial state to a state that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample<Step> {
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// Description of the violated invariant.
    pub violation: String,
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Report<Step> {
    /// Number of distinct states found.
    pub states: usize,
    /// Number of steps tried, including those to known states.
    pub steps: usize,
    /// Largest distance of a found state from the initial state, in steps.
    pub depth: usize,
    /// Whether all reachable states were explored.
    pub is_complete: bool,
    /// A shortest path to a violation, if one was found.
    pub counterexample: Option<Counterexample<Step>>,
}

type Digest = u128;

/// Hashes a digest to its lower half: digests are already uniformly distributed.
#[derive(Default)]
struct DigestHasher(u64);

impl Hasher for DigestHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, _bytes: &[u8]) {
        unreachable!("only digests are hashed with this hasher");
    }

    fn write_u128(&mut self, digest: u128) {
        self.0 = digest as u64;
    }
}

fn compute_digest(state: &impl Hash) -> Digest {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let hash_with_salt = |salt: u64| u128::from(hasher.hash_one((salt, state)));
    hash_with_salt(1) << 64 | hash_with_salt(2)
}

/// How a state was first reached: the state before it and the index of the step.
#[derive(Clone, Copy)]
struct Predecessor {
    previous: Digest,
    step: u16,
}

/// A state reached by one step.
struct Successor<State> {
    state: State,
    digest: Digest,
    predecessor: Predecessor,
    violation: Option<String>,
}

/// Explores the states that are reachable within the bounds, up to the first one that violates an invariant.
pub fn explore<M: Model>(model: &M, bounds: Bounds) -> Report<M::Step> {
    let start = model.initial_state();
    let root = compute_digest(&start);
    let mut known: HashMap<Digest, Predecessor, BuildHasherDefault<DigestHasher>> =
        HashMap::default();
    known.insert(root, Predecessor { previous: root, step: 0 });
    let mut report =
        Report { states: 1, steps: 0, depth: 0, is_complete: false, counterexample: None };
    if let Some(violation) = model.find_violation(&start) {
        report.counterexample = Some(Counterexample { steps: Vec::new(), violation });
        return report;
    }
    let mut level = vec![(start, root)];
    while !level.is_empty() && report.depth < bounds.depth && known.len() < bounds.states {
        let mut next_level = Vec::new();
        // In slices, so that memory holds the successors that are already known for at most one slice at a time.
        for slice in level.chunks(CHUNK_STATE_COUNT * THREAD_COUNT * 4) {
            for next in find_successors(model, slice, &mut report.steps) {
                if let std::collections::hash_map::Entry::Vacant(vacant) = known.entry(next.digest)
                {
                    vacant.insert(next.predecessor);
                    if let Some(violation) = next.violation {
                        let steps = reconstruct_steps(model, &known, root, next.digest);
                        report.states = known.len();
                        report.depth = steps.len();
                        report.counterexample = Some(Counterexample { steps, violation });
                        return report;
                    }
                    next_level.push((next.state, next.digest));
                }
            }
            // The next level would be too large to keep in memory.
            if known.len() >= bounds.states {
                break;
            }
        }
        if !next_level.is_empty() {
            report.depth += 1;
        }
        level = next_level;
    }
    report.states = known.len();
    report.is_complete = level.is_empty() && known.len() < bounds.states;
    report
}

/// The successors of the states in a slice of a level, in the order of the slice.
fn find_successors<M: Model>(
    model: &M,
    slice: &[(M::State, Digest)],
    total_steps: &mut usize,
) -> Vec<Successor<M::State>> {
    let expand = |part: &[(M::State, Digest)]| {
        let (mut found, mut step_count) = (Vec::new(), 0);
        for (state, previous) in part {
            for (index, step) in model.steps(state).iter().enumerate() {
                step_count += 1;
                let Some(after) = model.apply(state, step) else { continue };
                let digest = compute_digest(&after);
                let predecessor = Predecessor { previous: *previous, step: index as u16 };
                found.push(Successor {
                    violation: model.find_violation(&after),
                    state: after,
                    digest,
                    predecessor,
                });
            }
        }
        (found, step_count)
    };
    if slice.len() < CHUNK_STATE_COUNT {
        let (found, step_count) = expand(slice);
        *total_steps += step_count;
        return found;
    }
    let size = slice.len().div_ceil(THREAD_COUNT);
    std::thread::scope(|scope| {
        let parts: Vec<_> =
            slice.chunks(size).map(|part| scope.spawn(move || expand(part))).collect();
        let mut all = Vec::new();
        for part in parts {
            let (found, step_count) = part.join().expect("the model does not panic");
            *total_steps += step_count;
            all.extend(found);
        }
        all
    })
}

/// The steps from the initial state to a known state.
fn reconstruct_steps<M: Model>(
    model: &M,
    known: &HashMap<Digest, Predecessor, BuildHasherDefault<DigestHasher>>,
    root: Digest,
    to: Digest,
) -> Vec<M::Step> {
    let mut step_indices = Vec::new();
    let mut current = to;
    while current != root {
        let predecessor = known[&current];
        step_indices.push(predecessor.step);
        current = predecessor.previous;
    }
    let mut state = model.initial_state();
    let mut steps = Vec::new();
    for step_index in step_indices.into_iter().rev() {
        let step = model.steps(&state).swap_remove(usize::from(step_index));
        state = model.apply(&state, &step).expect("the step was possible during the exploration");
        steps.push(step);
    }
    steps
}

/// Replays steps from the initial state, skipping those that are not possible. Returns the number of steps
/// after which an invariant is violated, and the description of the violation.
pub fn replay<M: Model>(model: &M, steps: &[M::Step]) -> Option<(usize, String)> {
    let mut state = model.initial_state();
    for (index, step) in steps.iter().enumerate() {
        if model.steps(&state).contains(step)
            && let Some(next) = model.apply(&state, step)
        {
            state = next;
        }
        if let Some(violation) = model.find_violation(&state) {
            return Some((index + 1, violation));
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two processes that increment a shared counter with a separate read and write, so that an update can be
    /// lost without a lock.
    struct SharedCounter {
        locked: bool,
    }

    #[derive(Clone, Hash, Debug, PartialEq)]
    struct State {
        value: u8,
        read: [Option<u8>; 2],
        done: [bool; 2],
        lock: Option<usize>,
    }

    #[derive(Clone, Debug, PartialEq)]
    enum Step {
        Read(usize),
        Write(usize),
    }

    impl Model for SharedCounter {
        type State = State;
        type Step = Step;

        fn initial_state(&self) -> State {
            State { value: 0, read: [None; 2], done: [false; 2], lock: None }
        }

        fn steps(&self, _state: &State) -> Vec<Step> {
            (0..2).flat_map(|process| [Step::Read(process), Step::Write(process)]).collect()
        }

        fn apply(&self, state: &State, step: &Step) -> Option<State> {
            let mut next = state.clone();
            match *step {
                Step::Read(process) => {
                    let is_lock_free = !self.locked || state.lock.is_none();
                    if state.done[process] || state.read[process].is_some() || !is_lock_free {
                        return None;
                    }
                    next.read[process] = Some(state.value);
                    next.lock = Some(process);
                }
                Step::Write(process) => {
                    next.value = state.read[process]? + 1;
                    (next.read[process], next.done[process], next.lock) = (None, true, None);
                }
            }
            Some(next)
        }

        fn find_violation(&self, state: &State) -> Option<String> {
            let is_update_lost = state.done == [true; 2] && state.value < 2;
            is_update_lost.then(|| format!("an update was lost: {}", state.value))
        }
    }

    #[test]
    fn shortest_counterexample_is_found_and_replayed() {
        let bounds = Bounds { states: 1_000, depth: 50 };
        let report = explore(&SharedCounter { locked: false }, bounds);
        let found = report.counterexample.expect("a lost update");
        assert_eq!(found.steps.len(), 4, "{:?}", found.steps);
        let replayed = replay(&SharedCounter { locked: false }, &found.steps);
        assert_eq!(replayed, Some((4, found.violation)));
        let report = explore(&SharedCounter { locked: true }, bounds);
        assert!(report.counterexample.is_none() && report.is_complete, "{report:?}");
        assert_eq!((report.states, report.depth), (8, 4));
    }
}
