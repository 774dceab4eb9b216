//! Configuration versions: which one is in force, and what is fetched to reach a newer one.
//!
//! A version is a [`Head`] and parts addressed by their digest. Parts stay in memory, so a change
//! fetches only parts that are new, and peers can fetch them from here.

mod fetch;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
    time::Duration,
};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use self::fetch::Fetches;
use crate::{
    ids::Ordinal,
    rules::{Digest, Head, MAX_PART_BYTES, PublishError, Rules, digest, read_index},
    time::Tick,
};

/// Versions that are fetched at the same time. The lowest one makes progress while newer ones keep
/// arriving, and the highest one is what must be in force in the end; more would only cost memory.
pub const MAX_CANDIDATES: usize = 4;

/// Heads that are fetched at the same time.
pub const MAX_HEAD_FETCHES: usize = 4;

/// Peers remembered as sources of one candidate, besides the service.
pub const MAX_SOURCES: usize = 4;

/// Largest sum of part sizes of one version, in bytes. 21,000 adapters need about 2 MB; the limit
/// keeps one bad version from exhausting the 64 MB of control memory.
pub const MAX_VERSION_BYTES: usize = 16_000_000;

/// How long a candidate may stay incomplete. A version that is still announced comes back as a new
/// candidate, so the limit only removes versions that nobody can serve.
pub const CANDIDATE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long without a confirmation of the newest version keyed requests are still admitted.
pub const STALE_TIMEOUT: Duration = Duration::from_secs(10);

/// Refused digests and reports that are remembered. Each entry stands for an operator's mistake
/// or a faulty peer, so a few are enough to avoid a repeated fetch and a repeated event.
const MAX_REMEMBERED: usize = 16;

/// Where a head or a part comes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The configuration service.
    Service,
    /// A host, by name.
    Peer(ArcStr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service => f.write_str("the configuration service"),
            Self::Peer(name) => write!(f, "host {name}"),
        }
    }
}

/// Version and head digest, what probes carry. A head has 17 digests, which would be too much for
/// a message that is sent every 500 ms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Version.
    pub version: u64,
    /// Digest of the head.
    pub digest: Digest,
}

impl From<&Head> for Stamp {
    fn from(head: &Head) -> Self {
        Self { version: head.version, digest: head.digest.clone() }
    }
}

/// What is fetched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchTarget {
    /// The head that the source has now.
    Head,
    /// A part.
    Part(Digest),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A head arrived, from a watch, a fetch or a peer.
    HeadReceived {
        /// Who has it.
        from: Source,
        /// The head.
        head: Head,
    },
    /// A probe or a vote names a version.
    VersionAnnounced {
        /// Who runs it.
        from: Source,
        /// Version, 0 for none.
        version: u64,
        /// Digest of the head, if the message has it.
        digest: Option<Digest>,
    },
    /// A peer of the group answered this host's question at its start (any probe answer will do).
    PeerAnswered {
        /// The peer's ordinal.
        ordinal: Ordinal,
        /// The peer's name.
        peer: ArcStr,
        /// Whether the peer has finished its own start ([`Config::is_ready`]).
        ready: bool,
        /// What it runs.
        stamp: Option<Stamp>,
    },
    /// A part arrived.
    PartReceived {
        /// Who sent it.
        from: Source,
        /// Digest that was asked for.
        digest: Digest,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A fetch failed or its deadline passed.
    FetchFailed {
        /// Who was asked.
        from: Source,
        /// What was asked for.
        target: FetchTarget,
    },
    /// A lease round had a majority, so most of the group runs no newer version.
    MajorityConfirmed,
    /// The service answered that its head is unchanged.
    HeadUnchanged,
    /// Time passed; at least every 500 ms.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Fetch something and report it as [`Event::Offered`], [`Event::Part`] or [`Event::Failed`].
    Fetch {
        /// Whom to ask.
        from: Source,
        /// What to ask for.
        target: FetchTarget,
    },
    /// A version is in force.
    Apply {
        /// Version.
        version: u64,
        /// Its rules.
        rules: Arc<Rules>,
    },
    /// A version was rejected; raise a numbered log event.
    Rejected(Rejection),
    /// Tell all peers at once what is in force.
    Announce(Stamp),
    /// The start is complete.
    Ready,
}

/// A version that was rejected. It is reported once.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {version} from {from} rejected: {reason}")]
pub struct Rejection {
    /// Version.
    pub version: u64,
    /// Who offered it.
    pub from: Source,
    /// Why.
    pub reason: Reason,
}

/// Why a version was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// Another content of the same version is in force or being fetched.
    #[error("digest {offered} differs from the known digest {known}")]
    Conflict {
        /// Digest of the head that is kept.
        known: Digest,
        /// Digest of the head that was rejected.
        offered: Digest,
    },
    /// Bytes do not have the digest they were asked for by.
    #[error("digest of {0} does not match its content")]
    Mismatch(Digest),
    /// The version cannot be read or does not pass the checks.
    #[error("{0}")]
    Invalid(String),
    /// Nobody served all its parts in time.
    #[error("{0} parts could not be fetched")]
    Unavailable(usize),
}

/// The version in force and the candidates for the next one.
#[derive(Debug)]
pub struct Config {
    ordinal: Ordinal,
    bootstrap: bool,
    active: Option<Active>,
    // Parts of the version before, which peers may still be fetching.
    previous: BTreeSet<Digest>,
    parts: BTreeMap<Digest, ArcStr>,
    // By rising version.
    candidates: Vec<Candidate>,
    fetches: Fetches,
    refused: VecDeque<Digest>,
    reported: VecDeque<Rejection>,
    // First answer of each peer that counts.
    answers: BTreeMap<Ordinal, Option<Stamp>>,
    // Peers that answered before they were ready themselves; they count only at a first start.
    starting: BTreeMap<Ordinal, Option<Stamp>>,
    // First head of the service, an answer at the start.
    service: Option<Stamp>,
    // Version that the service offered last.
    service_version: u64,
    confirmed: Option<Tick>,
    ready: bool,
}

#[derive(Debug)]
struct Active {
    head: Head,
    rules: Arc<Rules>,
    parts: BTreeSet<Digest>,
}

#[derive(Debug)]
struct Candidate {
    head: Head,
    sources: Vec<Source>,
    since: Tick,
    // Parts that the head and the index parts at hand name, and those of them that are not here.
    parts: BTreeSet<Digest>,
    missing: BTreeSet<Digest>,
    // Size of the parts that are here.
    bytes: usize,
}

impl Config {
    /// Nothing in force. `found` is the setting for the first start of a group.
    pub fn new(ordinal: Ordinal, bootstrap: bool) -> Self {
        Self {
            ordinal,
            bootstrap,
            active: None,
            previous: BTreeSet::new(),
            parts: BTreeMap::new(),
            candidates: Vec::new(),
            fetches: Fetches::default(),
            refused: VecDeque::new(),
            reported: VecDeque::new(),
            answers: BTreeMap::new(),
            starting: BTreeMap::new(),
            service: None,
            service_version: 0,
            confirmed: None,
            ready: false,
        }
    }

    /// Version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |f| f.head.version)
    }

    /// Version and digest in force, for probes.
    pub fn stamp(&self) -> Option<Stamp> {
        self.head().map(Stamp::from)
    }

    /// Head in force, for peers.
    pub fn head(&self) -> Option<&Head> {
        self.active.as_ref().map(|f| &f.head)
    }

    /// Rules in force.
    pub fn rules(&self) -> Option<&Arc<Rules>> {
        self.active.as_ref().map(|f| &f.rules)
    }

    /// A part, for peers.
    pub fn part(&self, digest: &Digest) -> Option<&ArcStr> {
        self.parts.get(digest)
    }

    /// Whether the start is complete.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the newest version has been unconfirmed for so long that keyed requests are refused.
    pub fn is_stale(&self, now: Tick) -> bool {
        self.confirmed.is_none_or(|t| now.since(t) >= STALE_TIMEOUT)
    }

    /// Takes an event and appends what to do.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::HeadReceived { from, head } => self.offered(now, from, head, out),
            Event::VersionAnnounced { from, version, digest } => {
                self.announced(now, from, version, digest, out);
            }
            Event::PeerAnswered { ordinal, peer, ready, stamp } => {
                self.answered(ordinal, ready, stamp.clone());
                if let Some(s) = stamp {
                    self.announced(now, Source::Peer(peer), s.version, Some(s.digest), out);
                }
            }
            Event::PartReceived { from, digest, bytes } => self.arrived(from, digest, &bytes, out),
            Event::FetchFailed { from, target } => self.fetches.failed(&from, &target),
            Event::MajorityConfirmed => self.confirmed = Some(now),
            // A service that is stale confirms an older version than the one in force.
            Event::HeadUnchanged if self.service_version < self.version() => {}
            Event::HeadUnchanged => self.confirm(now),
            Event::Tick => self.expire(now, out),
        }
        self.advance(now, out);
        self.fetch_missing(now, out);
        self.check_ready(now, out);
    }

    fn offered(&mut self, now: Tick, from: Source, head: Head, out: &mut Vec<Effect>) {
        self.fetches.failed(&from, &FetchTarget::Head);
        if from == Source::Service {
            self.service_version = head.version;
        }
        if head.version < self.version() {
            return;
        }
        if let Err(e) = head.check() {
            let reason = match e {
                PublishError::Mismatch(d) => Reason::Mismatch(d),
                e => Reason::Invalid(e.to_string()),
            };
            return self.reject(head.version, from, reason, out);
        }
        if from == Source::Service && self.service.is_none() {
            self.service = Some(Stamp::from(&head));
        }
        if self.is_known(&from, head.version, &head.digest, out) {
            if from == Source::Service && self.version() == head.version {
                self.confirm(now);
            }
            return;
        }
        let at = self.candidates.partition_point(|c| c.head.version < head.version);
        let c = Candidate::new(head, from, now, &self.parts);
        self.candidates.insert(at, c);
        if self.candidates.len() > MAX_CANDIDATES {
            self.candidates.remove(1);
            self.drop_unused();
        }
    }

    /// Whether a version needs no new candidate: it is older, refused, in force, being fetched, or
    /// it contradicts one of these.
    fn is_known(
        &mut self,
        from: &Source,
        version: u64,
        digest: &Digest,
        out: &mut Vec<Effect>,
    ) -> bool {
        if version < self.version() || self.refused.contains(digest) {
            return true;
        }
        let known = match self.candidates.iter_mut().find(|c| c.head.version == version) {
            Some(c) if c.head.digest == *digest => {
                c.add(from);
                return true;
            }
            Some(c) => c.head.digest.clone(),
            None => match self.head() {
                Some(h) if h.version == version && h.digest == *digest => return true,
                Some(h) if h.version == version => h.digest.clone(),
                _ => return false,
            },
        };
        let reason = Reason::Conflict { known, offered: digest.clone() };
        self.reject(version, from.clone(), reason, out);
        true
    }

    fn announced(
        &mut self,
        now: Tick,
        from: Source,
        version: u64,
        digest: Option<Digest>,
        out: &mut Vec<Effect>,
    ) {
        let known = match digest {
            Some(d) => self.is_known(&from, version, &d, out),
            None => {
                version <= self.version()
                    || self.candidates.iter().any(|c| c.head.version >= version)
            }
        };
        if !known && version > 0 {
            self.fetches.head(now, from, version, out);
        }
    }

    fn answered(&mut self, ordinal: Ordinal, ready: bool, stamp: Option<Stamp>) {
        if self.ready || ordinal == self.ordinal {
            return;
        }
        if ready {
            self.answers.entry(ordinal).or_insert(stamp);
        } else {
            self.starting.insert(ordinal, stamp);
        }
    }

    fn arrived(&mut self, from: Source, target: Digest, bytes: &[u8], out: &mut Vec<Effect>) {
        let text = std::str::from_utf8(bytes).ok();
        let (Some(text), true) = (text, bytes.len() <= MAX_PART_BYTES && digest(bytes) == target)
        else {
            let version = self.candidate_missing(&target).map_or(0, |c| c.head.version);
            self.fetches.failed(&from, &FetchTarget::Part(target.clone()));
            if version > 0 {
                self.reject(version, from, Reason::Mismatch(target), out);
            }
            return;
        };
        if self.candidate_missing(&target).is_some() {
            self.fetches.done(&target);
            self.parts.insert(target.clone(), text.into());
            for c in &mut self.candidates {
                c.arrived(&target, &self.parts);
            }
        }
    }

    fn candidate_missing(&self, digest: &Digest) -> Option<&Candidate> {
        self.candidates.iter().find(|c| c.missing.contains(digest))
    }

    fn confirm(&mut self, now: Tick) {
        // While a newer version is known but not in force, the service confirms that one instead.
        if self.active.is_some() && self.candidates.is_empty() {
            self.confirmed = Some(now);
        }
    }

    fn expire(&mut self, now: Tick, out: &mut Vec<Effect>) {
        self.fetches.expire(now);
        let late = |c: &Candidate| now.since(c.since) >= CANDIDATE_TIMEOUT;
        while let Some(i) = self.candidates.iter().position(late) {
            let c = self.candidates.remove(i);
            let missing = c.missing.len();
            let from = c.sources.into_iter().next().unwrap_or(Source::Service);
            self.reject(c.head.version, from, Reason::Unavailable(missing), out);
            self.drop_unused();
        }
    }

    /// Applies the highest complete candidate that passes the checks.
    fn advance(&mut self, now: Tick, out: &mut Vec<Effect>) {
        // A version that is too large is given up before all of it is in memory.
        let done = |c: &Candidate| c.missing.is_empty() || c.bytes > MAX_VERSION_BYTES;
        while let Some(i) = self.candidates.iter().rposition(done) {
            let c = self.candidates.remove(i);
            match self.assemble(&c) {
                Ok(rules) => self.apply(now, c, Arc::new(rules), out),
                Err(reason) => {
                    let from = c.sources.into_iter().next().unwrap_or(Source::Service);
                    push_bounded(&mut self.refused, c.head.digest.clone());
                    self.reject(c.head.version, from, reason, out);
                    self.drop_unused();
                }
            }
        }
    }

    fn assemble(&self, c: &Candidate) -> Result<Rules, Reason> {
        if c.bytes > MAX_VERSION_BYTES {
            return Err(Reason::Invalid(format!("more than {MAX_VERSION_BYTES} bytes")));
        }
        let get = |d: &Digest| self.parts.get(d).cloned();
        let rules = match &self.active {
            Some(f) => f.rules.update(&f.head, &c.head, get),
            None => Rules::assemble(&c.head, get),
        };
        rules.map_err(|e| Reason::Invalid(e.to_string()))
    }

    fn apply(&mut self, now: Tick, c: Candidate, rules: Arc<Rules>, out: &mut Vec<Effect>) {
        let (version, stamp) = (c.head.version, Stamp::from(&c.head));
        let active = Active { head: c.head, rules: rules.clone(), parts: c.parts };
        if let Some(old) = self.active.replace(active) {
            self.previous = old.parts;
        }
        self.candidates.retain(|c| c.head.version > version);
        self.drop_unused();
        if c.sources.contains(&Source::Service) {
            self.confirm(now);
        }
        out.push(Effect::Apply { version, rules });
        out.push(Effect::Announce(stamp));
    }

    /// Drops parts and fetches that no kept version names.
    fn drop_unused(&mut self) {
        let mut kept: BTreeSet<&Digest> = self.previous.iter().collect();
        kept.extend(self.active.iter().flat_map(|f| &f.parts));
        kept.extend(self.candidates.iter().flat_map(|c| &c.parts));
        self.parts.retain(|d, _| kept.contains(d));
        self.fetches.retain(|d| kept.contains(d));
    }

    fn fetch_missing(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let mut free = self.fetches.free();
        for c in &self.candidates {
            for d in &c.missing {
                if free == 0 {
                    return;
                }
                free -= usize::from(self.fetches.part(now, d, &c.sources, out));
            }
        }
    }

    fn check_ready(&mut self, now: Tick, out: &mut Vec<Effect>) {
        if !self.ready && self.active.is_some() && self.has_answers() && self.is_highest() {
            self.ready = true;
            self.answers.clear();
            self.starting.clear();
            self.confirm(now);
            out.push(Effect::Ready);
        }
    }

    /// Whether enough of the group answered. This host's own memory is empty at its start, so only
    /// its peers count; the weights are those of the lease.
    fn has_answers(&self) -> bool {
        let n = self.rules().map_or(0, |r| r.hosts);
        let weight = |o: u8| if o == 0 && n.is_multiple_of(2) { 2 } else { 1 };
        let total: u32 = (0..n).map(weight).sum();
        let known = |o: &u8| self.answers.contains_key(&Ordinal(*o));
        let answered: u32 = (0..n).filter(known).map(weight).sum();
        let own = self.ordinal.0;
        let all =
            || (0..n).all(|o| o == own || known(&o) || self.starting.contains_key(&Ordinal(o)));
        answered * 2 > total || (self.bootstrap && all())
    }

    /// Whether no answer names a version above the one in force, invalid ones aside.
    fn is_highest(&self) -> bool {
        let mut heard: Vec<&Stamp> = self.answers.values().flatten().collect();
        heard.extend(&self.service);
        if self.bootstrap {
            heard.extend(self.starting.values().flatten());
        }
        heard.iter().all(|s| s.version <= self.version() || self.refused.contains(&s.digest))
    }

    fn reject(&mut self, version: u64, from: Source, reason: Reason, out: &mut Vec<Effect>) {
        let r = Rejection { version, from, reason };
        if !self.reported.contains(&r) {
            push_bounded(&mut self.reported, r.clone());
            out.push(Effect::Rejected(r));
        }
    }
}

impl Candidate {
    fn new(head: Head, from: Source, now: Tick, parts: &BTreeMap<Digest, ArcStr>) -> Self {
        let own = head.parts.clone();
        let mut c = Self {
            head,
            sources: vec![from],
            since: now,
            parts: BTreeSet::new(),
            missing: BTreeSet::new(),
            bytes: 0,
        };
        for d in own {
            c.require(d, parts);
        }
        c
    }

    /// Takes a part into account, and the shards that it names.
    fn require(&mut self, d: Digest, parts: &BTreeMap<Digest, ArcStr>) {
        if !self.parts.insert(d.clone()) {
            return;
        }
        if parts.contains_key(&d) {
            self.arrived(&d, parts);
        } else {
            self.missing.insert(d);
        }
    }

    fn arrived(&mut self, d: &Digest, parts: &BTreeMap<Digest, ArcStr>) {
        let Some(text) = parts.get(d).filter(|_| self.parts.contains(d)) else { return };
        self.missing.remove(d);
        self.bytes += text.len();
        // An index part that cannot be read names nothing; assembling reports it.
        if self.head.parts[1..].contains(d)
            && let Ok(named) = read_index(d, text)
        {
            for shard in named {
                self.require(shard, parts);
            }
        }
    }

    fn add(&mut self, source: &Source) {
        if self.sources.len() < MAX_SOURCES && !self.sources.contains(source) {
            self.sources.push(source.clone());
        }
    }
}

fn push_bounded<T>(list: &mut VecDeque<T>, item: T) {
    if list.len() == MAX_REMEMBERED {
        list.pop_front();
    }
    list.push_back(item);
}
