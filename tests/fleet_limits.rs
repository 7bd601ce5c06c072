//! No fixed limit stands below 6,000 machines: what a leader tells its peers, what a follower keeps of it, and how many users
//! may wait at once.

use oatloom_core::api::Request;
use oatloom_core::constants::*;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::mesh::{PeerRequest, PeerRequestFrame};
use oatloom_core::notes::LeaderHints;
use oatloom_core::operators::OperatorSettings;
use oatloom_core::reign::{LeaderConfig, LeaderTerm};
use oatloom_core::reply::ConnId;
use oatloom_core::workers::{Fleet, Image};
use oatloom_protocol::ids::{HostId, JobId, Member, Millis, Mono, Now, Token, Zone};
use oatloom_protocol::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: usize = 6_000;
/// Largest frame that any version reads.
const FRAME_BYTES: usize = 256 * 1024;
const NOW: Mono = Mono(1_000_000_000);

fn settings() -> Settings {
    let text = include_str!("sample.toml").replace("sockets = 1000", "sockets = 2500");
    oatloom::settings::parse_platform_settings(&text).expect("sound settings")
}

/// A leader of so many machines, each with up to so many images.
fn leader(machines: usize, images: usize, rng: &mut ChaCha8Rng) -> LeaderTerm {
    let mut reign = LeaderTerm::new(Token(7), NOW, Fleet::default(), &LeaderConfig::default());
    for n in 0..machines {
        let host = HostId::new(&format!("i-{n:06}"));
        let machine = reign.fleet.add_machine(&host, "f", &Zone::new("a"), false, NOW, NOW);
        let image = |n| Image { name: format!("registry/image-{n:04}"), gb: 5.0, ready: true };
        machine.restore_images((0..rng.random_range(1..=images)).map(image).collect());
    }
    reign
}

fn frame_bytes(notes: LeaderHints) -> usize {
    let mut bytes = Vec::new();
    let asked =
        PeerRequestFrame { id: u64::MAX, request: PeerRequest::LeaderHints(Box::new(notes)) };
    ciborium::into_writer(&asked, &mut bytes).expect("a frame");
    bytes.len()
}

/// Notes go round a fleet of any size before they are too old, in frames that every version reads, and a follower keeps all.
#[test]
fn notes_tell_of_a_whole_fleet_in_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(45);
    for (machines, images) in [(150, 4), (4_000, 8), (MACHINES, 8), (MACHINES, 40)] {
        let mut reign = leader(machines, images, &mut rng);
        let (mut told, mut kept, mut notes_sent) = (BTreeSet::new(), None, 0);
        while told.len() < machines {
            let notes = reign.leader_hints(NOW);
            assert!(frame_bytes(notes.clone()) < FRAME_BYTES);
            assert!(!notes.images.is_empty(), "{} of {machines} were told of", told.len());
            told.extend(notes.images.iter().map(|(host, _)| host.clone()));
            kept = Some(LeaderHints::merge(kept, notes));
            notes_sent += 1;
        }
        let took = Millis(notes_sent * HINTS_PERIOD_MS.0);
        // Forty images on each of 6,000 machines are more than frames carry in time: the rest costs fetches, no rule.
        assert!(took < MAX_HINT_AGE_MS || images == 40, "{machines} machines take {took:?}");
        assert_eq!(kept.map(|notes| notes.images.len()), Some(machines));
    }
}

/// As many users may wait for a leader's answer at once as poll within the time that it is waited for.
#[test]
fn users_of_a_large_fleet_may_wait_together() {
    let mut core = Controller::new(settings(), OperatorSettings::default(), 1);
    let now = Now { mono: NOW, wall_ms: 1_000 };
    let peer = core_peer();
    let notes = LeaderHints { token: Token(7), leader: Some(peer), ..LeaderHints::default() };
    core.handle(
        now,
        Event::Request {
            conn: ConnId(1),
            request: Request::LeaderHints(Box::new(notes)),
            forwarded: true,
        },
    );
    // A job on each pair of machines, polled every 5 s: twice as many as poll while one question waits.
    let waiting = MACHINES / 2 * LEADER_QUERY_TIMEOUT_MS.0 as usize / 5_000 * 2;
    let mut asked = BTreeMap::new();
    for n in 0..waiting as u64 {
        let request = Request::View(JobId::new(&format!("req-{n:06}")));
        for action in
            core.handle(now, Event::Request { conn: ConnId(10 + n), request, forwarded: false })
        {
            match action {
                Action::PeerRequest { id, .. } => _ = asked.insert(id, n),
                Action::Reply { reply, .. } => panic!("{n} of {waiting} is refused: {reply:?}"),
                _ => {}
            }
        }
    }
    assert!(waiting > 600 && asked.len() >= waiting, "{} of {waiting}", asked.len());
}

/// The first of the controller's peers.
fn core_peer() -> Member {
    settings().peers[0].member.clone()
}
