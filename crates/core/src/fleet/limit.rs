//! Limits that replicas name on the requests that they take from all hosts together.
//!
//! Each host that may send to such a replica keeps a token bucket for the whole fleet. It takes its
//! own requests from it at once and those of other hosts when they report them, which they do with
//! each request. Hosts may use the same token before the reports arrive, so only
//! [`MAX_SENDERS`] of them send to a replica that names a limit.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, net::Ipv4Addr, time::Duration};

use super::digest::NamedLimit;
use crate::time::{Tick, plus_drift};

/// Hosts that send to a replica that names a limit.
pub const MAX_SENDERS: usize = 5;

/// Time for which unused tokens are kept, besides one token that always is.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Rate that is used relative to the named one. The operators tolerate one and a half times the
/// named rate and five requests in 4 s; the rest covers requests that cross on the way.
const USED_RATE: f64 = 1.25;

/// Smallest rate in requests per second, so that the end of a limit of zero is noticed.
const MIN_RATE: f64 = 0.1;

/// Time for which the end of a limit is reported.
const LIFTED_REPORTS: Duration = Duration::from_secs(5);

/// Relative change of a limit that is logged.
const NOTABLE_CHANGE: f64 = 0.1;

/// Longest pause that a replica gets. A longer one is taken for a fault of the replica, which would
/// otherwise be lost until its restart.
pub const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// Whether a request may be sent to a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// It may.
    Free,
    /// The next one may be sent after this time.
    Wait(Duration),
    /// Other hosts send to it.
    Closed,
}

/// Change of what is known of a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It takes this many requests per second.
    Named(f64),
    /// It names no limit any more.
    Lifted,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    // Requests that the fleet may send now; negative if hosts have used the same tokens.
    level: f64,
    updated: Tick,
}

impl Bucket {
    fn capacity(&self) -> f64 {
        self.rate * BURST_TIME.as_secs_f64() + 1.0
    }

    fn level_at(&self, now: Tick) -> f64 {
        let refill = self.rate * USED_RATE * now.since(self.updated).as_secs_f64();
        (self.level + refill).min(self.capacity())
    }

    fn take(&mut self, now: Tick, requests: f64) {
        self.level = self.level_at(now) - requests;
        self.updated = now;
    }
}

/// When this host may send requests to one replica: the limit that it names on all hosts, and the
/// pause that it has asked this host for.
#[derive(Debug, Default)]
pub struct SendLimit {
    paused_until: Option<Tick>,
    bucket: Option<Bucket>,
    // When the newest response arrived that named the limit or showed its end.
    named_at: Option<Tick>,
    // Requests of this host so far.
    sent: u32,
    sender: bool,
    // Incarnation of each peer with the requests that it has reported.
    peers: BTreeMap<Ipv4Addr, (u64, u32)>,
}

impl SendLimit {
    /// Whether the replica names a limit.
    pub fn is_limited(&self) -> bool {
        self.bucket.is_some()
    }

    /// Sets whether this host is one of those that send to the replica.
    pub fn set_sender(&mut self, sender: bool) {
        self.sender = sender;
    }

    /// Records that the replica wants nothing from this host for `time`, at most [`MAX_PAUSE`].
    /// Responses overtake each other, so the latest end counts. Returns the time left if it is
    /// longer than before.
    pub fn pause(&mut self, now: Tick, time: Duration) -> Option<Duration> {
        let until = now + time.min(MAX_PAUSE);
        if self.paused_until.is_some_and(|t| t >= until) {
            return None;
        }
        self.paused_until = Some(until);
        Some(until.since(now))
    }

    /// Time left of a pause; the replica gets neither requests nor orders before its end.
    pub fn pause_left(&self, now: Tick) -> Option<Duration> {
        self.paused_until.map(|t| t.since(now)).filter(|d| !d.is_zero())
    }

    /// Whether a request may be sent now.
    pub fn state(&self, now: Tick) -> SendState {
        if let Some(left) = self.pause_left(now) {
            return SendState::Wait(left);
        }
        let Some(b) = &self.bucket else { return SendState::Free };
        if !self.sender {
            return SendState::Closed;
        }
        let missing = 1.0 - b.level_at(now);
        if missing <= 0.0 {
            return SendState::Free;
        }
        SendState::Wait(Duration::from_secs_f64(missing / (b.rate * USED_RATE)))
    }

    /// Counts a request of this host. Returns whether it must be reported to the other senders.
    pub fn record_send(&mut self, now: Tick) -> bool {
        self.sent = self.sent.wrapping_add(1);
        if let Some(b) = &mut self.bucket {
            b.take(now, 1.0);
        }
        self.bucket.is_some()
    }

    /// Applies a response to a request that was sent at `sent_at`, and the limit that it names.
    pub fn observe(&mut self, now: Tick, sent_at: Tick, named: Option<f64>) -> Option<LimitChange> {
        match named {
            Some(rate) => {
                self.named_at = Some(now);
                self.set_rate(now, rate)
            }
            // Responses overtake each other.
            None if self.named_at.is_some_and(|t| sent_at < t) => None,
            None => {
                self.named_at = self.bucket.is_some().then_some(now).or(self.named_at);
                self.bucket.take().map(|_| LimitChange::Lifted)
            }
        }
    }

    /// Applies what a peer reports in a message that it stamped after `stamped_after`, if there is a
    /// bound. A report that has waited must not lift a limit that was named since, so an end counts from
    /// the earliest time, and a limit from the latest one.
    pub fn apply(
        &mut self,
        now: Tick,
        ip: Ipv4Addr,
        incarnation: u64,
        l: &NamedLimit,
        stamped_after: Option<Tick>,
    ) -> Option<LimitChange> {
        let age = Duration::from_millis(u64::from(l.age_ms));
        let named_at = match (l.limit_milli, stamped_after) {
            (None, Some(t)) => t - plus_drift(age),
            _ => now - age,
        };
        let mut change = None;
        if self.named_at.is_none_or(|t| named_at > t) {
            self.named_at = Some(named_at);
            change = match l.limit_milli {
                Some(milli) => self.set_rate(now, f64::from(milli) / 1000.0),
                None => self.bucket.take().map(|_| LimitChange::Lifted),
            };
        }
        let known = self.peers.insert(ip, (incarnation, l.sent));
        if let (Some((life, sent)), Some(b)) = (known, &mut self.bucket)
            && life == incarnation
        {
            // A report that was overtaken has a lower count.
            let more = l.sent.wrapping_sub(sent);
            if more < u32::MAX / 2 {
                b.take(now, f64::from(more));
            } else {
                self.peers.insert(ip, (incarnation, sent));
            }
        }
        change
    }

    /// What this host reports to its peers; `None` without a limit and without one that has just ended.
    pub fn entry(&self, now: Tick, replica: u32) -> Option<NamedLimit> {
        let age = now.since(self.named_at?);
        if self.bucket.is_none() && age > LIFTED_REPORTS {
            return None;
        }
        Some(NamedLimit {
            replica,
            limit_milli: self.bucket.map(|b| (b.rate * 1000.0) as u32),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            sent: self.sent,
        })
    }

    fn set_rate(&mut self, now: Tick, rate: f64) -> Option<LimitChange> {
        let rate = rate.max(MIN_RATE);
        let old = self.bucket.map(|b| b.rate);
        let level = self.bucket.map_or(0.0, |b| b.level_at(now));
        self.bucket = Some(Bucket { rate, level, updated: now });
        let notable = old.is_none_or(|o| (rate - o).abs() > o * NOTABLE_CHANGE);
        notable.then_some(LimitChange::Named(rate))
    }
}
