//! Time-limited leases that let at most one process act under each host number (ordinal) of a
//! group.
//!
//! A lease is granted and renewed by a majority of the group. A candidate asks its peers for the
//! generations that they know ([`Step::Query`]), asks for admission under the next generation
//! ([`Step::Admit`]) and then renews its lease ([`Step::Renew`]); the first renewal does not count
//! its own vote. A majority records a generation before it is used, so at most one of two
//! candidates with the same generation is admitted.
//!
//! A voter that was replaced without noticing must not count. Every vote carries the generations
//! that the voter knows, and a vote is discarded if any vote of the round names a higher generation
//! of that voter's ordinal.

mod quorum;
#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::quorum::{GroupSizes, MAX_GROUP_SIZE, Voters};
use crate::{
    ids::{Generation, Incarnation, Ordinal},
    time::{Tick, minus_drift, plus_drift},
};

/// Duration of a lease, counted from when the requests of its last successful round were sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Time between two rounds of requests; five rounds may fail in a row before the lease ends.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Step of the lease protocol that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Asks whether the ordinal is free and which generations are known; grants nothing.
    Query,
    /// Asks for admission under the generation of the request.
    Admit,
    /// Asks for a renewal, by a process that was admitted.
    Renew,
    /// Asks for admission at the first start (bootstrap) of a group.
    Found,
    /// Reports that the sender has given up its authority for good.
    Release,
}

/// Request for a vote, sent to every peer of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Ordinal that the sender wants to hold.
    pub ordinal: Ordinal,
    /// Process that sends the request.
    pub incarnation: Incarnation,
    /// Generation under which it wants to hold the ordinal, 0 in a query.
    pub generation: Generation,
    /// Round number, increasing within one incarnation.
    pub round: u64,
    /// Step of the protocol.
    pub step: Step,
    /// Configuration version that the sender uses.
    pub version: u64,
}

/// Why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The voter has not been admitted to its own ordinal.
    NotAdmitted,
    /// The voter was admitted too recently: grants of its predecessor may still be valid.
    Quarantined,
    /// Another process holds the ordinal or may still hold it.
    Held,
    /// The sender or its generation has been replaced.
    Replaced,
    /// The sender uses an older configuration than the voter.
    OldVersion,
    /// The voter does not take part in the first start of the group with the sender's generation.
    NotFounding,
}

/// Answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Round of the request.
    pub round: u64,
    /// Why the request was refused, `None` if it was granted.
    pub refusal: Option<Refusal>,
    /// Generation under which the voter was admitted to its own ordinal, 0 if it was not.
    pub generation: Generation,
    /// Highest generation that the voter knows, by ordinal.
    pub known: [Generation; MAX_GROUP_SIZE],
    /// Configuration version that the voter uses.
    pub version: u64,
    /// Group sizes under which the voter requires a majority.
    pub sizes: GroupSizes,
}

/// Action or notification for the caller of [`Lease`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a request and pass the vote to [`Lease::handle_vote`].
    SendRequest {
        /// Receiver.
        to: Ordinal,
        /// Message.
        request: LeaseRequest,
    },
    /// This process was admitted and has authority.
    Admitted(Generation),
    /// The lease expired.
    Lost,
    /// The lease was renewed after it had expired.
    Regained,
    /// Another process has the ordinal. This one must start over as a new incarnation.
    Replaced(Generation),
    /// A peer refuses this host's requests until it uses a newer configuration.
    OutdatedConfig {
        /// Peer that has the newer configuration.
        from: Ordinal,
        /// Version of that configuration.
        version: u64,
    },
}

/// Right to use an ordinal's shares of the allowances and to send commands to its engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// Expiry time, exclusive.
    pub until: Tick,
    /// Generation of the holder, which is the fencing token of its commands.
    pub generation: Generation,
    /// Number of equal shares that allowances are divided into, 0 while this host has none.
    pub parts: u8,
}

impl Authority {
    /// Whether the authority has not expired.
    pub fn is_valid(&self, now: Tick) -> bool {
        now < self.until
    }
}

/// Identity of this process and the configuration that its lease starts with.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Ordinal that this host is set up with.
    pub ordinal: Ordinal,
    /// Group size.
    pub hosts: u8,
    /// Random identifier of this process.
    pub incarnation: Incarnation,
    /// Generation for the first start of the group, `None` to join a running group. It must be
    /// above all generations used before, so that engines accept the new fencing tokens.
    pub bootstrap: Option<Generation>,
    /// Active configuration version.
    pub version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    incarnation: Incarnation,
    generation: Generation,
    until: Tick,
    released: bool,
}

#[derive(Clone, Debug)]
struct Round {
    number: u64,
    step: Step,
    generation: Generation,
    sent: Tick,
    votes: [Option<Vote>; MAX_GROUP_SIZE],
    done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Candidate,
    Admitted { generation: Generation, votes_from: Tick, confirmed: bool },
    Ended,
}

/// State of this host as holder or candidate of its ordinal and as a voter for its peers.
#[derive(Clone, Debug)]
pub struct Lease {
    setup: Setup,
    state: State,
    started: Tick,
    until: Tick,
    held: bool,
    round: Round,
    next_round: Tick,
    // Number of ordinals that get requests; larger than the group size while the group shrinks.
    asked_hosts: u8,
    // The first start is over according to a peer, so a majority has to admit this process.
    join_by_majority: bool,
    known: [Generation; MAX_GROUP_SIZE],
    grants: [Option<Grant>; MAX_GROUP_SIZE],
    founders: [Option<Incarnation>; MAX_GROUP_SIZE],
    sizes: GroupSizes,
    // When a majority under every group size was first known to use this version.
    version_agreed: Option<Tick>,
}

impl Lease {
    /// Starts as a candidate that has granted nothing.
    pub fn new(setup: Setup, now: Tick) -> Self {
        Self {
            setup,
            state: State::Candidate,
            started: now,
            until: Tick(0),
            held: false,
            round: Round::new(0, Step::Query, Generation(0), now),
            next_round: now,
            asked_hosts: setup.hosts,
            join_by_majority: false,
            known: [Generation(0); MAX_GROUP_SIZE],
            grants: [None; MAX_GROUP_SIZE],
            founders: [None; MAX_GROUP_SIZE],
            sizes: GroupSizes::single(setup.hosts),
            version_agreed: None,
        }
    }

    /// The current authority, `None` if this process does not hold its ordinal.
    pub fn authority(&self, now: Tick) -> Option<Authority> {
        let State::Admitted { generation, confirmed: true, .. } = self.state else { return None };
        if now >= self.until || !self.is_member() {
            return None;
        }
        Some(Authority { until: self.until, generation, parts: self.parts() })
    }

    /// Generation under which this process was admitted, even if its lease has expired.
    pub fn admitted(&self) -> Option<Generation> {
        match self.state {
            State::Admitted { generation, .. } => Some(generation),
            State::Candidate | State::Ended => None,
        }
    }

    /// Starts a round of requests if one is due and reports an expired lease.
    pub fn poll(&mut self, now: Tick, out: &mut Vec<Effect>) {
        if self.held && self.authority(now).is_none() {
            self.held = false;
            out.push(Effect::Lost);
        }
        if self.version_agreed.is_some_and(|t| now >= t + plus_drift(LEASE_DURATION)) {
            self.sizes = GroupSizes::single(self.setup.hosts);
            self.version_agreed = None;
        }
        if now < self.next_round || !self.is_member() {
            return;
        }
        self.next_round = now + self.round_interval();
        match self.state {
            State::Ended => {}
            State::Admitted { generation, .. } => {
                self.send_requests(Step::Renew, generation, now, out)
            }
            State::Candidate => match self.setup.bootstrap {
                Some(g) if !self.join_by_majority => {
                    if self.startup_wait_over(now) {
                        self.send_requests(Step::Found, g, now, out);
                    }
                }
                _ => self.send_requests(Step::Query, Generation(0), now, out),
            },
        }
    }

    /// When [`Lease::poll`] has to be called next.
    pub fn due(&self) -> Tick {
        if self.held { self.next_round.min(self.until) } else { self.next_round }
    }

    /// Decides on a peer's request and records what was granted.
    pub fn vote(&mut self, now: Tick, q: &LeaseRequest) -> Vote {
        let refusal = match q.step {
            _ if usize::from(q.ordinal.0) >= MAX_GROUP_SIZE => Some(Refusal::Held),
            Step::Release => {
                self.handle_release(q);
                None
            }
            Step::Found => self.check_bootstrap(now, q),
            Step::Query | Step::Admit | Step::Renew => self.check_request(now, q),
        };
        let grants = matches!(q.step, Step::Admit | Step::Renew | Step::Found);
        if grants && refusal.is_none() {
            let i = ordinal_index(q.ordinal);
            self.known[i] = self.known[i].max(q.generation);
            self.grants[i] = Some(Grant {
                incarnation: q.incarnation,
                generation: q.generation,
                until: now + plus_drift(LEASE_DURATION),
                released: false,
            });
        }
        Vote {
            round: q.round,
            refusal,
            generation: self.admitted().unwrap_or_default(),
            known: self.known,
            version: self.setup.version,
            sizes: self.sizes,
        }
    }

    /// Counts a peer's vote; votes of other rounds are ignored.
    pub fn handle_vote(&mut self, now: Tick, from: Ordinal, vote: Vote, out: &mut Vec<Effect>) {
        let known = usize::from(from.0) < MAX_GROUP_SIZE && from != self.setup.ordinal;
        if vote.round != self.round.number || self.state == State::Ended || !known {
            return;
        }
        if vote.refusal == Some(Refusal::OldVersion) && vote.version > self.setup.version {
            out.push(Effect::OutdatedConfig { from, version: vote.version });
        }
        if vote.generation > Generation(0) {
            self.asked_hosts = self.asked_hosts.max(vote.sizes.largest());
            self.join_by_majority |= self.round.step == Step::Found && vote.refusal.is_some();
        }
        for (mine, theirs) in self.known.iter_mut().zip(vote.known) {
            *mine = (*mine).max(theirs);
        }
        let highest = self.known[ordinal_index(self.setup.ordinal)];
        if self.admitted().is_some_and(|g| g < highest) {
            self.end();
            out.push(Effect::Replaced(highest));
            return;
        }
        self.round.votes[ordinal_index(from)] = Some(vote);
        if !self.round.done {
            self.count_votes(now, out);
        }
    }

    /// Applies a new configuration; a version that is not newer is ignored.
    pub fn configure(&mut self, now: Tick, version: u64, hosts: u8) {
        if version <= self.setup.version {
            return;
        }
        self.setup.version = version;
        if hosts != self.setup.hosts {
            self.setup.hosts = hosts;
            self.sizes = self.sizes.union(GroupSizes::single(hosts));
            self.version_agreed = None;
        }
        // The votes of the current round were cast for the old version.
        self.round.number += 1;
        self.round.done = true;
        self.next_round = now;
    }

    /// Gives up the ordinal for good, so that a successor need not wait for the lease to expire.
    ///
    /// The caller must have stopped using its authority, and the loans it gave must have ended.
    pub fn release(&mut self, now: Tick, out: &mut Vec<Effect>) {
        if let State::Admitted { generation, .. } = self.state {
            self.send_requests(Step::Release, generation, now, out);
        }
        self.end();
    }

    /// Whether a change of the group size is in progress.
    pub fn is_resizing(&self) -> bool {
        self.sizes != GroupSizes::single(self.setup.hosts)
    }

    fn end(&mut self) {
        self.state = State::Ended;
        self.held = false;
    }

    fn is_member(&self) -> bool {
        self.setup.ordinal.0 < self.setup.hosts
    }

    // While hosts with another group size may be active, a host uses the smallest share, and an
    // ordinal outside some of the sizes uses none. So the shares never sum to more than the whole.
    fn parts(&self) -> u8 {
        if self.setup.ordinal.0 < self.sizes.smallest() { self.sizes.largest() } else { 0 }
    }

    // Candidates of one ordinal use different intervals, so that they do not block each other.
    fn round_interval(&self) -> Duration {
        match self.state {
            State::Candidate => {
                RENEW_INTERVAL + Duration::from_millis(self.setup.incarnation.0 % 256)
            }
            State::Admitted { .. } | State::Ended => RENEW_INTERVAL,
        }
    }

    // At a first start, a process neither asks nor votes until everything that an earlier process
    // of its ordinal may have granted has expired.
    fn startup_wait_over(&self, now: Tick) -> bool {
        now >= self.started + plus_drift(LEASE_DURATION)
    }

    fn send_requests(
        &mut self,
        step: Step,
        generation: Generation,
        now: Tick,
        out: &mut Vec<Effect>,
    ) {
        self.round = Round::new(self.round.number + 1, step, generation, now);
        let asked_hosts = self.asked_hosts.max(self.sizes.largest());
        for to in (0..asked_hosts).map(Ordinal).filter(|o| *o != self.setup.ordinal) {
            let request = LeaseRequest {
                ordinal: self.setup.ordinal,
                incarnation: self.setup.incarnation,
                generation,
                round: self.round.number,
                step,
                version: self.setup.version,
            };
            out.push(Effect::SendRequest { to, request });
        }
        if step != Step::Release {
            // A group of one has no votes to wait for.
            self.count_votes(now, out);
        }
    }

    fn check_request(&self, now: Tick, q: &LeaseRequest) -> Option<Refusal> {
        let i = ordinal_index(q.ordinal);
        let State::Admitted { votes_from, confirmed, .. } = self.state else {
            return Some(Refusal::NotAdmitted);
        };
        if now < votes_from || !confirmed {
            return Some(Refusal::Quarantined);
        }
        if q.version < self.setup.version {
            return Some(Refusal::OldVersion);
        }
        let grant = self.grants[i];
        let own = grant.is_some_and(|g| g.incarnation == q.incarnation);
        if q.ordinal == self.setup.ordinal || grant.is_some_and(|g| !own && now < g.until) {
            return Some(Refusal::Held);
        }
        let current = match q.step {
            Step::Query => true,
            Step::Admit => {
                let repeated = grant.is_some_and(|g| own && g.generation == q.generation);
                q.generation > self.known[i] || (repeated && q.generation == self.known[i])
            }
            _ => q.generation >= self.known[i],
        };
        if !current || grant.is_some_and(|g| own && g.released) {
            return Some(Refusal::Replaced);
        }
        None
    }

    fn check_bootstrap(&mut self, now: Tick, q: &LeaseRequest) -> Option<Refusal> {
        let fresh = self.state == State::Candidate || self.admitted() == self.setup.bootstrap;
        if self.setup.bootstrap != Some(q.generation) || !fresh || !self.startup_wait_over(now) {
            return Some(Refusal::NotFounding);
        }
        if q.version != self.setup.version {
            return Some(Refusal::OldVersion);
        }
        if q.ordinal == self.setup.ordinal || self.known[ordinal_index(q.ordinal)] > q.generation {
            return Some(Refusal::Replaced);
        }
        // Only the first process of an ordinal bootstraps; a second one needs a majority.
        let founder = *self.founders[ordinal_index(q.ordinal)].get_or_insert(q.incarnation);
        (founder != q.incarnation).then_some(Refusal::Held)
    }

    fn handle_release(&mut self, q: &LeaseRequest) {
        let grant = &mut self.grants[ordinal_index(q.ordinal)];
        if let Some(g) = grant.as_mut().filter(|g| g.incarnation == q.incarnation) {
            g.until = Tick(0);
            g.released = true;
        }
    }

    fn count_votes(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let sizes = self.required_sizes();
        let all = self.round.granting_voters(&self.known).with(self.setup.ordinal);
        let own = matches!(self.state, State::Admitted { confirmed: true, .. });
        let voters = if own { all } else { all.without(self.setup.ordinal) };
        let single = self.setup.hosts == 1 && !self.is_resizing();
        let enough = match self.round.step {
            Step::Found => all.len() == self.setup.hosts,
            _ if single => true,
            _ => sizes.all_have_majority(voters),
        };
        let overtaken = self.round.step != Step::Query
            && self.known[ordinal_index(self.setup.ordinal)] > self.round.generation;
        if !enough || overtaken {
            return;
        }
        self.round.done = true;
        match self.round.step {
            Step::Query => {
                let next = Generation(self.known[ordinal_index(self.setup.ordinal)].0 + 1);
                self.send_requests(Step::Admit, next, now, out);
            }
            Step::Admit | Step::Found => {
                self.sizes = sizes;
                self.admit(now, out);
            }
            Step::Renew => {
                if sizes != self.sizes {
                    self.sizes = sizes;
                    self.version_agreed = None;
                }
                self.renew(now, out);
            }
            Step::Release => {}
        }
    }

    // A new process does not know which configuration version its predecessor voted for. Its own
    // vote counts and its authority starts only after a round that was sent after the admission and
    // succeeded without its vote. Otherwise an older configuration could get a majority again.
    fn admit(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let generation = self.round.generation;
        let found = self.round.step == Step::Found;
        // At a first start no grants of predecessors have to expire.
        let votes_from = if found { now } else { now + plus_drift(LEASE_DURATION) };
        self.known[ordinal_index(self.setup.ordinal)] = generation;
        self.state = State::Admitted { generation, votes_from, confirmed: found };
        self.next_round = now + RENEW_INTERVAL;
        if found {
            self.extend_authority(now, Effect::Admitted(generation), out);
        } else {
            self.send_requests(Step::Renew, generation, now, out);
        }
    }

    fn extend_authority(&mut self, now: Tick, effect: Effect, out: &mut Vec<Effect>) {
        self.until = self.until.max(self.round.sent + minus_drift(LEASE_DURATION));
        if !self.held && self.authority(now).is_some() {
            self.held = true;
            out.push(effect);
        }
    }

    fn renew(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let mut effect = Effect::Regained;
        if let State::Admitted { generation, confirmed, .. } = &mut self.state
            && !std::mem::replace(confirmed, true)
        {
            effect = Effect::Admitted(*generation);
        }
        self.extend_authority(now, effect, out);
        if self.is_resizing() && self.version_agreed.is_none() {
            let same = self.round.voters_with_version(self.setup.version).with(self.setup.ordinal);
            let voters =
                self.round.granting_voters(&self.known).with(self.setup.ordinal).intersection(same);
            if self.sizes.all_have_majority(voters) {
                self.version_agreed = Some(now);
            }
        }
    }

    // Group sizes under which the round needs a majority: this host's and, while hosts with another
    // size may be active, those of the voters.
    fn required_sizes(&self) -> GroupSizes {
        let mine = GroupSizes::single(self.setup.hosts);
        let votes = || self.round.votes.iter().flatten().filter(|v| v.generation > Generation(0));
        let settled = self.admitted().is_some() && self.sizes == mine;
        if settled || votes().any(|v| v.version == self.setup.version && v.sizes == mine) {
            return mine;
        }
        votes().fold(self.sizes, |s, v| s.union(v.sizes))
    }
}

impl Round {
    fn new(number: u64, step: Step, generation: Generation, sent: Tick) -> Self {
        Self { number, step, generation, sent, votes: Default::default(), done: false }
    }

    // Voters that granted the round and are not known to be replaced.
    fn granting_voters(&self, known: &[Generation; MAX_GROUP_SIZE]) -> Voters {
        let votes = self.votes.iter().enumerate();
        votes.fold(Voters::default(), |voters, (i, v)| match v {
            Some(v) if v.refusal.is_none() && v.generation >= known[i] => {
                voters.with(Ordinal(i as u8))
            }
            // At a first start, processes vote before they are admitted.
            Some(v) if v.refusal.is_none() && self.step == Step::Found => {
                voters.with(Ordinal(i as u8))
            }
            _ => voters,
        })
    }

    fn voters_with_version(&self, version: u64) -> Voters {
        let votes = self.votes.iter().enumerate();
        votes.fold(Voters::default(), |voters, (i, v)| match v {
            Some(v) if v.version >= version => voters.with(Ordinal(i as u8)),
            _ => voters,
        })
    }
}

fn ordinal_index(o: Ordinal) -> usize {
    usize::from(o.0).min(MAX_GROUP_SIZE - 1)
}
