//! Wait times of requests, and a bounded history of ended requests, for `GET /admin/explain`.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

use arcstr::ArcStr;
use serde_json::{Value, json};
use yuccawing_core::time::Tick;

use super::messages::{Outcome, Refusal, RequestId};

/// Requests that are kept for `explain`: this many that ended and, separately, this many that were
/// refused on arrival, so that many refusals do not evict the others.
pub(super) const HISTORY_SIZE: usize = 512;

/// Time that a request waited before it was sent to an upstream, by cause: first for tokens, then
/// in the queue, where the time without a pin counts as waiting for the pin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WaitTimes {
    since: Tick,
    // Start of the wait for a pin.
    pin_since: Option<Tick>,
    tokens: Duration,
    queue: Duration,
    pin: Duration,
}

impl WaitTimes {
    /// Starts the wait for tokens.
    pub(super) fn new(now: Tick) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// Duration of the current wait.
    pub(super) fn current(&self, now: Tick) -> Duration {
        now.since(self.since)
    }

    /// Starts the current wait anew. The time on an upstream, for example, is not a wait.
    pub(super) fn restart(&mut self, now: Tick) {
        self.since = now;
    }

    pub(super) fn end_token_wait(&mut self, now: Tick) {
        self.tokens += now.since(self.since);
        self.since = now;
    }

    /// Starts the wait for a pin, unless it has started.
    pub(super) fn start_pin_wait(&mut self, now: Tick) {
        self.pin_since.get_or_insert(now);
    }

    /// Ends the wait for a pin; the request stays in the queue.
    pub(super) fn end_pin_wait(&mut self, now: Tick) {
        let Some(start) = self.pin_since.take() else { return };
        let start = start.max(self.since);
        self.queue += start.since(self.since);
        self.pin += now.since(start);
        self.since = now;
    }

    /// Ends the wait in the queue, and that for a pin.
    pub(super) fn end_queue_wait(&mut self, now: Tick) {
        self.end_pin_wait(now);
        self.queue += now.since(self.since);
        self.since = now;
    }

    /// Duration of the current wait for a pin.
    pub(super) fn pin_wait(&self, now: Tick) -> Duration {
        self.pin_since.map_or(Duration::ZERO, |t| now.since(t.max(self.since)))
    }

    /// Formats the times in milliseconds.
    pub(super) fn json(&self) -> Value {
        json!({
            "tokens_ms": self.tokens.as_millis(), "queue_ms": self.queue.as_millis(),
            "pin_ms": self.pin.as_millis(),
        })
    }
}

/// Where a request runs.
#[derive(Clone, Debug)]
pub(super) struct Location {
    pub(super) upstream: ArcStr,
    /// Instance of the adapter on an engine; empty for a plain service.
    pub(super) instance: ArcStr,
}

/// A request that has ended.
#[derive(Debug)]
pub(super) struct EndedRequest {
    pub(super) id: RequestId,
    /// `None` on an open route.
    pub(super) account: Option<ArcStr>,
    /// Tokens reserved.
    pub(super) tokens: u64,
    /// Tokens charged.
    pub(super) used: u64,
    /// Where it ran when it ended; `None` if it was waiting.
    pub(super) location: Option<Location>,
    /// Upstreams that were excluded, as they failed or refused it.
    pub(super) avoid: Vec<ArcStr>,
    /// Number of upstreams tried.
    pub(super) tries: u32,
    pub(super) waits: WaitTimes,
    pub(super) end: RequestEnd,
}

/// How a request ended.
#[derive(Debug)]
pub(super) enum RequestEnd {
    /// Refused by the control thread.
    Refused(Refusal),
    /// Ended by the HTTP worker thread.
    Done(Outcome),
}

impl EndedRequest {
    fn json(&self) -> Value {
        let mut v = json!({
            "request": self.id.to_string(), "account": self.account, "tokens": self.tokens,
            "used": self.used, "upstream": self.location.as_ref().map(|p| &p.upstream),
            "instance": self.location.as_ref().map(|p| &p.instance), "tries": self.tries,
            "avoid": self.avoid, "waited": self.waits.json(),
        });
        match &self.end {
            RequestEnd::Refused(r) => {
                v["state"] = json!("refused");
                v["code"] = json!(r.code);
                v["message"] = json!(r.message);
                v["run"] = json!(r.executed);
            }
            RequestEnd::Done(outcome) => {
                v["state"] = json!("ended");
                v["outcome"] = json!(outcome.name());
            }
        }
        v
    }
}

/// Ended requests and requests refused on arrival, the last [`HISTORY_SIZE`] of each.
#[derive(Debug, Default)]
pub(super) struct History {
    ended: VecDeque<EndedRequest>,
    refused: VecDeque<(RequestId, Refusal)>,
}

impl History {
    pub(super) fn end(&mut self, p: EndedRequest) {
        push(&mut self.ended, p);
    }

    /// Adds a request that was refused on arrival.
    pub(super) fn refuse(&mut self, id: RequestId, r: Refusal) {
        push(&mut self.refused, (id, r));
    }

    /// Describes a request; `None` if it is unknown or too old.
    pub(super) fn explain(&self, id: RequestId) -> Option<Value> {
        if let Some(p) = self.ended.iter().rev().find(|p| p.id == id) {
            return Some(p.json());
        }
        let (_, r) = self.refused.iter().rev().find(|(i, _)| *i == id)?;
        Some(json!({
            "request": id.to_string(), "state": "refused", "code": r.code,
            "message": r.message, "run": r.executed,
        }))
    }
}

fn push<T>(to: &mut VecDeque<T>, x: T) {
    if to.len() == HISTORY_SIZE {
        to.pop_front();
    }
    to.push_back(x);
}
