//! Distribution of configuration versions: which one is active and what to fetch for a newer one.
//!
//! A version consists of a [`Head`] (its manifest) and parts that are addressed by their digest.
//! Parts are kept in memory, so that a change fetches only new parts and peers can fetch them from
//! this host.

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

/// Maximum number of versions that are fetched at the same time. The lowest one is kept so that one
/// completes even if newer ones keep arriving, and the highest one because it must become active in
/// the end. More would only cost memory.
pub const MAX_CANDIDATES: usize = 4;

/// Maximum number of heads that are fetched at the same time.
pub const MAX_HEAD_FETCHES: usize = 4;

/// Maximum number of sources that are kept for one candidate; the configuration service is always
/// tried as well.
pub const MAX_SOURCES: usize = 4;

/// Maximum total size of the parts of a version. 21,000 adapters take about 2 MB; the limit keeps
/// one faulty version from exhausting the 64 MB of control memory.
pub const MAX_VERSION_BYTES: usize = 16_000_000;

/// How long a candidate may be incomplete. A version that is still announced becomes a candidate
/// again, so this only removes versions that no source can serve.
pub const CANDIDATE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long requests with a key are admitted after the active version was last confirmed as newest.
pub const STALE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of refused digests, and of rejections, that are kept so that they are not fetched
/// or logged again. An entry is caused by an operator's mistake or a faulty peer, so a few are
/// enough.
const MAX_REMEMBERED: usize = 16;

/// Sender of a head or a part.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The configuration service.
    Service,
    /// The host of this name.
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

/// Identifier of a version in probes. Whole heads have 17 digests, too much for a message that is
/// sent every 500 ms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Version number.
    pub version: u64,
    /// Digest of the head.
    pub digest: Digest,
}

impl From<&Head> for Stamp {
    fn from(head: &Head) -> Self {
        Self { version: head.version, digest: head.digest.clone() }
    }
}

/// What a fetch asks a source for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchTarget {
    /// The source's current head.
    Head,
    /// The part with this digest.
    Part(Digest),
}

/// Input of [`Config::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A head was received by a watch or a fetch.
    HeadReceived {
        /// Sender.
        from: Source,
        /// Head.
        head: Head,
    },
    /// A probe or a vote names the version that its sender uses.
    VersionAnnounced {
        /// Sender.
        from: Source,
        /// Its version, 0 for none.
        version: u64,
        /// Digest of the version's head, if the message has it.
        digest: Option<Digest>,
    },
    /// A peer of the group answered a probe while this host is starting.
    PeerAnswered {
        /// Ordinal of the peer.
        ordinal: Ordinal,
        /// Name of the peer.
        peer: ArcStr,
        /// Whether the peer has completed its own start ([`Config::is_ready`]).
        ready: bool,
        /// Its active version.
        stamp: Option<Stamp>,
    },
    /// A part was received.
    PartReceived {
        /// Sender.
        from: Source,
        /// Digest that was requested.
        digest: Digest,
        /// Content, not verified yet.
        bytes: Vec<u8>,
    },
    /// A fetch failed or timed out.
    FetchFailed {
        /// Source of the fetch.
        from: Source,
        /// What was requested.
        target: FetchTarget,
    },
    /// A majority voted to renew the lease, so most of the group does not use a newer version.
    MajorityConfirmed,
    /// The configuration service answered that its head has not changed.
    HeadUnchanged,
    /// Timer, at least every 500 ms.
    Tick,
}

/// Action for the caller of [`Config::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Fetch a head or a part and report the result as [`Event::HeadReceived`],
    /// [`Event::PartReceived`] or [`Event::FetchFailed`].
    Fetch {
        /// Source to send the request to.
        from: Source,
        /// What to request.
        target: FetchTarget,
    },
    /// A version became active.
    Apply {
        /// Version number.
        version: u64,
        /// Its rules.
        rules: Arc<Rules>,
    },
    /// A version was rejected; log it.
    Rejected(Rejection),
    /// Send the active version to all peers at once.
    Announce(Stamp),
    /// The start is complete: the host may serve requests.
    Ready,
}

/// Rejected version. Repetitions of a rejection are not reported.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {version} from {from} rejected: {reason}")]
pub struct Rejection {
    /// Version number.
    pub version: u64,
    /// Sender of the version or of its faulty part.
    pub from: Source,
    /// Cause of the rejection.
    pub reason: Reason,
}

/// Why a version was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// Other content of the same version is active or being fetched.
    #[error("digest {offered} differs from the known digest {known}")]
    Conflict {
        /// Digest of the head that is kept.
        known: Digest,
        /// Digest of the head that was rejected.
        offered: Digest,
    },
    /// A head or part does not match its digest.
    #[error("digest of {0} does not match its content")]
    Mismatch(Digest),
    /// The version cannot be parsed or does not pass the checks.
    #[error("{0}")]
    Invalid(String),
    /// This number of parts could not be fetched in time.
    #[error("{0} parts could not be fetched")]
    Unavailable(usize),
}

/// The active version and the candidates to replace it.
#[derive(Debug)]
pub struct Config {
    ordinal: Ordinal,
    bootstrap: bool,
    active: Option<Active>,
    // Parts of the previous version, which peers may still fetch.
    previous: BTreeSet<Digest>,
    parts: BTreeMap<Digest, ArcStr>,
    // Sorted by version, ascending.
    candidates: Vec<Candidate>,
    fetches: Fetches,
    refused: VecDeque<Digest>,
    reported: VecDeque<Rejection>,
    // Version in the first answer of each peer that was ready.
    answers: BTreeMap<Ordinal, Option<Stamp>>,
    // Versions of peers that were not ready, which count only at the first start of the group.
    starting: BTreeMap<Ordinal, Option<Stamp>>,
    // First head from the service; the start waits for this version.
    service: Option<Stamp>,
    // Version of the last head from the service.
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
    // Parts named by the head and the known index parts, and those of them that are missing.
    parts: BTreeSet<Digest>,
    missing: BTreeSet<Digest>,
    // Total size of the parts that are not missing.
    bytes: usize,
}

impl Config {
    /// Starts without an active version. `bootstrap` is true at the first start of the group.
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

    /// Active version, 0 for none.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |a| a.head.version)
    }

    /// Identifier of the active version, for probes.
    pub fn stamp(&self) -> Option<Stamp> {
        self.head().map(Stamp::from)
    }

    /// Head of the active version, for peers.
    pub fn head(&self) -> Option<&Head> {
        self.active.as_ref().map(|a| &a.head)
    }

    /// Rules of the active version.
    pub fn rules(&self) -> Option<&Arc<Rules>> {
        self.active.as_ref().map(|a| &a.rules)
    }

    /// Content of a part, for peers.
    pub fn part(&self, digest: &Digest) -> Option<&ArcStr> {
        self.parts.get(digest)
    }

    /// Whether the start is complete; see [`Effect::Ready`].
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the last confirmation is so old that requests with a key must be refused.
    pub fn is_stale(&self, now: Tick) -> bool {
        self.confirmed.is_none_or(|t| now.since(t) >= STALE_TIMEOUT)
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::HeadReceived { from, head } => self.handle_head(now, from, head, out),
            Event::VersionAnnounced { from, version, digest } => {
                self.handle_announcement(now, from, version, digest, out);
            }
            Event::PeerAnswered { ordinal, peer, ready, stamp } => {
                self.handle_answer(ordinal, ready, stamp.clone());
                if let Some(s) = stamp {
                    self.handle_announcement(
                        now,
                        Source::Peer(peer),
                        s.version,
                        Some(s.digest),
                        out,
                    );
                }
            }
            Event::PartReceived { from, digest, bytes } => {
                self.handle_part(from, digest, &bytes, out)
            }
            Event::FetchFailed { from, target } => self.fetches.end(&from, &target),
            Event::MajorityConfirmed => self.confirmed = Some(now),
            // The service is stale: its version is older than the active one.
            Event::HeadUnchanged if self.service_version < self.version() => {}
            Event::HeadUnchanged => self.confirm(now),
            Event::Tick => self.expire(now, out),
        }
        self.advance(now, out);
        self.fetch_missing(now, out);
        self.check_ready(now, out);
    }

    fn handle_head(&mut self, now: Tick, from: Source, head: Head, out: &mut Vec<Effect>) {
        self.fetches.end(&from, &FetchTarget::Head);
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

    /// Whether a version needs no new candidate because it is older, refused, active, being fetched
    /// or in conflict with one of these.
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

    fn handle_announcement(
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

    fn handle_answer(&mut self, ordinal: Ordinal, ready: bool, stamp: Option<Stamp>) {
        if self.ready || ordinal == self.ordinal {
            return;
        }
        if ready {
            self.answers.entry(ordinal).or_insert(stamp);
        } else {
            self.starting.insert(ordinal, stamp);
        }
    }

    fn handle_part(&mut self, from: Source, target: Digest, bytes: &[u8], out: &mut Vec<Effect>) {
        let text = std::str::from_utf8(bytes).ok();
        let (Some(text), true) = (text, bytes.len() <= MAX_PART_BYTES && digest(bytes) == target)
        else {
            let version = self.candidate_missing(&target).map_or(0, |c| c.head.version);
            self.fetches.end(&from, &FetchTarget::Part(target.clone()));
            if version > 0 {
                self.reject(version, from, Reason::Mismatch(target), out);
            }
            return;
        };
        if self.candidate_missing(&target).is_some() {
            self.fetches.remove_part(&target);
            self.parts.insert(target.clone(), text.into());
            for c in &mut self.candidates {
                c.part_received(&target, &self.parts);
            }
        }
    }

    fn candidate_missing(&self, digest: &Digest) -> Option<&Candidate> {
        self.candidates.iter().find(|c| c.missing.contains(digest))
    }

    fn confirm(&mut self, now: Tick) {
        // With a newer version among the candidates, the service confirms that one.
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
        // A version that is too large is rejected before all of it is in memory.
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
            Some(a) => a.rules.update(&a.head, &c.head, get),
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

    /// Drops parts and fetches that no current version or candidate names.
    fn drop_unused(&mut self) {
        let mut kept: BTreeSet<&Digest> = self.previous.iter().collect();
        kept.extend(self.active.iter().flat_map(|a| &a.parts));
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

    /// Whether a majority of the group answered, by the weights of the lease. This host itself does
    /// not count because it starts without a version.
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

    /// Whether no answer names a valid version above the active one.
    fn is_highest(&self) -> bool {
        let mut known: Vec<&Stamp> = self.answers.values().flatten().collect();
        known.extend(&self.service);
        if self.bootstrap {
            known.extend(self.starting.values().flatten());
        }
        known.iter().all(|s| s.version <= self.version() || self.refused.contains(&s.digest))
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

    /// Adds a part, and the shards that it names, to the parts of the version.
    fn require(&mut self, d: Digest, parts: &BTreeMap<Digest, ArcStr>) {
        if !self.parts.insert(d.clone()) {
            return;
        }
        if parts.contains_key(&d) {
            self.part_received(&d, parts);
        } else {
            self.missing.insert(d);
        }
    }

    fn part_received(&mut self, d: &Digest, parts: &BTreeMap<Digest, ArcStr>) {
        let Some(text) = parts.get(d).filter(|_| self.parts.contains(d)) else { return };
        self.missing.remove(d);
        self.bytes += text.len();
        // An unreadable index part is reported when the version is assembled.
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
