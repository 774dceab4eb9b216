//! Chooses the peers from which to borrow tokens for one account.

use std::time::Duration;

use crate::{
    ids::Ordinal,
    lease::MAX_GROUP_SIZE,
    time::{Tick, micros},
};

/// How long requests are refused without asking peers after a failed search. This limits the number
/// of messages for an account that sends far above its rate.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Duration of a search before it fails. Requests wait that long for buckets to refill.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two rounds of requests to all peers within one search.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);

/// Last known number of tokens of a peer.
#[derive(Clone, Copy, Debug)]
struct Hint {
    left: u64,
    at: Tick,
}

/// State of the search for one account.
#[derive(Clone, Debug, Default)]
pub(super) struct Search {
    // Tokens that the largest waiting request needs, 0 if none waits.
    pub(super) need: u64,
    pending: [bool; MAX_GROUP_SIZE],
    // Peers that had no tokens in this round, or did not answer.
    empty: [bool; MAX_GROUP_SIZE],
    hints: [Option<Hint>; MAX_GROUP_SIZE],
    started: Tick,
    next_round: Tick,
    refuse_until: Tick,
}

impl Search {
    /// Starts or extends the search. Returns false during the pause after a failed search.
    pub(super) fn start(&mut self, need: u64, now: Tick) -> bool {
        if now < self.refuse_until {
            return false;
        }
        if self.need == 0 {
            self.started = now;
        }
        self.need = self.need.max(need);
        true
    }

    /// Remaining time in which requests are refused without asking peers.
    pub(super) fn refuse_time(&self, now: Tick) -> Duration {
        self.refuse_until.since(now)
    }

    /// Ends the search.
    pub(super) fn finish(&mut self) {
        self.need = 0;
        self.empty = Default::default();
    }

    /// Whether no peer can be asked now. Starts a pause if all peers of this round were tried.
    pub(super) fn is_exhausted(&mut self, live: &[Ordinal], now: Tick) -> bool {
        if now < self.next_round {
            return true;
        }
        let open = |o: &Ordinal| !self.empty[usize::from(o.0)];
        if live.iter().any(open) || self.pending.contains(&true) {
            return false;
        }
        self.pause(now);
        true
    }

    /// Asks no peer for [`ROUND_INTERVAL`]; after [`SEARCH_TIMEOUT`] the search fails.
    pub(super) fn pause(&mut self, now: Tick) {
        self.empty = Default::default();
        self.next_round = now + ROUND_INTERVAL;
        if now >= self.started + SEARCH_TIMEOUT {
            self.finish();
            self.refuse_until = now + FAILURE_PAUSE;
        }
    }

    /// Whether every peer in `live` has reported its tokens recently or has failed.
    pub(super) fn is_informed(&self, live: &[Ordinal], now: Tick) -> bool {
        let fresh = |h: Hint| now < h.at + ROUND_INTERVAL;
        live.iter().all(|o| {
            self.empty[usize::from(o.0)] || self.hints[usize::from(o.0)].is_some_and(fresh)
        })
    }

    /// Records that a peer did not answer or does not know the account.
    pub(super) fn peer_failed(&mut self, from: Ordinal) {
        self.pending[usize::from(from.0)] = false;
        self.empty[usize::from(from.0)] = true;
    }

    /// Records a peer's answer; `has_tokens` is false if it has none left.
    pub(super) fn peer_answered(&mut self, from: Ordinal, left: u64, has_tokens: bool, now: Tick) {
        let i = usize::from(from.0);
        self.pending[i] = false;
        self.empty[i] = !has_tokens;
        self.record_tokens(from, left, now);
    }

    /// Peers that can be asked now and their expected tokens, in descending order. `rate` and
    /// `burst` are those of a peer's base share.
    pub(super) fn peers(
        &self,
        rate: u64,
        burst: u64,
        free: &[Ordinal],
        now: Tick,
    ) -> Vec<(Ordinal, u64)> {
        let open = |o: &Ordinal| !self.empty[usize::from(o.0)] && !self.pending[usize::from(o.0)];
        let free = free.iter().copied().filter(open);
        let mut peers: Vec<_> = free.map(|o| (o, self.expected(o, rate, burst, now))).collect();
        peers.sort_by_key(|(o, e)| (std::cmp::Reverse(*e), *o));
        peers
    }

    /// Records how many tokens a peer has.
    pub(super) fn record_tokens(&mut self, from: Ordinal, left: u64, now: Tick) {
        self.hints[usize::from(from.0)] = Some(Hint { left, at: now });
    }

    /// Whether a request to the peer is pending.
    pub(super) fn is_pending(&self, o: Ordinal) -> bool {
        self.pending[usize::from(o.0)]
    }

    /// Records that a request to the peer is pending.
    pub(super) fn peer_asked(&mut self, o: Ordinal) {
        self.pending[usize::from(o.0)] = true;
    }

    fn expected(&self, o: Ordinal, rate: u64, burst: u64, now: Tick) -> u64 {
        self.hints[usize::from(o.0)].map_or(burst, |h| {
            let gained = u128::from(micros(now.since(h.at))) * u128::from(rate) / 1_000_000;
            burst.min(h.left.saturating_add(u64::try_from(gained).unwrap_or(u64::MAX)))
        })
    }
}
