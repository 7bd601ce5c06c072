//! Every interleaving of a small model: breadth first, so that the first way found to what must not be is a shortest
//! one. States are kept as 128 bits of hash each, with the way by which they were first reached; a state itself only
//! lives while its level is looked at.

pub mod constants;

use constants::{CHUNK, THREADS};
use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash, Hasher};

/// What is explored: a state, the steps possible in it, and what must hold.
pub trait Model: Sync {
    type State: Clone + Hash + Send + Sync;
    type Step: Clone + Debug + PartialEq + Send;

    fn start(&self) -> Self::State;
    /// The steps that may come next, in an order that is always the same.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after a step; `None`: it changes nothing of interest.
    fn after(&self, state: &Self::State, step: &Self::Step) -> Option<Self::State>;
    /// What is wrong with a state.
    fn broken(&self, state: &Self::State) -> Option<String>;
}

/// How far to go.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Distinct states after which it ends; those that follow on the slice at hand are looked at still.
    pub states: usize,
    /// Steps from the start.
    pub depth: usize,
}

/// A way from the start to a state that must not be.
#[derive(Clone, Debug)]
pub struct Counterexample<Step> {
    pub steps: Vec<Step>,
    pub what: String,
}

#[derive(Debug)]
pub struct Report<Step> {
    /// Distinct states seen.
    pub states: usize,
    /// Steps taken, those to known states included.
    pub steps: usize,
    /// The longest of the shortest ways to them.
    pub depth: usize,
    /// Whether no state was left to look at.
    pub whole: bool,
    pub found: Option<Counterexample<Step>>,
}

type Digest = u128;

/// Digests are spread evenly already.
#[derive(Default)]
struct AsItIs(u64);

impl Hasher for AsItIs {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, _bytes: &[u8]) {
        unreachable!("only digests are hashed so");
    }

    fn write_u128(&mut self, digest: u128) {
        self.0 = digest as u64;
    }
}

fn digest(state: &impl Hash) -> Digest {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let hash = |salt: u64| u128::from(hasher.hash_one((salt, state)));
    hash(1) << 64 | hash(2)
}

/// Whence a state was first reached: the state before, and the number of the step.
#[derive(Clone, Copy)]
struct Way {
    before: Digest,
    step: u16,
}

struct Next<State> {
    state: State,
    digest: Digest,
    way: Way,
    broken: Option<String>,
}

/// Looks at every state that can be reached within the bounds, or up to the first that must not be.
pub fn explore<M: Model>(model: &M, bounds: Bounds) -> Report<M::Step> {
    let start = model.start();
    let root = digest(&start);
    let mut known: HashMap<Digest, Way, BuildHasherDefault<AsItIs>> = HashMap::default();
    known.insert(root, Way { before: root, step: 0 });
    let mut report = Report { states: 1, steps: 0, depth: 0, whole: false, found: None };
    if let Some(what) = model.broken(&start) {
        report.found = Some(Counterexample { steps: Vec::new(), what });
        return report;
    }
    let mut level = vec![(start, root)];
    while !level.is_empty() && report.depth < bounds.depth && known.len() < bounds.states {
        let mut next_level = Vec::new();
        // In slices, so that what is found of one does not have to fit beside all of the level.
        for slice in level.chunks(CHUNK * THREADS * 4) {
            for next in successors(model, slice, &mut report.steps) {
                if let std::collections::hash_map::Entry::Vacant(place) = known.entry(next.digest) {
                    place.insert(next.way);
                    if let Some(what) = next.broken {
                        let steps = way_to(model, &known, root, next.digest);
                        report.states = known.len();
                        report.depth = steps.len();
                        report.found = Some(Counterexample { steps, what });
                        return report;
                    }
                    next_level.push((next.state, next.digest));
                }
            }
            // The level after this one would be too large to keep.
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
    report.whole = level.is_empty() && known.len() < bounds.states;
    report
}

/// What follows on a slice of a level, in its order.
fn successors<M: Model>(
    model: &M,
    slice: &[(M::State, Digest)],
    steps_taken: &mut usize,
) -> Vec<Next<M::State>> {
    let expand = |part: &[(M::State, Digest)]| {
        let (mut found, mut taken) = (Vec::new(), 0);
        for (state, before) in part {
            for (at, step) in model.steps(state).iter().enumerate() {
                taken += 1;
                let Some(after) = model.after(state, step) else { continue };
                let digest = digest(&after);
                let way = Way { before: *before, step: at as u16 };
                found.push(Next { broken: model.broken(&after), state: after, digest, way });
            }
        }
        (found, taken)
    };
    if slice.len() < CHUNK {
        let (found, taken) = expand(slice);
        *steps_taken += taken;
        return found;
    }
    let size = slice.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let parts: Vec<_> =
            slice.chunks(size).map(|part| scope.spawn(move || expand(part))).collect();
        let mut all = Vec::new();
        for part in parts {
            let (found, taken) = part.join().expect("a model does not panic");
            *steps_taken += taken;
            all.extend(found);
        }
        all
    })
}

/// The steps from the start to a known state.
fn way_to<M: Model>(
    model: &M,
    known: &HashMap<Digest, Way, BuildHasherDefault<AsItIs>>,
    root: Digest,
    to: Digest,
) -> Vec<M::Step> {
    let mut numbers = Vec::new();
    let mut at = to;
    while at != root {
        let way = known[&at];
        numbers.push(way.step);
        at = way.before;
    }
    let mut state = model.start();
    let mut steps = Vec::new();
    for number in numbers.into_iter().rev() {
        let step = model.steps(&state).swap_remove(usize::from(number));
        state = model.after(&state, &step).expect("it was taken before");
        steps.push(step);
    }
    steps
}

/// Plays steps from the start again, those that are not possible left out; what is wrong on the way, and after how many
/// steps.
pub fn replay<M: Model>(model: &M, steps: &[M::Step]) -> Option<(usize, String)> {
    let mut state = model.start();
    for (at, step) in steps.iter().enumerate() {
        if model.steps(&state).contains(step)
            && let Some(next) = model.after(&state, step)
        {
            state = next;
        }
        if let Some(what) = model.broken(&state) {
            return Some((at + 1, what));
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two counters that are read and written apart: an update can be lost.
    struct Counters {
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

    impl Model for Counters {
        type State = State;
        type Step = Step;

        fn start(&self) -> State {
            State { value: 0, read: [None; 2], done: [false; 2], lock: None }
        }

        fn steps(&self, _state: &State) -> Vec<Step> {
            (0..2).flat_map(|n| [Step::Read(n), Step::Write(n)]).collect()
        }

        fn after(&self, state: &State, step: &Step) -> Option<State> {
            let mut next = state.clone();
            match *step {
                Step::Read(n) => {
                    let free = !self.locked || state.lock.is_none();
                    if state.done[n] || state.read[n].is_some() || !free {
                        return None;
                    }
                    next.read[n] = Some(state.value);
                    next.lock = Some(n);
                }
                Step::Write(n) => {
                    next.value = state.read[n]? + 1;
                    (next.read[n], next.done[n], next.lock) = (None, true, None);
                }
            }
            Some(next)
        }

        fn broken(&self, state: &State) -> Option<String> {
            let all = state.done == [true; 2] && state.value < 2;
            all.then(|| format!("an update was lost: {}", state.value))
        }
    }

    #[test]
    fn the_shortest_way_is_found_and_can_be_played_again() {
        let bounds = Bounds { states: 1_000, depth: 50 };
        let report = explore(&Counters { locked: false }, bounds);
        let found = report.found.expect("a lost update");
        assert_eq!(found.steps.len(), 4, "{:?}", found.steps);
        let again = replay(&Counters { locked: false }, &found.steps);
        assert_eq!(again, Some((4, found.what)));
        let report = explore(&Counters { locked: true }, bounds);
        assert!(report.found.is_none() && report.whole, "{report:?}");
        assert_eq!((report.states, report.depth), (8, 4));
    }
}
