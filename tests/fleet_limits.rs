//! Fixed limits allow for 6,000 machines: the leader hints sent to peers, the hints that a follower stores, and the number of
//! users waiting at once.

use oatloom_core::api::Request;
use oatloom_core::conn_id::ConnId;
use oatloom_core::constants::*;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::leader_hints::LeaderHints;
use oatloom_core::leader_term::{LeaderConfig, LeaderTerm};
use oatloom_core::mesh::{PeerRequest, PeerRequestFrame};
use oatloom_core::operators::OperatorSettings;
use oatloom_core::workers::{Fleet, Image};
use oatloom_protocol::ids::{HostId, JobId, Member, Millis, Mono, Now, Token, Zone};
use oatloom_protocol::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: usize = 6_000;
/// Largest frame that every version can read.
const FRAME_BYTES: usize = 256 * 1024;
const NOW: Mono = Mono(1_000_000_000);

fn settings() -> Settings {
    let text = include_str!("sample.toml").replace("sockets = 1000", "sockets = 2500");
    oatloom::settings::parse_platform_settings(&text).expect("valid settings")
}

/// The term of a leader with this many machines, each with up to `images` cached images.
fn leader(machines: usize, images: usize, rng: &mut ChaCha8Rng) -> LeaderTerm {
    let mut term = LeaderTerm::new(Token(7), NOW, Fleet::default(), &LeaderConfig::default());
    for n in 0..machines {
        let host = HostId::new(&format!("i-{n:06}"));
        let machine = term.fleet.get_or_add_machine(&host, "f", &Zone::new("a"), false, NOW, NOW);
        let image = |n| Image { name: format!("registry/image-{n:04}"), gb: 5.0, ready: true };
        machine.restore_images((0..rng.random_range(1..=images)).map(image).collect());
    }
    term
}

fn frame_bytes(hints: LeaderHints) -> usize {
    let mut bytes = Vec::new();
    let frame =
        PeerRequestFrame { id: u64::MAX, request: PeerRequest::LeaderHints(Box::new(hints)) };
    ciborium::into_writer(&frame, &mut bytes).expect("a frame");
    bytes.len()
}

/// Leader hints cover a fleet of any size before they expire, in frames that every version can read, and a follower stores all.
#[test]
fn leader_hints_cover_a_whole_fleet_in_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(45);
    for (machines, images) in [(150, 4), (4_000, 8), (MACHINES, 8), (MACHINES, 40)] {
        let mut term = leader(machines, images, &mut rng);
        let (mut sent_hosts, mut stored, mut messages_sent) = (BTreeSet::new(), None, 0);
        while sent_hosts.len() < machines {
            let hints = term.leader_hints(NOW);
            assert!(frame_bytes(hints.clone()) < FRAME_BYTES);
            assert!(!hints.images.is_empty(), "{} of {machines} were sent", sent_hosts.len());
            sent_hosts.extend(hints.images.iter().map(|(host, _)| host.clone()));
            stored = Some(LeaderHints::merge(stored, hints));
            messages_sent += 1;
        }
        let duration = Millis(messages_sent * HINTS_PERIOD_MS.0);
        // Forty images on each of 6,000 machines exceed what frames carry in time: missing hints cost image fetches and break no
        // rule.
        assert!(
            duration < MAX_HINT_AGE_MS || images == 40,
            "{machines} machines take {duration:?}"
        );
        assert_eq!(stored.map(|hints| hints.images.len()), Some(machines));
    }
}

/// As many users can wait for a leader's answer at once as poll within its timeout.
#[test]
fn users_of_a_large_fleet_can_wait_at_once() {
    let mut controller = Controller::new(settings(), OperatorSettings::default(), 1);
    let now = Now { mono: NOW, wall_ms: 1_000 };
    let peer = first_peer();
    let hints = LeaderHints { token: Token(7), leader: Some(peer), ..LeaderHints::default() };
    controller.handle(
        now,
        Event::Request {
            conn: ConnId(1),
            request: Request::LeaderHints(Box::new(hints)),
            forwarded: true,
        },
    );
    // One job per two machines, polled every 5 s: twice the number of polls within one request timeout.
    let waiting = MACHINES / 2 * LEADER_QUERY_TIMEOUT_MS.0 as usize / 5_000 * 2;
    let mut leader_requests = BTreeMap::new();
    for n in 0..waiting as u64 {
        let request = Request::View(JobId::new(&format!("req-{n:06}")));
        for action in controller
            .handle(now, Event::Request { conn: ConnId(10 + n), request, forwarded: false })
        {
            match action {
                Action::PeerRequest { id, .. } => _ = leader_requests.insert(id, n),
                Action::Reply { reply, .. } => panic!("{n} of {waiting} is refused: {reply:?}"),
                _ => {}
            }
        }
    }
    assert!(
        waiting > 600 && leader_requests.len() >= waiting,
        "{} of {waiting}",
        leader_requests.len()
    );
}

/// The first of the controller's peers.
fn first_peer() -> Member {
    settings().peers[0].member.clone()
}
