//! Messages between the HTTP worker threads and the control thread.
//!
//! Worker threads read the published [`Snapshot`] and send a [`Call`] for each decision about a
//! request. A call that expects an answer carries a one-shot channel, so the control thread can
//! keep the request in its queue and answer later.

use std::{
    collections::HashMap,
    fmt,
    hash::{Hash, Hasher},
    net::SocketAddr,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix::{Message, Recipient};
use arc_swap::{ArcSwap, Guard};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest, Sha256};
use slotmap::new_key_type;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;
use yuccawing_core::{ids::Incarnation, rules::Class};

new_key_type! {
    /// Key of an open request, with its token reservation, in the control thread's table.
    pub struct RequestKey;
}

/// Id of a request, unique across hosts and restarts: `INCARNATION-SEQUENCE` in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Process that received the request.
    pub incarnation: Incarnation,
    /// Number of the request in that process.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.incarnation, self.seq)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (inc, seq) = s.split_once('-').unwrap_or((s, ""));
        Ok(Self {
            incarnation: Incarnation(u64::from_str_radix(inc, 16)?),
            seq: u64::from_str_radix(seq, 16)?,
        })
    }
}

/// Requests admission of a completion and an engine to run it on.
#[derive(Clone, Debug)]
pub struct Admit {
    /// Id of the request.
    pub id: RequestId,
    /// Account that the API key belongs to.
    pub account: ArcStr,
    /// Name of the adapter.
    pub adapter: ArcStr,
    /// Version of the adapter; the newest one of the snapshot if the caller named none.
    pub version: ArcStr,
    /// Priority class, never above the adapter's.
    pub class: Class,
    /// Largest possible cost in tokens: the estimated prompt and `max_tokens`.
    pub cost: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Hash of the first bytes of the prompt. Requests with the same hash prefer the same engine.
    pub prefix: u64,
}

/// The upstream that an admitted request is to be sent to.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Name of the upstream.
    pub upstream: ArcStr,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Name of the adapter's instance, sent as `model`; empty for a plain service.
    pub instance: ArcStr,
    /// Priority on the engine; 0 is the highest.
    pub priority: u8,
    /// Key of the request, for the calls that follow.
    pub key: RequestKey,
}

/// Requests another upstream for a request that did not run on the last one or is idempotent. Its
/// token reservation stays. The answer is a new [`Dispatch`] or a refusal.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Id of the request.
    pub id: RequestId,
    /// Key from the last dispatch.
    pub key: RequestKey,
    /// Why the last upstream did not run it.
    pub reason: NotRunReason,
}

/// Requests admission of a call to a plain service and an upstream to send it to.
#[derive(Clone, Debug)]
pub struct AdmitPlain {
    /// Id of the request.
    pub id: RequestId,
    /// Path prefix of the route, as configured.
    pub route: ArcStr,
    /// Account that the API key belongs to; `None` for a call without a key to an open route.
    pub account: Option<ArcStr>,
    /// Configured cost of a call in tokens.
    pub cost: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Ticket sent by the caller; required if the route is not idempotent, and valid once.
    pub ticket: Option<ArcStr>,
}

/// Reports the end of a request. Sent exactly once for each [`Admit`] or [`AdmitPlain`] that was
/// not refused. If the caller disconnects before the dispatch is received, `key` is `None` and the
/// control thread looks the request up by its id, which it ignores if it is unknown.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// Id of the request.
    pub id: RequestId,
    /// Key from the last dispatch; `None` if no dispatch was received.
    pub key: Option<RequestKey>,
    /// Tokens used by the prompt and the generated text.
    pub used: u64,
    /// Result, which decides what the account is charged and counts for the upstream's health.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was received.
    Finished,
    /// The caller disconnected or its deadline passed after the request was sent.
    Cancelled,
    /// The request did not run on any upstream, except as noted for [`NotRunReason::NoAnswer`].
    NotRun(NotRunReason),
    /// The upstream failed after the request was sent, so it ran or may have run.
    Failed,
}

/// Why a request did not run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The engine does not have the instance of the adapter.
    UnknownInstance,
    /// The upstream refused it because of overload.
    Overloaded,
    /// The connection could not be opened.
    ConnectFailed,
    /// There was no answer and the engine does not know the request. The upstream may still start
    /// it later, so this is used only to retry requests that may be repeated.
    NoAnswer,
    /// The caller disconnected or its deadline passed before the request was sent.
    Abandoned,
}

impl Outcome {
    /// Name in the response of `GET /admin/explain`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Failed => "broken",
            Self::NotRun(_) => "not_run",
        }
    }
}

/// Whether a refused or failed request ran; the field `run` of error responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Executed {
    /// It did not run, so the caller may repeat it.
    #[serde(rename = "not_run")]
    No,
    /// It ran, at least in part.
    #[serde(rename = "ran")]
    Yes,
    /// It may have run.
    #[serde(rename = "unknown")]
    Unknown,
}

/// Error of a request, sent to the caller: a refusal, or a failure after it was sent upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", code.name())]
pub struct Refusal {
    /// Machine-readable code, which also determines the HTTP status.
    pub code: ErrorCode,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran.
    pub executed: Executed,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), executed: Executed::No, retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Error code sent to callers and used as a metric label.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorCode { $($(#[$doc])* $name,)* }

        impl ErrorCode {
            /// All codes, for the test that compares them with the documentation.
            #[cfg(test)]
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Name in error responses and metrics.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// HTTP status of the response.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// The request is malformed.
    BadRequest = "bad_request", 400;
    /// The API key is missing or invalid.
    BadKey = "bad_key", 401;
    /// No such path, adapter or version.
    NotFound = "not_found", 404;
    /// The method is not allowed on this path.
    BadMethod = "bad_method", 405;
    /// The body did not arrive in time.
    SlowBody = "slow_body", 408;
    /// The request body, or a response that is not streamed, is too large.
    TooLarge = "too_large", 413;
    /// The account has used up its rate limit.
    RateLimited = "rate_limited", 429;
    /// The request can cost more tokens than the account's burst, so a retry is useless.
    OverBurst = "over_burst", 413;
    /// This host or the upstream is overloaded, or the expected wait exceeds the deadline.
    Overloaded = "overloaded", 503;
    /// The deadline passed.
    Deadline = "deadline", 504;
    /// This host does not hold its lease.
    NoLease = "no_lease", 503;
    /// This host could not confirm for too long that its configuration is current.
    StaleConfig = "stale_config", 503;
    /// This host is starting or does not admit requests now.
    NotReady = "not_ready", 503;
    /// This host is shutting down.
    Leaving = "leaving", 503;
    /// No upstream could take the request.
    NoUpstream = "no_upstream", 503;
    /// The adapter could not be loaded.
    LoadFailed = "load_failed", 503;
    /// The upstream failed or sent an invalid or incomplete response.
    UpstreamFailed = "upstream_failed", 502;
    /// The upstream did not answer.
    UpstreamSilent = "upstream_silent", 504;
    /// The route is not idempotent and the request has no ticket.
    TicketNeeded = "ticket_needed", 428;
    /// The ticket was issued by another process, has expired or is unknown.
    TicketUnknown = "ticket_unknown", 409;
    /// The ticket has already been used.
    TicketSpent = "ticket_spent", 409;
    /// An internal error.
    Internal = "internal", 500;
}

impl Serialize for ErrorCode {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(self.name())
    }
}

/// What `GET /admin/explain` asks about.
#[derive(Clone, Debug)]
pub enum Explain {
    /// Placement of an adapter.
    Adapter(ArcStr),
    /// An open request, or one that ended or was refused recently.
    Request(RequestId),
}

/// Channel for the answer to a call.
pub type AnswerSender<T> = oneshot::Sender<T>;

/// A message to the control thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum Call {
    /// Admits a completion.
    Admit(Admit, AnswerSender<Result<Dispatch, Refusal>>),
    /// Admits a call to a plain service.
    AdmitPlain(AdmitPlain, AnswerSender<Result<Dispatch, Refusal>>),
    /// Chooses another upstream.
    Retry(Retry, AnswerSender<Result<Dispatch, Refusal>>),
    /// Ends a request; there is no answer.
    Done(Done),
    /// Issues a ticket, which lets an account call a non-idempotent route once.
    Ticket(Option<ArcStr>, AnswerSender<Result<ArcStr, Refusal>>),
    /// Describes the state of the host.
    Status(AnswerSender<serde_json::Value>),
    /// Explains the state of an adapter or a request; `None` if it is unknown.
    Explain(Explain, AnswerSender<Option<serde_json::Value>>),
    /// Starts a graceful shutdown: marks this host as leaving and tells the peers.
    Leave(AnswerSender<()>),
    /// Ends a graceful shutdown: releases the pins and the lease. Answered after the peers were
    /// told.
    Release(AnswerSender<()>),
}

/// A host in the response of `GET /v1/hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: ArcStr,
    /// Address for callers, `IP:PORT`.
    pub http: ArcStr,
    /// Failure domain of the host.
    pub domain: ArcStr,
    /// Share of the callers that should use this host, relative to the other weights.
    pub weight: u32,
    /// Id of its process, in hexadecimal.
    pub incarnation: ArcStr,
}

/// Response of `GET /v1/hosts`, from which callers choose a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// How long a caller may cache the response, in milliseconds.
    pub ttl_ms: u64,
    /// Hosts that are alive, hold their lease and are not leaving. Overloaded hosts are left out
    /// unless all are overloaded.
    pub hosts: Vec<HostEntry>,
}

/// Data of an adapter that the HTTP worker threads need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterView {
    /// Versions; the last one is the default.
    pub versions: Vec<ArcStr>,
    /// Highest priority class of its requests.
    pub class: Class,
}

/// Data of a route to plain services that the HTTP worker threads need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteView {
    /// Path prefix of its calls.
    pub prefix: ArcStr,
    /// Whether calls need no API key.
    pub open: bool,
    /// Whether a call may be sent again after a failure.
    pub idempotent: bool,
    /// Cost of a call in tokens.
    pub cost: u64,
}

/// SHA-256 hash of an API key. It is compared in constant time, so that the duration of a look-up
/// does not reveal the stored hashes.
#[derive(Clone, Copy, Debug)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses the 64 hexadecimal digits of the configuration; `None` if malformed.
    pub fn parse(hex: &str) -> Option<Self> {
        let mut out = [0; 32];
        if hex.len() != 64 || !hex.is_ascii() {
            return None;
        }
        for (byte, pair) in out.iter_mut().zip(hex.as_bytes().chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(out))
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl Hash for KeyHash {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// State that the HTTP worker threads read. The control thread publishes a new one on each change.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Active configuration version; 0 before the first one.
    pub version: u64,
    /// Id of this process.
    pub incarnation: Incarnation,
    /// Whether requests with a key are admitted: the host has started, holds its lease and its
    /// configuration is confirmed.
    pub ready: bool,
    /// Whether this host is shutting down.
    pub leaving: bool,
    /// Account of each API key.
    pub keys: Arc<HashMap<KeyHash, ArcStr>>,
    /// Routes, longest prefix first.
    pub routes: Arc<Vec<RouteView>>,
    /// Adapters by name.
    pub adapters: Arc<HashMap<ArcStr, AdapterView>>,
    /// Response of `GET /v1/hosts`.
    pub hosts: Hosts,
}

/// Handle by which the HTTP worker threads reach the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    control: Recipient<Call>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    refused_calls: Arc<AtomicU64>,
}

impl fmt::Debug for ControlHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlHandle").finish_non_exhaustive()
    }
}

impl ControlHandle {
    /// Creates a handle of the actor behind `control`, which publishes to `snapshot`. Calls that
    /// fail because its mailbox is full are counted in `refused_calls`.
    pub fn new(
        control: Recipient<Call>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        refused_calls: Arc<AtomicU64>,
    ) -> Self {
        Self { control, snapshot, refused_calls }
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    /// Admits a completion and waits for an engine. Dropping the future or the admission ends the
    /// request and sends [`Done`].
    ///
    /// # Errors
    ///
    /// The control thread's refusal, or `overloaded` if its mailbox is full.
    pub async fn admit(&self, a: Admit) -> Result<Admission, Refusal> {
        let open = Admission::new(self, a.id, a.deadline);
        open.wait(|reply| Call::Admit(a, reply)).await
    }

    /// Admits a call to a plain service. See [`ControlHandle::admit`].
    ///
    /// # Errors
    ///
    /// As [`ControlHandle::admit`], and refusals because of the ticket.
    pub async fn admit_plain(&self, a: AdmitPlain) -> Result<Admission, Refusal> {
        let open = Admission::new(self, a.id, a.deadline);
        open.wait(|reply| Call::AdmitPlain(a, reply)).await
    }

    /// Issues a ticket for one call to a non-idempotent route.
    ///
    /// # Errors
    ///
    /// The table of tickets is full, or the control thread does not answer.
    pub async fn ticket(&self, account: Option<ArcStr>) -> Result<ArcStr, Refusal> {
        self.ask(|reply| Call::Ticket(account, reply)).await?
    }

    /// Describes the state of the host as JSON.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn status(&self) -> Result<serde_json::Value, Refusal> {
        self.ask(Call::Status).await
    }

    /// Explains the state of an adapter or a request; `None` if it is unknown.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn explain(&self, what: Explain) -> Result<Option<serde_json::Value>, Refusal> {
        self.ask(|reply| Call::Explain(what, reply)).await
    }

    /// Marks this host as leaving and tells the peers.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn leave(&self) -> Result<(), Refusal> {
        self.ask(Call::Leave).await
    }

    /// Releases the pins and the lease.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn release(&self) -> Result<(), Refusal> {
        self.ask(Call::Release).await
    }

    async fn ask<T>(&self, call: impl FnOnce(AnswerSender<T>) -> Call) -> Result<T, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.send(call(tx))?;
        match tokio::time::timeout(ANSWER_TIMEOUT, rx).await {
            Ok(Ok(x)) => Ok(x),
            _ => Err(Refusal::not_run(ErrorCode::Internal, "the control thread does not answer")),
        }
    }

    fn send(&self, call: Call) -> Result<(), Refusal> {
        self.control.try_send(call).map_err(|e| match e {
            actix::prelude::SendError::Full(_) => {
                self.refused_calls.fetch_add(1, Ordering::Relaxed);
                Refusal::not_run(ErrorCode::Overloaded, "the control thread's mailbox is full")
                    .with_retry_after(Duration::from_secs(1))
            }
            actix::prelude::SendError::Closed(_) => {
                Refusal::not_run(ErrorCode::Leaving, "the control thread has ended")
            }
        })
    }
}

/// Timeout of calls that the control thread answers without waiting.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Extra wait for the control thread after the deadline, because its refusal names a more specific
/// cause than the timeout.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

/// An admitted request. Sends exactly one [`Done`], at the latest when it is dropped.
#[derive(Debug)]
pub struct Admission {
    handle: ControlHandle,
    id: RequestId,
    deadline: Instant,
    dispatch: Option<Dispatch>,
    // Sent with `Done`.
    used: u64,
    outcome: Outcome,
    open: bool,
}

impl Admission {
    fn new(handle: &ControlHandle, id: RequestId, deadline: Instant) -> Self {
        let outcome = Outcome::NotRun(NotRunReason::Abandoned);
        let handle = handle.clone();
        Self { handle, id, deadline, dispatch: None, used: 0, outcome, open: false }
    }

    /// Returns the upstream that the request is to be sent to.
    pub fn dispatch(&self) -> &Dispatch {
        self.dispatch.as_ref().expect("an admission is handed out with a dispatch")
    }

    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns when the caller stops waiting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sets the used tokens and the outcome that a drop reports.
    pub fn set_outcome(&mut self, used: u64, outcome: Outcome) {
        self.used = used;
        self.outcome = outcome;
    }

    /// Requests another upstream.
    ///
    /// # Errors
    ///
    /// The control thread's refusal, with which the request has ended.
    pub async fn retry(mut self, reason: NotRunReason) -> Result<Self, Refusal> {
        let key = self.dispatch().key;
        self.set_outcome(0, Outcome::NotRun(reason));
        let retry = Retry { id: self.id, key, reason };
        self.wait(|reply| Call::Retry(retry, reply)).await
    }

    async fn wait(
        mut self,
        call: impl FnOnce(AnswerSender<Result<Dispatch, Refusal>>) -> Call,
    ) -> Result<Self, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.handle.send(call(tx))?;
        self.open = true;
        let limit = tokio::time::Instant::from_std(self.deadline + REFUSAL_GRACE);
        match tokio::time::timeout_at(limit, rx).await {
            Ok(Ok(Ok(d))) => {
                self.dispatch = Some(d);
                self.set_outcome(0, Outcome::NotRun(NotRunReason::Abandoned));
                Ok(self)
            }
            Ok(Ok(Err(r))) => {
                self.open = self.dispatch.is_some();
                Err(r)
            }
            Ok(Err(_)) => Err(Refusal::not_run(ErrorCode::Leaving, "the control thread has ended")),
            Err(_) => {
                Err(Refusal::not_run(ErrorCode::Deadline, "the deadline passed in the queue"))
            }
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if self.open {
            let key = self.dispatch.as_ref().map(|d| d.key);
            let done = Done { id: self.id, key, used: self.used, outcome: self.outcome };
            // `do_send` ignores the mailbox's limit: a lost `Done` would leak the reservation.
            // There is at most one for each admission.
            self.handle.control.do_send(Call::Done(done));
        }
    }
}
