//! Leases of ordinals, confirmed by a majority of peers.
//!
//! For each ordinal at most one process at a time has authority. A process that wants an ordinal
//! first asks its peers for the generations they know ([`Step::Query`]), then asks them to admit
//! it under the next one ([`Step::Admit`]), and from then on renews the lease
//! ([`Step::Renew`]), first without its own vote. A generation is written down by a majority before it is used, so of two
//! candidates with the same generation at most one is admitted.
//!
//! A voter that was replaced without noticing must not be counted. Every vote therefore carries
//! the generations that the voter knows, and a vote is dropped when anyone in the round knows a
//! higher generation of the voter's ordinal.

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

/// How long a confirmed round gives authority.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Time between two rounds; five rounds may fail in a row before the lease ends.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// What a holder or a candidate asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Whether the ordinal is free, and which generations are known. Grants nothing.
    Query,
    /// Admission under the generation of the request.
    Admit,
    /// Renewal by a process that was admitted.
    Renew,
    /// Admission at the first start of a group.
    Found,
    /// The asker has stopped using its authority for good.
    Release,
}

/// A request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Ordinal that is asked for.
    pub ordinal: Ordinal,
    /// Process that asks.
    pub incarnation: Incarnation,
    /// Generation that is asked for, 0 in a query.
    pub generation: Generation,
    /// Number of the round, rising within one incarnation.
    pub round: u64,
    /// What is asked for.
    pub step: Step,
    /// Version of the configuration that the asker uses.
    pub version: u64,
}

/// Why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The voter has not been admitted to its own ordinal.
    NotAdmitted,
    /// The voter was admitted too recently to know its predecessor's grants.
    Quarantined,
    /// Another process holds the ordinal.
    Held,
    /// The asker, or its generation, has been replaced.
    Replaced,
    /// The asker uses an older configuration than the voter.
    OldVersion,
    /// A first start that the voter does not take part in.
    NotFounding,
}

/// Answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Round that is answered.
    pub round: u64,
    /// Why the request was refused, `None` when it was granted.
    pub refusal: Option<Refusal>,
    /// Generation of the voter's own ordinal that the voter was admitted under.
    pub generation: Generation,
    /// Highest generation the voter knows for each ordinal.
    pub known: [Generation; MAX_GROUP_SIZE],
    /// Version of the configuration that the voter uses.
    pub version: u64,
    /// Group sizes that the voter still counts with.
    pub sizes: GroupSizes,
}

/// What the lease asks its owner to do or to note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to a peer.
    SendRequest {
        /// Peer.
        to: Ordinal,
        /// Request.
        request: LeaseRequest,
    },
    /// This process was admitted.
    Admitted(Generation),
    /// The lease ended without a renewal.
    Lost,
    /// The lease was renewed after it had been lost.
    Regained,
    /// Another process has the ordinal. This one must start again as a new incarnation.
    Replaced(Generation),
    /// A peer uses a newer configuration and refuses this host until it has fetched it.
    OutdatedConfig {
        /// Peer that has the newer version.
        from: Ordinal,
        /// Its version.
        version: u64,
    },
}

/// Right to use an ordinal's shares and engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// First time at which the right is over.
    pub until: Tick,
    /// Generation of the holder, the fencing number of its commands.
    pub generation: Generation,
    /// Number of equal parts that allowances are divided into, 0 while this host has no part.
    pub parts: u8,
}

impl Authority {
    /// Whether the right can be used now.
    pub fn is_valid(&self, now: Tick) -> bool {
        now < self.until
    }
}

/// Identity of this process.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Ordinal from the settings.
    pub ordinal: Ordinal,
    /// Number of ordinals of the group.
    pub hosts: u8,
    /// Random number of this process.
    pub incarnation: Incarnation,
    /// Generation of a first start, `None` outside a first start. It must be above all generations
    /// that were in use before, so that engines accept the new fencing numbers.
    pub bootstrap: Option<Generation>,
    /// Version of the configuration in force.
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

/// Lease of this host's ordinal and the votes it has granted to peers.
#[derive(Clone, Debug)]
pub struct Lease {
    setup: Setup,
    state: State,
    started: Tick,
    until: Tick,
    held: bool,
    round: Round,
    next_round: Tick,
    // Number of ordinals that are asked; more than the group size while that shrinks.
    asked_hosts: u8,
    // A peer said that the first start is over, so this process joins by a majority.
    join_by_majority: bool,
    known: [Generation; MAX_GROUP_SIZE],
    grants: [Option<Grant>; MAX_GROUP_SIZE],
    founders: [Option<Incarnation>; MAX_GROUP_SIZE],
    sizes: GroupSizes,
    // When a majority under every size was first known to use this version.
    version_agreed: Option<Tick>,
}

impl Lease {
    /// A process that has just started.
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

    /// The right to use the ordinal, `None` when this process does not hold it now.
    pub fn authority(&self, now: Tick) -> Option<Authority> {
        let State::Admitted { generation, confirmed: true, .. } = self.state else { return None };
        if now >= self.until || !self.is_member() {
            return None;
        }
        Some(Authority { until: self.until, generation, parts: self.parts() })
    }

    /// Whether this process has been admitted, whatever the state of its lease.
    pub fn admitted(&self) -> Option<Generation> {
        match self.state {
            State::Admitted { generation, .. } => Some(generation),
            State::Candidate | State::Ended => None,
        }
    }

    /// Starts a round when one is due and notes the end of the lease.
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

    /// Time of the next [`Lease::poll`] that has something to do.
    pub fn due(&self) -> Tick {
        if self.held { self.next_round.min(self.until) } else { self.next_round }
    }

    /// Answers a peer's request.
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

    /// Takes a peer's vote. A vote of another round is ignored.
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

    /// Takes a new configuration into use. A lower version is ignored.
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
        // Votes of the running round were given to the old version.
        self.round.number += 1;
        self.round.done = true;
        self.next_round = now;
    }

    /// Gives up the ordinal for good, so that a successor need not wait for the lease to end.
    ///
    /// The caller must have stopped using its authority, and loans given must have ended.
    pub fn release(&mut self, now: Tick, out: &mut Vec<Effect>) {
        if let State::Admitted { generation, .. } = self.state {
            self.send_requests(Step::Release, generation, now, out);
        }
        self.end();
    }

    /// Whether a change of the group size is still under way.
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

    // While hosts with another group size may still be active, a host uses the smallest share, and
    // an ordinal that some of them do not know uses none. So the shares never exceed the whole.
    fn parts(&self) -> u8 {
        if self.setup.ordinal.0 < self.sizes.smallest() { self.sizes.largest() } else { 0 }
    }

    // Candidates of the same ordinal differ in their period, so that one of them gets ahead.
    fn round_interval(&self) -> Duration {
        match self.state {
            State::Candidate => {
                RENEW_INTERVAL + Duration::from_millis(self.setup.incarnation.0 % 256)
            }
            State::Admitted { .. } | State::Ended => RENEW_INTERVAL,
        }
    }

    // A process that founds or admits at a first start waits until everything that an earlier
    // process of its ordinal may have granted is over.
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
            // A group of one has nobody to wait for.
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
        // One founder per ordinal: a second process of the ordinal is admitted by a majority.
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

    // A new process does not know which configuration its predecessor had confirmed. So its own
    // vote counts, and its authority starts, only after a round without its own vote that was sent
    // after the admission. Otherwise an older configuration could get a majority again.
    fn admit(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let generation = self.round.generation;
        let found = self.round.step == Step::Found;
        // At a first start there are no grants of predecessors to wait for.
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

    // Group sizes whose majority the round needs: this host's and, while it may be that hosts with
    // another size are active, those that the voters count with.
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

    // Voters that granted the round and have not been replaced as far as anyone in it knows.
    fn granting_voters(&self, known: &[Generation; MAX_GROUP_SIZE]) -> Voters {
        let votes = self.votes.iter().enumerate();
        votes.fold(Voters::default(), |voters, (i, v)| match v {
            Some(v) if v.refusal.is_none() && v.generation >= known[i] => {
                voters.with(Ordinal(i as u8))
            }
            // A process that takes part in a first start votes before it is admitted.
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
