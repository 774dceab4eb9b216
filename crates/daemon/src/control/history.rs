//! Where requests spent their time, and those that have ended, for `explain`.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

use arcstr::ArcStr;
use serde_json::{Value, json};
use yuccawing_core::time::Tick;

use super::messages::{Outcome, Refusal, RequestId};

/// Requests that `explain` remembers: so many that ended, and so many that were refused on arrival,
/// so that a flood of refusals does not push out the others.
pub(super) const HISTORY_SIZE: usize = 512;

/// Time that a request spent before it was sent to an upstream. It waits for tokens, then in the
/// queue, and there, while a pin is missing, for the pin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WaitTimes {
    // Start of the present wait and of the one for a pin.
    since: Tick,
    pin_since: Option<Tick>,
    tokens: Duration,
    queue: Duration,
    pin: Duration,
}

impl WaitTimes {
    /// The request arrives.
    pub(super) fn new(now: Tick) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// Length of the present wait.
    pub(super) fn current(&self, now: Tick) -> Duration {
        now.since(self.since)
    }

    /// The present wait begins; what was before it is not counted.
    pub(super) fn restart(&mut self, now: Tick) {
        self.since = now;
    }

    /// The wait for tokens ends.
    pub(super) fn end_token_wait(&mut self, now: Tick) {
        self.tokens += now.since(self.since);
        self.since = now;
    }

    /// The wait for a pin begins, if it has not begun yet.
    pub(super) fn start_pin_wait(&mut self, now: Tick) {
        self.pin_since.get_or_insert(now);
    }

    /// The wait for a pin ends.
    pub(super) fn end_pin_wait(&mut self, now: Tick) {
        let Some(start) = self.pin_since.take() else { return };
        let start = start.max(self.since);
        self.queue += start.since(self.since);
        self.pin += now.since(start);
        self.since = now;
    }

    /// The wait in the queue ends.
    pub(super) fn end_queue_wait(&mut self, now: Tick) {
        self.end_pin_wait(now);
        self.queue += now.since(self.since);
        self.since = now;
    }

    /// How long the present wait for a pin has lasted.
    pub(super) fn pin_wait(&self, now: Tick) -> Duration {
        self.pin_since.map_or(Duration::ZERO, |t| now.since(t.max(self.since)))
    }

    /// The waits in milliseconds.
    pub(super) fn json(&self) -> Value {
        json!({
            "tokens_ms": self.tokens.as_millis(), "queue_ms": self.queue.as_millis(),
            "pin_ms": self.pin.as_millis(),
        })
    }
}

/// An instance on an upstream.
#[derive(Clone, Debug)]
pub(super) struct Location {
    /// Upstream.
    pub(super) upstream: ArcStr,
    /// Instance, empty on plain services.
    pub(super) instance: ArcStr,
}

/// A request that has ended.
#[derive(Debug)]
pub(super) struct EndedRequest {
    /// Request.
    pub(super) id: RequestId,
    /// Account.
    pub(super) account: Option<ArcStr>,
    /// Tokens reserved.
    pub(super) tokens: u64,
    /// Tokens used.
    pub(super) used: u64,
    /// Where it was when it ended.
    pub(super) location: Option<Location>,
    /// Upstreams that it avoided.
    pub(super) avoid: Vec<ArcStr>,
    /// Upstreams tried.
    pub(super) tries: u32,
    /// Its waits.
    pub(super) waits: WaitTimes,
    /// How it ended.
    pub(super) end: RequestEnd,
}

/// How a request ended.
#[derive(Debug)]
pub(super) enum RequestEnd {
    /// The control thread refused it.
    Refused(Refusal),
    /// The traffic thread reported its end.
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

/// The last requests that ended, and the last that were refused on arrival.
#[derive(Debug, Default)]
pub(super) struct History {
    ended: VecDeque<EndedRequest>,
    refused: VecDeque<(RequestId, Refusal)>,
}

impl History {
    /// Remembers a request that has ended.
    pub(super) fn end(&mut self, p: EndedRequest) {
        push(&mut self.ended, p);
    }

    /// Remembers a request that was refused on arrival.
    pub(super) fn refuse(&mut self, id: RequestId, r: Refusal) {
        push(&mut self.refused, (id, r));
    }

    /// What is remembered of a request.
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
