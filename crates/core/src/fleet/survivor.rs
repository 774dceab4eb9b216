//! Evidence that a host which reaches no majority of the fleet is its only survivor.
//!
//! A host that hears no other one cannot tell a partition from the loss of all others. It sees what
//! the replicas do, though: if its own callers keep it busy and for long enough nothing there comes
//! from another host, no other host serves callers.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::time::Tick;

/// Time between two requests of callers after which this host counts as idle. An idle host learns
/// nothing: the callers of the others may be idle as well.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// What one host has seen of its own load and of that of other hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Survivor {
    // Since when this host has been busy without a sign of another host.
    alone_since: Option<Tick>,
    last_request: Option<Tick>,
}

impl Survivor {
    /// Records a request that needs an engine.
    pub fn record_request(&mut self, now: Tick) {
        if self.last_request.is_none_or(|t| now.since(t) > MAX_IDLE) {
            self.alone_since = Some(now);
        }
        self.last_request = Some(now);
    }

    /// Records work or orders at a replica that this host did not send.
    pub fn record_foreign(&mut self, now: Tick) {
        self.alone_since = self.alone_since.map(|_| now);
    }

    /// Whether this host has been busy for `span` without a sign of another host.
    pub fn is_alone(&self, now: Tick, span: Duration) -> bool {
        self.last_request.is_some_and(|t| now.since(t) <= MAX_IDLE)
            && self.alone_since.is_some_and(|t| now.since(t) > span)
    }
}
