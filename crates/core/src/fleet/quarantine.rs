//! Holds back requests, and prompt blocks, under which replicas end.
//!
//! A replica that ends takes all requests with it that it runs, so one end is no evidence against
//! any of them. What ends replicas is a feature of a request at each of them, a prompt block or the
//! request itself (by its fingerprint), and no response to a request with it gets beyond its first
//! event. The causes are found as a small set of features that explains the ends: the feature with
//! the strongest evidence is held first, and the ends that it explains do not count against others.
//! One response that goes on clears all features of its request.
//!
//! The ids of a request's features are ordered from those that the most requests share to the
//! fingerprint, which is always the last one; see [`super::request::Features`]. Names in messages,
//! logs and settings say block for both kinds.
//!
//! A hold does not end by the clock alone: it ends when a response clears the feature, when no
//! request with it has come for [`HOLD_IDLE`], or when the operators release it.

mod evidence;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::Ipv4Addr,
    time::Duration,
};

use super::digest::{HeldBlock, LossReport, ReplicaLoss, ServedBlock, Suspect};
use crate::time::Tick;

/// Time for which the end of a replica that no held block explains counts as evidence.
pub const LOSS_MEMORY: Duration = Duration::from_secs(300);

/// Time without a request for a held block after which its hold ends.
pub const HOLD_IDLE: Duration = Duration::from_secs(600);

/// Interval at which held blocks are repeated to all peers.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Number of reports that contain a new fact, because datagrams may be lost.
const REPEATS: u8 = 3;

/// Ended replicas that are kept.
const MAX_LOSSES: usize = 64;

/// Ended replicas that are kept for one held block.
const MAX_EXPLAINED: usize = 8;

/// Requests that are kept for one ended replica: the batch of an engine.
const MAX_SUSPECTS: usize = 64;

/// Features of these requests that are kept, so that [`MAX_REPORTED`] fit into a datagram.
const MAX_FEATURES: usize = 256;

/// Ended replicas in one report, so that it fits into a datagram.
const MAX_REPORTED: usize = 16;

/// Blocks whose last response is remembered.
const MAX_SERVED: usize = 8192;

/// Ends under one request at which it is not sent on within an attempt of its caller.
const MAX_DOUBTS: usize = 2;

/// Blocks that are held at the same time.
const MAX_HELD: usize = 64;

/// A replica that ended.
#[derive(Clone, Debug)]
struct Loss {
    at: Tick,
    suspects: Vec<Suspect>,
    // Responses that this host had served by then.
    served: u64,
    // Reports that are still to contain it.
    repeats: u8,
}

/// A block that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hold {
    last_asked: Tick,
}

/// Change of the held blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// Requests with the block are refused from now on.
    Held {
        /// The block.
        block: u64,
        /// Number of replicas that ended under it.
        ended: usize,
    },
    /// Requests with the block are served again.
    Released {
        /// The block.
        block: u64,
        /// Why.
        reason: ReleaseReason,
    },
}

/// Why a hold ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// A response to a request with the block went beyond its first event.
    Served,
    /// Another block explains the ends.
    Explained,
    /// No request with the block has come for [`HOLD_IDLE`].
    Idle,
    /// The operators have released it.
    Operator,
}

impl ReleaseReason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Explained => "explained",
            Self::Idle => "idle",
            Self::Operator => "operator",
        }
    }
}

/// Evidence against features of requests, and those that are held back.
#[derive(Debug, Default)]
pub struct Quarantine {
    losses: BTreeMap<u32, Loss>,
    // When a response to a request with the block last went beyond its first event, at this host or
    // at a peer that has reported it.
    served: HashMap<u64, Tick>,
    served_count: u64,
    held: BTreeMap<u64, Hold>,
    // Blocks that peers hold back.
    peer_held: BTreeSet<u64>,
    released: BTreeSet<u64>,
    // Newest response for the block that this host or a peer has reported.
    announced: HashMap<u64, Tick>,
    // Blocks whose last response is to be reported, with the number of reports.
    pending: BTreeMap<u64, u8>,
    last_report: Tick,
    sequence: u64,
    // Incarnation and sequence of the newest report of each peer.
    peers: HashMap<Ipv4Addr, (u64, u64)>,
}

impl Quarantine {
    /// Whether replicas ended under earlier requests with this fingerprint, though not enough for a
    /// hold. Such a request is not worth another replica within one attempt of its caller.
    pub fn is_doubtful(&self, fingerprint: u64) -> bool {
        self.doubts(fingerprint) >= MAX_DOUBTS
    }

    /// Held feature of a request, if there is one. It counts as a request for that feature.
    pub fn check(&mut self, now: Tick, blocks: &[u64]) -> Option<u64> {
        let block = blocks.iter().copied().find(|b| self.held.contains_key(b))?;
        if let Some(hold) = self.held.get_mut(&block) {
            hold.last_asked = now;
        }
        Some(block)
    }

    /// Records that the replica with hash `replica` ended while it ran a request of this host that
    /// had got no more than one event.
    pub fn record_loss(
        &mut self,
        now: Tick,
        replica: u32,
        blocks: Vec<u64>,
        begun: bool,
    ) -> Vec<HoldChange> {
        if !blocks.is_empty() {
            self.add_suspects(now, replica, now, &[Suspect { blocks, begun }]);
            if let Some(loss) = self.losses.get_mut(&replica) {
                loss.repeats = REPEATS;
            }
        }
        self.evaluate(now)
    }

    /// Records that a response of this host to a request with `features` went beyond its first
    /// event, or was complete.
    pub fn record_served(&mut self, now: Tick, features: &[u64]) -> Vec<HoldChange> {
        self.served_count += 1;
        let Some((fingerprint, blocks)) = features.split_last() else { return Vec::new() };
        for b in blocks {
            self.note_served(*b, now);
        }
        if self.losses.is_empty() {
            return Vec::new();
        }
        let mut suspected: Vec<u64> =
            blocks.iter().copied().filter(|b| self.is_suspected(*b)).collect();
        // Each request has a fingerprint of its own, so only those are kept that there is evidence
        // against.
        if self.losses.values().any(|l| evidence::blames(l, *fingerprint)) {
            self.note_served(*fingerprint, now);
            suspected.push(*fingerprint);
        }
        for b in suspected {
            self.announce(b);
        }
        self.evaluate(now)
    }

    /// Replaces the blocks that the operators have released.
    pub fn set_released(&mut self, now: Tick, blocks: &[u64]) -> Vec<HoldChange> {
        self.released = blocks.iter().copied().collect();
        self.evaluate(now)
    }

    /// Drops what is no evidence any more.
    pub fn expire(&mut self, now: Tick) -> Vec<HoldChange> {
        let idle: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, h)| now.since(h.last_asked) >= HOLD_IDLE)
            .map(|(b, _)| *b)
            .collect();
        for b in &idle {
            self.losses.retain(|_, l| !evidence::blames(l, *b));
            self.held.remove(b);
            self.peer_held.remove(b);
        }
        let explained: BTreeSet<u32> = self.explained().into_iter().collect();
        self.losses.retain(|k, l| explained.contains(k) || now.since(l.at) < LOSS_MEMORY);
        let ended = |block| HoldChange::Released { block, reason: ReleaseReason::Idle };
        let mut out: Vec<_> = idle.into_iter().map(ended).collect();
        out.extend(self.evaluate(now));
        out
    }

    /// Report to all peers, if one is due.
    pub fn report(&mut self, now: Tick, ip: Ipv4Addr, incarnation: u64) -> Option<LossReport> {
        let news = !self.pending.is_empty() || self.losses.values().any(|l| l.repeats > 0);
        let due = !self.held.is_empty() && now.since(self.last_report) >= REPORT_INTERVAL;
        if !news && !due {
            return None;
        }
        let out = self.full_report(now, ip, incarnation);
        self.last_report = now;
        for l in &out.losses {
            if let Some(known) = self.losses.get_mut(&l.replica) {
                known.repeats = known.repeats.saturating_sub(1);
            }
        }
        self.pending.retain(|_, n| {
            *n -= 1;
            *n > 0
        });
        Some(out)
    }

    /// Report to a peer that may know nothing, if there is anything to tell.
    pub fn introduction(&mut self, now: Tick, ip: Ipv4Addr, process: u64) -> Option<LossReport> {
        (!self.losses.is_empty()).then(|| self.full_report(now, ip, process))
    }

    fn full_report(&mut self, now: Tick, ip: Ipv4Addr, incarnation: u64) -> LossReport {
        let age_ms = |t: Tick| u32::try_from(now.since(t).as_millis()).unwrap_or(u32::MAX);
        self.sequence += 1;
        let news = self.losses.iter().filter(|(_, l)| l.repeats > 0).map(|(k, _)| *k);
        let due: BTreeSet<u32> = news.chain(self.explained()).take(MAX_REPORTED).collect();
        let losses = due.iter().filter_map(|k| {
            let l = self.losses.get(k)?;
            Some(ReplicaLoss { replica: *k, age_ms: age_ms(l.at), suspects: l.suspects.clone() })
        });
        let served = self
            .pending
            .keys()
            .filter_map(|b| Some(ServedBlock { block: *b, age_ms: age_ms(*self.served.get(b)?) }));
        let held = self.held.iter();
        let held = held.map(|(b, h)| HeldBlock { block: *b, idle_ms: age_ms(h.last_asked) });
        LossReport {
            ip,
            incarnation,
            sequence: self.sequence,
            losses: losses.collect(),
            served: served.collect(),
            held: held.collect(),
        }
    }

    /// Applies the report of a peer. Reports that are older than one that was applied are ignored.
    pub fn apply(&mut self, now: Tick, r: &LossReport) -> Vec<HoldChange> {
        let newest = self.peers.entry(r.ip).or_default();
        if (r.incarnation, r.sequence) <= *newest {
            return Vec::new();
        }
        *newest = (r.incarnation, r.sequence);
        let when = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        for s in &r.served {
            let at = when(s.age_ms);
            self.note_served(s.block, at);
            let announced = self.announced.entry(s.block).or_insert(at);
            *announced = (*announced).max(at);
        }
        for l in &r.losses {
            self.add_suspects(now, l.replica, when(l.age_ms), &l.suspects);
        }
        for l in &r.losses {
            let begun = l.suspects.iter().filter(|s| s.begun);
            let blocks: Vec<u64> = begun.flat_map(|s| s.blocks.iter().copied()).collect();
            for b in blocks {
                self.announce(b);
            }
        }
        for h in r.held.iter().filter(|h| u128::from(h.idle_ms) < HOLD_IDLE.as_millis()) {
            self.peer_held.insert(h.block);
            if let Some(own) = self.held.get_mut(&h.block) {
                own.last_asked = own.last_asked.max(when(h.idle_ms));
            }
        }
        self.evaluate(now)
    }

    /// Forgets a peer that has gone.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// Held blocks.
    pub fn held(&self) -> impl Iterator<Item = u64> {
        self.held.keys().copied()
    }

    fn note_served(&mut self, block: u64, at: Tick) {
        if self.served.len() >= MAX_SERVED && !self.served.contains_key(&block) {
            // Drops the older half.
            let mut ticks: Vec<_> = self.served.values().copied().collect();
            ticks.sort_unstable();
            let mid = ticks.get(ticks.len() / 2).copied().unwrap_or(at);
            self.served.retain(|_, t| *t > mid);
            self.announced.retain(|_, t| *t > mid);
        }
        let known = self.served.entry(block).or_insert(at);
        *known = (*known).max(at);
    }

    // Reports the last response for a block unless a report has shown one since the newest loss.
    fn announce(&mut self, block: u64) {
        let Some(served) = self.served.get(&block).copied() else { return };
        let newest =
            self.losses.values().filter(|l| evidence::blames(l, block)).map(|l| l.at).max();
        let known = self.announced.get(&block).copied();
        let clears = newest.is_some_and(|t| served >= t && known.is_none_or(|k| k < t));
        if clears || known.is_none() {
            self.announced.insert(block, served);
            self.pending.insert(block, REPEATS);
        }
    }

    fn add_suspects(&mut self, now: Tick, replica: u32, at: Tick, suspects: &[Suspect]) {
        let loss = self.losses.entry(replica).or_insert_with(|| Loss {
            at,
            suspects: Vec::new(),
            served: self.served_count,
            repeats: 0,
        });
        loss.at = loss.at.min(at);
        for s in suspects {
            match loss.suspects.iter_mut().find(|x| x.blocks == s.blocks) {
                Some(known) => known.begun |= s.begun,
                None => loss.suspects.push(s.clone()),
            }
        }
        let all: Vec<Suspect> = std::mem::take(&mut loss.suspects);
        let suspects = self.select_suspects(replica, all);
        if let Some(loss) = self.losses.get_mut(&replica) {
            loss.suspects = suspects;
        }
        if self.losses.len() > MAX_LOSSES {
            self.drop_losses(now);
        }
    }

    // Keeps those whose response had begun, then those that were at other ends too.
    fn select_suspects(&self, replica: u32, mut suspects: Vec<Suspect>) -> Vec<Suspect> {
        let total: usize = suspects.iter().map(|s| s.blocks.len()).sum();
        if suspects.len() > MAX_SUSPECTS || total > MAX_FEATURES {
            let others =
                |id: u64| self.losses.iter().any(|(k, l)| *k != replica && evidence::blames(l, id));
            suspects
                .sort_by_cached_key(|s| (!s.begun, !s.blocks.last().is_some_and(|id| others(*id))));
            suspects.truncate(MAX_SUSPECTS);
            let mut kept = 0;
            suspects.retain(|s| {
                kept += s.blocks.len();
                kept <= MAX_FEATURES
            });
        }
        suspects
    }

    // Drops the oldest losses beyond the limits.
    fn drop_losses(&mut self, now: Tick) {
        let explained: BTreeSet<u32> = self.explained().into_iter().collect();
        let oldest = self
            .losses
            .iter()
            .max_by_key(|(k, l)| (!explained.contains(k), now.since(l.at)))
            .map(|(k, _)| *k);
        if let Some(k) = oldest {
            self.losses.remove(&k);
        }
    }

    // The newest losses that held blocks explain.
    fn explained(&self) -> Vec<u32> {
        let mut out = Vec::new();
        for b in self.held.keys() {
            let mut all: Vec<_> =
                self.losses.iter().filter(|(_, l)| evidence::blames(l, *b)).collect();
            all.sort_by_key(|(_, l)| std::cmp::Reverse(l.at));
            out.extend(all.into_iter().take(MAX_EXPLAINED).map(|(k, _)| *k));
        }
        out
    }

    fn evaluate(&mut self, now: Tick) -> Vec<HoldChange> {
        let blamed = self.blamed();
        let mut out = Vec::new();
        for (block, ended) in &blamed {
            if !self.held.contains_key(block) && self.held.len() < MAX_HELD {
                self.held.insert(*block, Hold { last_asked: now });
                out.push(HoldChange::Held { block: *block, ended: *ended });
            }
        }
        let ended: Vec<u64> =
            self.held.keys().copied().filter(|b| blamed.iter().all(|(x, _)| x != b)).collect();
        for block in ended {
            let reason = self.release_reason(block);
            self.held.remove(&block);
            self.peer_held.remove(&block);
            out.push(HoldChange::Released { block, reason });
        }
        out
    }

    fn release_reason(&self, block: u64) -> ReleaseReason {
        if self.released.contains(&block) {
            return ReleaseReason::Operator;
        }
        let newest =
            self.losses.values().filter(|l| evidence::blames(l, block)).map(|l| l.at).max();
        match (self.served.get(&block), newest) {
            (Some(served), Some(at)) if *served >= at => ReleaseReason::Served,
            _ => ReleaseReason::Explained,
        }
    }
}
