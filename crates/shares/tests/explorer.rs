//! Every interleaving of a few controllers, two shares and a worker each, with crashes, restarts, cuts (what is under way
//! stays so), leases that end, replies that are lost or come late. The very code that runs in service is driven; what
//! the state service, the network and the workers do is modelled here.
//!
//! `OATLOOM_STATES=n` explores n distinct states instead of the fixed number: 10,000,000 and more in the long form.

use oatloom_explorer::{Bounds, Model, Report, explore, replay};
use oatloom_protocol::ids::Token;
use oatloom_shares::{Action, Desk, Event, Flaw, Holder, Holding, Key, Seat, ShareId};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What can go wrong around the desks; those inside are [`Flaw`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Around {
    Nothing,
    /// A lease is relied on when it may have ended: counted from the reply and not from the sending of its renewal.
    LeaseEndsEarly,
    /// Records are written without the condition that the owner's key stands.
    UnfencedRecords,
    /// A copy is taken for complete as it is.
    CopyNotRead,
    /// A key is taken for this controller's own if its process wrote it, under whatever lease. Found here: an old answer
    /// to a read arrived after the lease had ended and another one was granted.
    JudgesByProcess,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Row {
    holder: u8,
    life: u8,
    /// Which of the holder's leases it stands under.
    grant: u8,
    token: Token,
}

/// A share's key in the state service, and its records: how often they were changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Slot {
    row: Option<Row>,
    /// Revision of the key's last change.
    changed: Token,
    records: u8,
    /// Who changed them last, and in which life.
    by: Option<(u8, u8)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// A write of a share's key, on its way to the state service.
    Write {
        by: u8,
        life: u8,
        grant: u8,
        share: ShareId,
        attempt: u32,
        condition: Option<Option<Token>>,
    },
    Reply {
        to: u8,
        life: u8,
        share: ShareId,
        attempt: u32,
        written: Option<Token>,
    },
    /// What was read of a key, or its watch told.
    Shown {
        to: u8,
        life: u8,
        share: ShareId,
        row: Option<Row>,
        seen: Token,
    },
    Offer {
        to: u8,
        from: u8,
        share: ShareId,
        token: Token,
    },
    /// A write of a share's records.
    Record {
        by: u8,
        life: u8,
        share: ShareId,
        fence: Token,
        expects: u8,
    },
    RecordReply {
        to: u8,
        life: u8,
        share: ShareId,
        now: Option<u8>,
    },
}

/// What is under way, each message once, in order: as small as can be, since millions of states are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Flight(Vec<Message>);

impl Flight {
    /// Whether it was not there yet.
    fn insert(&mut self, message: Message) -> bool {
        let place = self.0.binary_search(&message);
        if let Err(place) = place {
            self.0.reserve_exact(1);
            self.0.insert(place, message);
        }
        place.is_err()
    }

    /// Whether it was there.
    fn remove(&mut self, message: &Message) -> bool {
        let place = self.0.binary_search(message);
        if let Ok(place) = place {
            self.0.remove(place);
        }
        place.is_ok()
    }

    fn contains(&self, message: &Message) -> bool {
        self.0.binary_search(message).is_ok()
    }

    fn iter(&self) -> impl Iterator<Item = &Message> {
        self.0.iter()
    }

    fn retain(&mut self, keep: impl FnMut(&Message) -> bool) {
        self.0.retain(keep);
    }

    fn take(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.0)
    }

    fn map(&mut self, change: impl FnMut(&mut Message)) {
        self.0.iter_mut().for_each(change);
        self.0.sort_unstable();
        self.0.dedup();
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Open {
    Nothing,
    Out,
    /// Its fate is open.
    Unsure,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    desk: Option<Desk>,
    life: u8,
    grant: u8,
    valid: bool,
    copies: [u8; 2],
    open: [Open; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    crashes: u8,
    lapses: u8,
    unanswered: u8,
    plans: u8,
    records: u8,
    missing: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    slots: [Slot; 2],
    revision: Token,
    leases: BTreeSet<(u8, u8)>,
    nodes: Vec<Node>,
    flight: Flight,
    /// Highest token that each share's worker has seen.
    workers: [Token; 2],
    budget: Budget,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(Message),
    /// No answer came in time; the message may still arrive.
    Unanswered(Message),
    Look(u8, ShareId),
    Plan(u8, ShareId, Seat),
    Drained(u8, ShareId),
    Copied(u8, ShareId),
    Order(u8, ShareId),
    Resolve(u8, ShareId),
    Answer(u8, ShareId),
    Again(u8, ShareId),
    Missing(u8, Seat),
    Lapse(u8),
    Renewed(u8),
    Expire(u8, u8),
    NoticeEnd(u8),
    Crash(u8),
    Restart(u8),
}

struct Shares {
    nodes: u8,
    /// How many of the two shares there are.
    shares: usize,
    budget: Budget,
    flaw: Option<Flaw>,
    around: Around,
    /// Of how many states one is looked at for workers that nobody would ever answer.
    calm_every: u64,
}

const SHARES: [ShareId; 2] = [ShareId(0), ShareId(1)];

fn at(share: ShareId) -> usize {
    usize::from(share.0)
}

impl Shares {
    fn all(&self) -> impl Iterator<Item = ShareId> + use<> {
        SHARES.into_iter().take(self.shares)
    }

    fn desk(&self, node: u8) -> Desk {
        let mut desk = Desk::new(Seat(node), 2);
        if let Some(flaw) = self.flaw {
            desk.plant(flaw);
        }
        desk
    }

    fn fresh(&self) -> State {
        let node = |n: u8| Node {
            desk: Some(self.desk(n)),
            life: 0,
            grant: 0,
            valid: true,
            copies: [0; 2],
            open: [Open::Nothing; 2],
        };
        let slot = Slot { row: None, changed: Token(0), records: 0, by: None };
        let mut state = State {
            slots: [slot; 2],
            revision: Token(1),
            leases: (0..self.nodes).map(|n| (n, 0)).collect(),
            nodes: (0..self.nodes).map(node).collect(),
            flight: Flight::default(),
            workers: [Token(0); 2],
            budget: self.budget,
        };
        for node in &mut state.nodes {
            node.desk.as_mut().expect("up").rely(true);
        }
        state
    }

    /// Gives an event to a node's desk, and puts what it wants on its way.
    fn event(&self, state: &mut State, n: u8, event: Event) {
        let node = &mut state.nodes[usize::from(n)];
        let (life, grant) = (node.life, node.grant);
        let Some(desk) = node.desk.as_mut() else { return };
        for action in desk.handle(event) {
            match action {
                Action::Write { share, attempt, basis } => {
                    let condition = desk.conditions(basis);
                    let by = n;
                    let write = Message::Write { by, life, grant, share, attempt, condition };
                    state.flight.insert(write);
                }
                Action::Offer { share, to, token } => {
                    state.flight.insert(Message::Offer { to: to.0, from: n, share, token });
                }
                // Reads, copies and draining are steps of their own, possible at any time.
                Action::Read { .. } | Action::Drain { .. } | Action::Copy { .. } => {}
            }
        }
    }

    fn look(state: &State, n: u8, share: ShareId) -> Message {
        let slot = state.slots[at(share)];
        let life = state.nodes[usize::from(n)].life;
        let seen = if slot.row.is_some() { slot.changed } else { state.revision };
        Message::Shown { to: n, life, share, row: slot.row, seen }
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Write { by, life, grant, share, attempt, condition } => {
                let slot = state.slots[at(share)];
                let holds = match condition {
                    None => true,
                    Some(None) => slot.row.is_none(),
                    Some(Some(token)) => slot.row.is_some_and(|row| row.token == token),
                };
                let mut written = None;
                if holds && state.leases.contains(&(by, grant)) {
                    state.revision.0 += 1;
                    let token = state.revision;
                    let row = Some(Row { holder: by, life, grant, token });
                    state.slots[at(share)] = Slot { row, changed: token, ..slot };
                    written = Some(token);
                }
                state.flight.insert(Message::Reply { to: by, life, share, attempt, written });
            }
            Message::Reply { to, life, share, attempt, written } => {
                if state.nodes[usize::from(to)].life == life {
                    let event = match written {
                        Some(token) => Event::Written { share, attempt, token },
                        None => Event::NotWritten { share, attempt },
                    };
                    self.event(state, to, event);
                }
            }
            Message::Shown { to, life, share, row, seen } => {
                if state.nodes[usize::from(to)].life == life {
                    let grant = state.nodes[usize::from(to)].grant;
                    let lately = self.around == Around::JudgesByProcess;
                    let key = row.map_or(Key::Free { seen }, |row| Key::Held {
                        by: match (
                            row.holder == to,
                            row.life == life && (row.grant == grant || lately),
                        ) {
                            (true, true) => Holder::Me,
                            (true, false) => Holder::MyPast,
                            (false, _) => Holder::Other(Seat(row.holder)),
                        },
                        token: row.token,
                    });
                    self.event(state, to, Event::Shown { share, key });
                }
            }
            Message::Offer { to, from, share, token } => {
                self.event(state, to, Event::Offered { share, from: Seat(from), token });
            }
            Message::Record { by, life, share, fence, expects } => {
                let slot = &mut state.slots[at(share)];
                let fenced = slot.row.is_some_and(|row| row.token == fence);
                let good =
                    (fenced || self.around == Around::UnfencedRecords) && slot.records == expects;
                if good {
                    slot.records += 1;
                    slot.by = Some((by, life));
                }
                let now = good.then_some(slot.records);
                state.flight.insert(Message::RecordReply { to: by, life, share, now });
            }
            Message::RecordReply { to, life, share, now } => {
                let node = &mut state.nodes[usize::from(to)];
                if node.life == life && node.open[at(share)] == Open::Out {
                    match now {
                        Some(now) => {
                            node.copies[at(share)] = now;
                            node.open[at(share)] = Open::Nothing;
                        }
                        None => node.open[at(share)] = Open::Unsure,
                    }
                }
            }
        }
    }

    fn expire(state: &mut State, lease: (u8, u8)) {
        state.leases.remove(&lease);
        for slot in &mut state.slots {
            if slot.row.is_some_and(|row| (row.holder, row.grant) == lease) {
                state.revision.0 += 1;
                (slot.row, slot.changed) = (None, state.revision);
            }
        }
    }

    fn copied(&self, state: &mut State, n: u8, share: ShareId) {
        if self.around != Around::CopyNotRead {
            state.nodes[usize::from(n)].copies[at(share)] = state.slots[at(share)].records;
        }
        // What was open is read along.
        state.nodes[usize::from(n)].open[at(share)] = Open::Nothing;
        let upto = state.revision;
        self.event(state, n, Event::Copied { share, upto });
    }

    /// Makes states that differ in nothing of interest one.
    fn settle(state: &mut State) {
        // Nobody waits for these any more.
        let lives: Vec<u8> = state.nodes.iter().map(|node| node.life).collect();
        let up: Vec<bool> = state.nodes.iter().map(|node| node.desk.is_some()).collect();
        let (leases, slots) = (&state.leases, &state.slots);
        let heard = |to: u8, life: u8| up[usize::from(to)] && lives[usize::from(to)] == life;
        state.flight.retain(|message| match message {
            Message::Reply { to, life, .. }
            | Message::Shown { to, life, .. }
            | Message::RecordReply { to, life, .. } => heard(*to, *life),
            // Without its lease it is never carried out, and nobody hears of that.
            Message::Write { by, life, grant, .. } => {
                leases.contains(&(*by, *grant)) || heard(*by, *life)
            }
            Message::Offer { share, token, .. } => {
                slots[at(*share)].row.is_none_or(|row| row.token <= *token)
            }
            Message::Record { by, life, share, fence, .. } => {
                heard(*by, *life) || slots[at(*share)].row.is_some_and(|row| row.token <= *fence)
            }
        });
        Self::renumber(state);
        let mut tokens: BTreeSet<Token> = [state.revision].into();
        Self::relabel(state, &mut |token| {
            tokens.insert(*token);
        });
        let order: Vec<Token> = tokens.into_iter().collect();
        Self::relabel(state, &mut |token| {
            let rank = order.binary_search(token).expect("it was collected");
            // 0 stays 0: nothing was ever seen.
            *token = Token(if token.0 == 0 { 0 } else { rank as u64 + 1 });
        });
    }

    /// The same with the numbers of writes: all that matters is which of them are the same.
    fn renumber(state: &mut State) {
        for n in 0..state.nodes.len() {
            for share in SHARES {
                let mine = |message: &Message| match message {
                    Message::Write { by: to, share: s, attempt, .. }
                    | Message::Reply { to, share: s, attempt, .. }
                        if usize::from(*to) == n && *s == share =>
                    {
                        Some(*attempt)
                    }
                    _ => None,
                };
                let Some(desk) = state.nodes[n].desk.as_mut() else { continue };
                let last = desk.attempt(share);
                let mut known: BTreeSet<u32> = state.flight.iter().filter_map(mine).collect();
                known.insert(*last);
                let order: Vec<u32> = known.into_iter().collect();
                let rank = |number: u32| order.binary_search(&number).expect("collected") as u32;
                *last = rank(*last);
                state.flight.map(|message| {
                    let number = mine(message);
                    if let Message::Write { attempt, .. } | Message::Reply { attempt, .. } = message
                        && let Some(number) = number
                    {
                        *attempt = rank(number);
                    }
                });
            }
        }
    }

    fn relabel(state: &mut State, label: &mut dyn FnMut(&mut Token)) {
        label(&mut state.revision);
        for slot in &mut state.slots {
            label(&mut slot.changed);
            if let Some(row) = &mut slot.row {
                label(&mut row.token);
            }
        }
        state.workers.iter_mut().for_each(&mut *label);
        for node in &mut state.nodes {
            if let Some(desk) = &mut node.desk {
                desk.relabel(&mut *label);
            }
        }
        state.flight.map(|message| match message {
            Message::Write { condition: Some(Some(token)), .. }
            | Message::Reply { written: Some(token), .. }
            | Message::Offer { token, .. }
            | Message::Record { fence: token, .. } => label(token),
            Message::Shown { row, seen, .. } => {
                label(seen);
                if let Some(row) = row {
                    label(&mut row.token);
                }
            }
            _ => {}
        });
    }

    fn restart(&self, state: &mut State, n: u8) {
        let mut desk = self.desk(n);
        desk.rely(true);
        let node = &mut state.nodes[usize::from(n)];
        node.life += 1;
        node.grant += 1;
        (node.valid, node.desk) = (true, Some(desk));
        (node.copies, node.open) = ([0; 2], [Open::Nothing; 2]);
        state.leases.insert((n, node.grant));
    }

    fn lease_ended(&self, state: &mut State, n: u8) {
        self.event(state, n, Event::LeaseEnded);
        let node = &mut state.nodes[usize::from(n)];
        node.open = [Open::Nothing; 2];
        node.grant += 1;
        node.valid = true;
        if let Some(desk) = &mut node.desk {
            desk.rely(true);
        }
        state.leases.insert((n, node.grant));
    }

    /// Lets all troubles end and everything that is due happen; shares that nobody answers then.
    fn deaf(&self, state: &State) -> Vec<ShareId> {
        let mut state = state.clone();
        for round in 0..14 {
            for message in state.flight.take() {
                self.deliver(&mut state, message);
            }
            for n in 0..self.nodes {
                if state.nodes[usize::from(n)].desk.is_none() {
                    self.restart(&mut state, n);
                }
                let node = &state.nodes[usize::from(n)];
                if !state.leases.contains(&(n, node.grant)) {
                    self.lease_ended(&mut state, n);
                } else if !node.valid {
                    state.nodes[usize::from(n)].valid = true;
                    state.nodes[usize::from(n)].desk.as_mut().expect("up").rely(true);
                }
                for share in self.all() {
                    if round == 0 {
                        let to = Seat((share.0 as u8) % self.nodes);
                        self.event(&mut state, n, Event::Planned { share, to });
                    }
                    let shown = Self::look(&state, n, share);
                    self.deliver(&mut state, shown);
                    let holding =
                        state.nodes[usize::from(n)].desk.as_ref().expect("up").holding(share);
                    match holding {
                        Holding::Taken { .. } => self.copied(&mut state, n, share),
                        Holding::Draining { .. } => {
                            state.nodes[usize::from(n)].open[at(share)] = Open::Nothing;
                            self.event(&mut state, n, Event::Drained { share });
                        }
                        // Some of what is out has been lost: it is tried again.
                        _ if round % 3 == 2 => self.event(&mut state, n, Event::Again { share }),
                        _ => {}
                    }
                    if round % 3 == 2 {
                        let desk = state.nodes[usize::from(n)].desk.as_mut().expect("up");
                        let attempt = *desk.attempt(share);
                        self.event(&mut state, n, Event::Unanswered { share, attempt });
                    }
                }
            }
            // Leases of lives that are over end.
            let over: Vec<(u8, u8)> = state
                .leases
                .iter()
                .copied()
                .filter(|(n, grant)| state.nodes[usize::from(*n)].grant != *grant)
                .collect();
            over.into_iter().for_each(|lease| Self::expire(&mut state, lease));
        }
        let answered = |share: &ShareId| {
            let desks = state.nodes.iter().filter_map(|node| node.desk.as_ref());
            desks.filter_map(|desk| desk.may_answer(*share)).any(|t| t >= state.workers[at(*share)])
        };
        self.all().filter(|share| !answered(share)).collect()
    }

    /// All shares owned, as after a quiet hour.
    fn quiet(&self) -> State {
        let mut state = self.fresh();
        for _ in 0..6 {
            for n in 0..self.nodes {
                for share in self.all() {
                    let to = Seat((share.0 as u8) % self.nodes);
                    self.event(&mut state, n, Event::Planned { share, to });
                    let shown = Self::look(&state, n, share);
                    self.deliver(&mut state, shown);
                    if matches!(
                        state.nodes[usize::from(n)].desk.as_ref().expect("up").holding(share),
                        Holding::Taken { .. }
                    ) {
                        self.copied(&mut state, n, share);
                    }
                }
            }
            for message in state.flight.take() {
                self.deliver(&mut state, message);
            }
        }
        state.flight.take();
        Self::settle(&mut state);
        state
    }
}

impl Model for Shares {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        self.quiet()
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps: Vec<Step> = state.flight.iter().copied().map(Step::Deliver).collect();
        let budget = &state.budget;
        if budget.unanswered > 0 {
            let asked = |m: &&Message| matches!(m, Message::Write { .. } | Message::Record { .. });
            steps.extend(state.flight.iter().filter(asked).copied().map(Step::Unanswered));
        }
        for (n, node) in (0..self.nodes).zip(&state.nodes) {
            let Some(desk) = &node.desk else {
                steps.push(Step::Restart(n));
                continue;
            };
            for share in self.all() {
                let slot = state.slots[at(share)];
                let known = desk.key(share);
                let news = match slot.row {
                    Some(row) => known.seen() < row.token,
                    None => !matches!(known, Key::Free { .. }),
                };
                if news {
                    steps.push(Step::Look(n, share));
                }
                match desk.holding(share) {
                    Holding::Taken { .. } => steps.push(Step::Copied(n, share)),
                    Holding::Draining { .. } if node.open[at(share)] == Open::Nothing => {
                        steps.push(Step::Drained(n, share));
                    }
                    Holding::HandedOver { to, .. } if budget.missing > 0 => {
                        steps.push(Step::Missing(n, to));
                    }
                    _ => {}
                }
                if desk.may_order(share).is_some()
                    && node.open[at(share)] == Open::Nothing
                    && budget.records > 0
                {
                    steps.push(Step::Order(n, share));
                }
                if node.open[at(share)] == Open::Unsure && desk.may_settle(share).is_some() {
                    steps.push(Step::Resolve(n, share));
                }
                if desk.may_answer(share).is_some_and(|token| token > state.workers[at(share)]) {
                    steps.push(Step::Answer(n, share));
                }
                let waits = matches!(
                    desk.holding(share),
                    Holding::Claiming
                        | Holding::Taking { .. }
                        | Holding::Reclaiming { .. }
                        | Holding::HandedOver { .. }
                );
                if waits {
                    steps.push(Step::Again(n, share));
                }
                if budget.plans > 0 {
                    steps.extend((0..self.nodes).map(|to| Step::Plan(n, share, Seat(to))));
                }
            }
            let there = state.leases.contains(&(n, node.grant));
            if node.valid && budget.lapses > 0 {
                steps.push(Step::Lapse(n));
            }
            if !node.valid && there {
                steps.push(Step::Renewed(n));
            }
            if !there {
                steps.push(Step::NoticeEnd(n));
            }
            if budget.crashes > 0 {
                steps.push(Step::Crash(n));
            }
        }
        for (n, grant) in &state.leases {
            let node = &state.nodes[usize::from(*n)];
            let holds = node.desk.is_some() && node.grant == *grant;
            if !holds || !node.valid || self.around == Around::LeaseEndsEarly {
                steps.push(Step::Expire(*n, *grant));
            }
        }
        steps
    }

    fn after(&self, before: &State, step: &Step) -> Option<State> {
        let mut state = before.clone();
        match *step {
            Step::Deliver(message) => {
                if !state.flight.remove(&message) {
                    return None;
                }
                self.deliver(&mut state, message);
            }
            Step::Unanswered(message) => {
                if !state.flight.contains(&message) {
                    return None;
                }
                state.budget.unanswered -= 1;
                match message {
                    Message::Write { by, life, share, attempt, .. }
                        if state.nodes[usize::from(by)].life == life =>
                    {
                        self.event(&mut state, by, Event::Unanswered { share, attempt });
                    }
                    Message::Record { by, life, share, .. }
                        if state.nodes[usize::from(by)].life == life =>
                    {
                        state.nodes[usize::from(by)].open[at(share)] = Open::Unsure;
                    }
                    _ => return None,
                }
            }
            Step::Look(n, share) => {
                let message = Self::look(&state, n, share);
                // A few are out at once at most; what was read first may arrive last.
                let out = |m: &&Message| matches!(m, Message::Shown { to, share: s, .. } if *to == n && *s == share);
                if state.flight.iter().filter(out).count() >= 2 || !state.flight.insert(message) {
                    return None;
                }
            }
            Step::Plan(n, share, to) => {
                state.budget.plans -= 1;
                self.event(&mut state, n, Event::Planned { share, to });
            }
            Step::Drained(n, share) => self.event(&mut state, n, Event::Drained { share }),
            Step::Copied(n, share) => self.copied(&mut state, n, share),
            Step::Order(n, share) => {
                state.budget.records -= 1;
                let node = &mut state.nodes[usize::from(n)];
                let fence = node.desk.as_ref()?.may_order(share)?;
                node.open[at(share)] = Open::Out;
                let (life, expects) = (node.life, node.copies[at(share)]);
                state.flight.insert(Message::Record { by: n, life, share, fence, expects });
            }
            Step::Resolve(n, share) => {
                let node = &mut state.nodes[usize::from(n)];
                node.copies[at(share)] = state.slots[at(share)].records;
                node.open[at(share)] = Open::Nothing;
            }
            Step::Answer(n, share) => {
                let token = state.nodes[usize::from(n)].desk.as_ref()?.may_answer(share)?;
                state.workers[at(share)] = state.workers[at(share)].max(token);
            }
            Step::Again(n, share) => self.event(&mut state, n, Event::Again { share }),
            Step::Missing(n, peer) => {
                state.budget.missing -= 1;
                self.event(&mut state, n, Event::Missing { peer });
            }
            Step::Lapse(n) => {
                state.budget.lapses -= 1;
                state.nodes[usize::from(n)].valid = false;
                state.nodes[usize::from(n)].desk.as_mut()?.rely(false);
            }
            Step::Renewed(n) => {
                state.nodes[usize::from(n)].valid = true;
                state.nodes[usize::from(n)].desk.as_mut()?.rely(true);
            }
            Step::Expire(n, grant) => Self::expire(&mut state, (n, grant)),
            Step::NoticeEnd(n) => self.lease_ended(&mut state, n),
            Step::Crash(n) => {
                state.budget.crashes -= 1;
                state.nodes[usize::from(n)].desk = None;
                state.nodes[usize::from(n)].valid = false;
            }
            Step::Restart(n) => self.restart(&mut state, n),
        }
        Self::settle(&mut state);
        (state != *before).then_some(state)
    }

    fn broken(&self, state: &State) -> Option<String> {
        for share in self.all() {
            let slot = state.slots[at(share)];
            let accepted: Vec<u8> = (0..self.nodes)
                .filter(|n| {
                    let desk = state.nodes[usize::from(*n)].desk.as_ref();
                    let token = desk.and_then(|desk| desk.may_answer(share));
                    token.is_some_and(|token| token >= state.workers[at(share)])
                })
                .collect();
            if accepted.len() > 1 {
                return Some(format!("one_owner: share {share} is answered by {accepted:?}"));
            }
            for (n, node) in state.nodes.iter().enumerate() {
                let Some(desk) = &node.desk else { continue };
                let stands = |token: Token| slot.row.is_some_and(|row| row.token == token);
                if let Some(token) = desk.may_answer(share)
                    && !stands(token)
                {
                    return Some(format!(
                        "own_key: node {n} answers share {share} without its key"
                    ));
                }
                // Its own late write finds its own next one in the way, by the version that both are given.
                let others = slot.by != Some((n as u8, node.life));
                if desk.may_order(share).is_some()
                    && node.open[at(share)] == Open::Nothing
                    && node.copies[at(share)] != slot.records
                    && others
                {
                    return Some(format!("complete: node {n} orders share {share} by an old copy"));
                }
            }
        }
        if self.calm_every > 0 {
            let mut hasher = DefaultHasher::new();
            state.hash(&mut hasher);
            if hasher.finish().is_multiple_of(self.calm_every) {
                let deaf = self.deaf(state);
                if !deaf.is_empty() {
                    return Some(format!("no_deaf_worker: nobody comes to answer {deaf:?}"));
                }
            }
        }
        None
    }
}

const BUDGET: Budget =
    Budget { crashes: 1, lapses: 1, unanswered: 1, plans: 2, records: 1, missing: 1 };

fn model(nodes: u8, budget: Budget) -> Shares {
    let (flaw, around) = (None, Around::Nothing);
    Shares { nodes, shares: 2, budget, flaw, around, calm_every: 31 }
}

/// The states to look at in the fixed form; together well under half a minute.
#[allow(clippy::disallowed_methods)] // A test is told from outside how far to go.
fn states(fixed: usize) -> usize {
    std::env::var("OATLOOM_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(fixed)
}

fn sound(model: &Shares, states: usize) -> Report<Step> {
    let report = explore(model, Bounds { states, depth: 200 });
    eprintln!(
        "{} nodes: {} states, {} steps, depth {}, whole {}",
        model.nodes, report.states, report.steps, report.depth, report.whole
    );
    if let Some(found) = &report.found {
        let lines: Vec<String> = found.steps.iter().map(|step| format!("  {step:?}")).collect();
        panic!("{}, after\n{}", found.what, lines.join("\n"));
    }
    report
}

#[test]
fn two_controllers_keep_one_owner_a_share() {
    let report = sound(&model(2, BUDGET), states(150_000));
    assert!(report.whole || report.states >= states(150_000));
}

#[test]
fn three_controllers_keep_one_owner_a_share() {
    let report = sound(&model(3, BUDGET), states(150_000));
    assert!(report.whole || report.states >= states(150_000));
}

/// From nothing: no key was ever written, and nobody has read one.
#[test]
fn a_quiet_start_ends_with_all_shares_owned() {
    for nodes in [1, 2, 3] {
        let model = model(nodes, BUDGET);
        assert!(model.deaf(&model.fresh()).is_empty());
        let quiet = model.quiet();
        assert!(model.broken(&quiet).is_none());
        assert!(quiet.slots.iter().all(|slot| slot.row.is_some()));
    }
}

/// Each fault that is planted is found, and the way to it can be played again; without the fault the same way breaks
/// nothing. What each needs to show is given to it, so that its way is found among few states.
#[test]
fn planted_faults_are_caught() {
    let none = Budget { crashes: 0, lapses: 0, unanswered: 0, plans: 1, records: 0, missing: 0 };
    let record = Budget { records: 1, ..none };
    let lapse = Budget { lapses: 1, ..none };
    let back = Budget { plans: 2, ..none };
    let late = Budget { unanswered: 1, ..back };
    let missing = Budget { missing: 1, ..none };
    let flaws = [
        (Flaw::AnswersWhenHandedOver, none),
        (Flaw::AnswersBeforeCopied, record),
        (Flaw::AnswersWithoutLease, lapse),
        (Flaw::ResumesWithTheOldToken, missing),
        (Flaw::KeepsSharesWhenTheLeaseEnds, lapse),
        (Flaw::TakesWithoutCondition, missing),
        (Flaw::ClaimsWithoutCondition, lapse),
        (Flaw::TakesUpOldNews, back),
        (Flaw::TakesItsPastForItself, Budget { crashes: 1, ..none }),
        (Flaw::AnswersWithTheOfferedToken, none),
        (Flaw::TakesLateAnswersForNew, late),
        (Flaw::CopiesUpToTheOffer, record),
    ];
    let around = [
        (Around::LeaseEndsEarly, none),
        (Around::UnfencedRecords, Budget { records: 1, ..lapse }),
        (Around::CopyNotRead, Budget { records: 1, ..back }),
        (Around::JudgesByProcess, lapse),
    ];
    let inside = flaws.map(|(flaw, budget)| (Some(flaw), Around::Nothing, budget));
    let planted = inside.into_iter().chain(around.map(|(around, budget)| (None, around, budget)));
    let hunt = |(flaw, around, budget): (Option<Flaw>, Around, Budget)| {
        let sound = Shares { shares: 1, calm_every: 0, ..model(2, budget) };
        let faulty = Shares { flaw, around, shares: 1, calm_every: 0, ..model(2, budget) };
        let report = explore(&faulty, Bounds { states: 500_000, depth: 60 });
        let Some(found) = report.found else {
            return Err(format!("{flaw:?} {around:?}: not caught in {} states", report.states));
        };
        assert_eq!(replay(&faulty, &found.steps), Some((found.steps.len(), found.what.clone())));
        assert_eq!(replay(&sound, &found.steps), None, "{:#?}", found.steps);
        let (steps, states) = (found.steps.len(), report.states);
        eprintln!("{flaw:?} {around:?}: {steps} steps, {states} states: {}", found.what);
        Ok(())
    };
    let missed: Vec<String> = planted.filter_map(|planted| hunt(planted).err()).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
