//! Gossip between controllers about which of them are alive, and how the other modules use it.

use super::health::Health;
use super::*;
use oatloom_membership::{Gossip, LinkState, LocalStatus, Presence};

impl Controller {
    /// The membership view, created at the first event.
    pub(super) fn members(&mut self, now: Now) -> &mut Membership {
        let (me, rng) = (&self.settings.member, &mut self.rng);
        let peers = self.settings.peers.iter().map(|peer| peer.member.clone());
        self.membership.get_or_insert_with(|| Membership::new(me.clone(), peers, rng.random(), now))
    }

    /// Builds the gossip message for a peer.
    fn gossip(&mut self, now: Now, to: &Member) -> Gossip {
        let ready = self.health(now.mono) == Health::Up;
        let store_served_at = self.store.last_success();
        let leading =
            self.leadership.valid(now.mono).map(|token| (self.settings.member.clone(), token));
        let known_leader =
            || Some((self.leadership.other_leader()?.clone(), self.leadership.leader_token()?));
        let own_state = LocalStatus {
            ready,
            store_ms: (store_served_at > Mono(0)).then(|| now.mono.since(store_served_at).0),
            leader: leading.or_else(known_leader),
        };
        self.members(now).gossip_for(to, own_state, now)
    }

    /// Sends gossip to the peers that have received nothing for a while. No request waits for it.
    pub(super) fn send_gossip(&mut self, now: Now) {
        if now.mono < self.next_gossip {
            return;
        }
        self.next_gossip = now.mono.plus(PEER_PROBE_CHECK_PERIOD_MS);
        // A response later than this is not awaited and does not count as a broken link: the peer
        // may be slow.
        self.one_way_in_flight.retain(|_, (_, until)| now.mono < *until);
        for to in self.members(now).tick(now.mono) {
            let gossip = self.gossip(now, &to);
            self.send_one_way(now.mono, to, PeerRequest::Gossip(Box::new(gossip)));
        }
    }

    /// Sends the leader's hints to the other controllers, for the next leader.
    pub(super) fn send_leader_hints(&mut self, now: Now) {
        let mono = now.mono;
        let active = self.leader_term.as_ref().is_some_and(|term| term.stage == Stage::Active);
        if !active || !self.was_valid || mono < self.next_leader_hints {
            return;
        }
        self.next_leader_hints = mono.plus(HINTS_PERIOD_MS);
        let Some(hints) =
            self.leader_term.as_mut().map(|leader_term| leader_term.leader_hints(mono))
        else {
            return;
        };
        let leader = Some(self.settings.member.clone());
        let peers: Vec<Member> = self.settings.peers.iter().map(|p| p.member.clone()).collect();
        for to in peers {
            let gossip = Some(self.gossip(now, &to));
            let hints = LeaderHints { leader: leader.clone(), gossip, ..hints.clone() };
            self.send_one_way(mono, to, PeerRequest::LeaderHints(Box::new(hints)));
        }
    }

    fn send_one_way(&mut self, now: Mono, to: Member, peer_request: PeerRequest) {
        self.next_id += 1;
        self.one_way_in_flight.insert(self.next_id, (to.clone(), now.plus(ONE_WAY_ACK_TIMEOUT_MS)));
        self.actions.push(Action::PeerRequest { to, id: self.next_id, request: peer_request });
    }

    /// Processes the response to a one-way message (`None`: none arrived). Returns false if the id
    /// belongs to no such message.
    pub(super) fn on_one_way_reply(
        &mut self,
        now: Now,
        id: u64,
        reply: Option<&HttpReply>,
    ) -> bool {
        let Some((peer, _)) = self.one_way_in_flight.remove(&id) else { return false };
        if self.leadership.other_leader() == Some(&peer) {
            self.record_leader_contact(reply.is_some(), now.mono);
        }
        match reply {
            None => self.members(now).record_unreachable(&peer, now.mono),
            // An earlier version responds with a body without gossip.
            Some(reply) => {
                if let Ok(gossip) = serde_json::from_str::<Gossip>(&reply.body) {
                    self.on_gossip(now, &gossip);
                }
            }
        }
        true
    }

    /// Processes gossip from a peer and returns this controller's gossip as the response.
    pub(super) fn answer_gossip(&mut self, now: Now, gossip: &Gossip) -> HttpReply {
        self.on_gossip(now, gossip);
        let response = self.gossip(now, &gossip.from);
        HttpReply::json(200, &response)
    }

    fn on_gossip(&mut self, now: Now, gossip: &Gossip) {
        if self.members(now).receive(gossip, now).is_ok()
            && let Some((leader, token)) = &gossip.leader
        {
            // That the leader held this fencing token was true when the message was sent, whoever
            // relays it.
            self.leadership.on_peer_leader(leader, *token);
            self.follow_leadership(now);
        }
    }

    /// The leader key exists, which shows by a route of its own that its holder is alive.
    pub(super) fn saw_leader_key(&mut self, now: Now) {
        if let Some(leader) = self.leadership.other_leader().cloned() {
            self.members(now).record_key_seen(&leader, now.mono);
        }
    }

    /// Whether requests reach the peer at present, as far as the last one shows.
    pub(super) fn can_reach(&self, peer: &Member, now: Mono) -> bool {
        let link = self.membership.as_ref().map(|members| members.link(peer));
        !matches!(link, Some(LinkState::Down { since }) if now.since(since) < UNREACHABLE_PEER_PAUSE_MS)
    }

    /// Returns the controller through which to reach a leader that neither a worker nor this
    /// controller reaches; if none is known, the first other one that is not gone.
    pub(super) fn route_around(&self, leader: &Member, now: Mono) -> Option<Member> {
        let route = self.membership.as_ref().and_then(|members| members.relay_for(leader, now));
        let others = || self.settings.peers.iter().map(|p| &p.member).filter(|m| *m != leader);
        let is_gone = |peer: &&Member| {
            let members = self.membership.as_ref();
            members.is_some_and(|m| matches!(m.presence(peer), Presence::Gone { .. }))
        };
        route.or_else(|| others().find(|peer| !is_gone(peer))).or_else(|| others().next()).cloned()
    }
}
