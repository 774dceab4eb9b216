//! Graceful shutdown of a host on SIGTERM or SIGINT.
//!
//! The steps are: mark the host as leaving, keep serving until address lookups that callers have
//! cached expire, refuse new requests, wait for the running ones, release the lease. A second
//! signal or the time limit forces the exit.

#[cfg(test)]
mod tests;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix_web::dev::ServerHandle;
use slog::{Logger, kv};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::Notify,
};

use crate::{
    control::messages::ControlHandle,
    events::{Event, emit},
};

/// Time for which callers cache the response to an address lookup.
pub const ADDRESSES_TTL: Duration = Duration::from_secs(2);

/// Time after the address TTL for callers that are still connecting to a cached address.
const CONNECT_GRACE: Duration = Duration::from_secs(1);

/// Maximum wait for connections to close after the last request. By then only buffered ends of
/// responses are left to write, and a caller may keep an idle HTTP/2 connection open for much
/// longer.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// How a host treats new requests. Phases are only entered in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Open,
    /// Accepts requests, but asks callers to use another host afterwards.
    Leaving,
    /// Refuses new requests and finishes the running ones.
    Closed,
}

/// Counts the requests in progress and refuses new ones late in a shutdown.
#[derive(Debug, Default)]
pub struct RequestTracker {
    phase: AtomicU8,
    count: AtomicUsize,
    idle: Notify,
}

impl RequestTracker {
    /// Creates a tracker in the phase [`Phase::Open`].
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Open,
            1 => Phase::Leaving,
            _ => Phase::Closed,
        }
    }

    /// Counts a request until the guard is dropped; `None` if new requests are refused.
    pub fn track(self: &Arc<Self>) -> Option<RequestGuard> {
        // Counts before the check, so that no request can be missed both here and by `wait_idle`.
        self.count.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard(self.clone());
        (self.phase() != Phase::Closed).then_some(guard)
    }

    /// Enters a later phase; an earlier one is ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Number of requests in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Keeps a request counted as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<RequestTracker>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests ended, and the lease was released or left to expire.
    Graceful,
    /// A second signal arrived or the time limit passed.
    Forced,
}

/// Parts of the host that a shutdown needs.
pub struct Shutdown {
    /// Handle of the control thread, which owns the lease.
    pub handle: ControlHandle,
    /// HTTP server for callers.
    pub server: ServerHandle,
    /// Requests of the HTTP server.
    pub tracker: Arc<RequestTracker>,
    /// Time after which the exit is forced, from the first signal.
    pub timeout: Duration,
    /// Log of the process.
    pub log: Logger,
}

/// Handlers of SIGTERM and SIGINT.
pub struct Signals(Signal, Signal);

impl Signals {
    /// Installs the handlers; from now on the signals no longer end the process.
    ///
    /// # Errors
    ///
    /// A handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self(signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
    }

    /// Waits for the next SIGTERM or SIGINT.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.0.recv() => {}
            _ = self.1.recv() => {}
        }
    }
}

/// Waits for a signal and shuts the host down.
pub async fn run(shutdown: Shutdown, signals: &mut Signals) -> ShutdownOutcome {
    signals.next().await;
    emit(&shutdown.log, Event::StopBegun, &kv!("requests" => shutdown.tracker.count()));
    let second_signal = AtomicBool::new(false);
    let force = async {
        tokio::select! {
            () = signals.next() => second_signal.store(true, Ordering::SeqCst),
            () = tokio::time::sleep(shutdown.timeout) => {}
        }
    };
    tokio::select! {
        () = shut_down(&shutdown) => ShutdownOutcome::Graceful,
        () = force => {
            let second = second_signal.load(Ordering::SeqCst);
            let fields = kv!("requests" => shutdown.tracker.count(), "second_signal" => second);
            emit(&shutdown.log, Event::StopForced, &fields);
            ShutdownOutcome::Forced
        }
    }
}

/// Runs the steps of a graceful shutdown.
pub async fn shut_down(shutdown: &Shutdown) {
    shutdown.tracker.advance(Phase::Leaving);
    // Continues without an answer of the control thread: the host list also shows this host as
    // leaving.
    let _ = shutdown.handle.leave().await;
    tokio::time::sleep(ADDRESSES_TTL + CONNECT_GRACE).await;
    shutdown.tracker.advance(Phase::Closed);
    // The server refuses connections from now on; the future completes when the open ones are
    // closed.
    let server = shutdown.server.stop(true);
    shutdown.tracker.wait_idle().await;
    let _ = tokio::time::timeout(FLUSH_TIMEOUT, server).await;
    emit(&shutdown.log, Event::StopDrained, &kv!("requests" => shutdown.tracker.count()));
    // Without an answer the lease expires by itself.
    let _ = shutdown.handle.release().await;
}
