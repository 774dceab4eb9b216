//! Messages between traffic threads and the control thread.
//!
//! Traffic threads read the published [`Snapshot`] and send a [`Call`] for everything that is
//! decided per request. A call that expects an answer carries a one-shot channel, so the control
//! thread can keep the request in its queue and answer later.

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
    /// A dispatched request and its reservation, in the control thread's table.
    pub struct RequestKey;
}

/// A request's id, unique over all hosts and restarts: `INCARNATION-SEQUENCE` in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Process that received the request.
    pub incarnation: Incarnation,
    /// Count of requests of that process.
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

/// Asks for an engine for a completion.
#[derive(Clone, Debug)]
pub struct Admit {
    /// Request.
    pub id: RequestId,
    /// Account that the key belongs to.
    pub account: ArcStr,
    /// Adapter.
    pub adapter: ArcStr,
    /// Version, resolved from the snapshot when the request named none.
    pub version: ArcStr,
    /// Class, never above the adapter's.
    pub class: Class,
    /// Largest possible cost in tokens: prompt estimate and `max_tokens`.
    pub cost: u64,
    /// When the caller's deadline ends.
    pub deadline: Instant,
    /// Hash of the first bytes of the prompt, a hint for prefix affinity.
    pub prefix: u64,
}

/// The engine that a completion is to be sent to.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Name of the engine.
    pub upstream: ArcStr,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Instance name to put into the request's `model`.
    pub instance: ArcStr,
    /// Priority on the engine, 0 first.
    pub priority: u8,
    /// Key of the request's reservation.
    pub key: RequestKey,
}

/// Asks for another upstream for a request that has certainly not run on the last one, or that may
/// be repeated. The reservation stays. The answer is a new [`Dispatch`] or a refusal.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Request.
    pub id: RequestId,
    /// Key from the last dispatch.
    pub key: RequestKey,
    /// Why the last upstream did not answer.
    pub reason: NotRunReason,
}

/// Asks for an upstream for a call to a plain service. It ends with [`Done`] as well.
#[derive(Clone, Debug)]
pub struct AdmitPlain {
    /// Request.
    pub id: RequestId,
    /// Path prefix of the route, as in the rules.
    pub route: ArcStr,
    /// Account, `None` on open routes that were called without a key.
    pub account: Option<ArcStr>,
    /// Cost in tokens from the rules.
    pub cost: u64,
    /// When the caller's deadline ends.
    pub deadline: Instant,
    /// Ticket as given by the caller. It must be spent when the route is not idempotent.
    pub ticket: Option<ArcStr>,
}

/// End of a request. Sent exactly once per [`Admit`] or [`AdmitPlain`] that was not refused, also
/// when the caller went away before the answer to it was read: `key` is `None` then, and the
/// control thread finds the request by its id. An unknown id is to be ignored.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// Request.
    pub id: RequestId,
    /// Key from the last dispatch, `None` if no dispatch was received.
    pub key: Option<RequestKey>,
    /// Tokens used: prompt and generated.
    pub used: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Finished,
    /// The caller went away or its deadline passed while the answer was under way.
    Cancelled,
    /// It certainly did not run.
    NotRun(NotRunReason),
    /// The upstream failed during the answer; it ran or may have run.
    Failed,
}

/// Why a request did not run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The engine does not have the instance.
    UnknownInstance,
    /// The upstream is overloaded.
    Overloaded,
    /// No connection.
    ConnectFailed,
    /// No answer at all and the engine does not know the request; only for [`Again`] on
    /// idempotent requests, as a late start is possible.
    NoAnswer,
    /// The caller went away or its deadline passed before anything was sent.
    Abandoned,
}

impl Outcome {
    /// Name in the answer of `explain`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Failed => "broken",
            Self::NotRun(_) => "not_run",
        }
    }
}

/// Whether a refused or failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Executed {
    /// Certainly not.
    #[serde(rename = "not_run")]
    No,
    /// At least in part.
    #[serde(rename = "ran")]
    Yes,
    /// It may have.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A refusal or failure, as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", code.name())]
pub struct Refusal {
    /// Code.
    pub code: ErrorCode,
    /// Text for people.
    pub message: String,
    /// Whether the request ran.
    pub executed: Executed,
    /// When another attempt makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was not sent to any upstream.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), executed: Executed::No, retry_after: None }
    }

    /// Sets when another attempt makes sense.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Code of a refusal or failure.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorCode { $($(#[$doc])* $name,)* }

        impl ErrorCode {
            /// All codes, to compare them with the documentation.
            #[cfg(test)]
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Name in error answers and metrics.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// HTTP status.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// The request cannot be read.
    BadRequest = "bad_request", 400;
    /// The key is missing or not valid.
    BadKey = "bad_key", 401;
    /// No such path, adapter or version.
    NotFound = "not_found", 404;
    /// The method is not allowed on this path.
    BadMethod = "bad_method", 405;
    /// The body did not arrive in time.
    SlowBody = "slow_body", 408;
    /// The body is too large.
    TooLarge = "too_large", 413;
    /// The account's allowance is used up.
    RateLimited = "rate_limited", 429;
    /// The request can never fit the account's burst.
    OverBurst = "over_burst", 413;
    /// The queue is full, or the expected wait exceeds the deadline.
    Overloaded = "overloaded", 503;
    /// The deadline passed.
    Deadline = "deadline", 504;
    /// This host does not hold its lease.
    NoLease = "no_lease", 503;
    /// This host has had no confirmation of its configuration for too long.
    StaleConfig = "stale_config", 503;
    /// This host is not ready yet.
    NotReady = "not_ready", 503;
    /// This host is shutting down.
    Leaving = "leaving", 503;
    /// No upstream can take the request.
    NoUpstream = "no_upstream", 503;
    /// The adapter could not be loaded.
    LoadFailed = "load_failed", 503;
    /// The upstream failed.
    UpstreamFailed = "upstream_failed", 502;
    /// The upstream went silent.
    UpstreamSilent = "upstream_silent", 504;
    /// The route needs a ticket.
    TicketNeeded = "ticket_needed", 428;
    /// The ticket is of another incarnation, expired or unknown.
    TicketUnknown = "ticket_unknown", 409;
    /// The ticket has been spent.
    TicketSpent = "ticket_spent", 409;
    /// A defect.
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
    /// A request, waiting, running, or ended or refused a short time ago.
    Request(RequestId),
}

/// One-shot channel for an answer.
pub type Reply<T> = oneshot::Sender<T>;

/// A message to the control thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum Call {
    /// See [`Admit`].
    Admit(Admit, Reply<Result<Dispatch, Refusal>>),
    /// See [`AdmitPlain`]. `Dispatch::instance` is empty.
    AdmitPlain(AdmitPlain, Reply<Result<Dispatch, Refusal>>),
    /// See [`Again`].
    Retry(Retry, Reply<Result<Dispatch, Refusal>>),
    /// See [`Done`].
    Done(Done),
    /// Issues a ticket to an account.
    Ticket(Option<ArcStr>, Reply<Result<ArcStr, Refusal>>),
    /// The host's state.
    Status(Reply<serde_json::Value>),
    /// Why something is placed, waiting or refused. `None`: not known.
    Explain(Explain, Reply<Option<serde_json::Value>>),
    /// Start of a graceful shutdown: mark this host leaving and tell the peers.
    Leave(Reply<()>),
    /// End of a graceful shutdown: release pins and lease. Answered when peers were told.
    Release(Reply<()>),
}

/// A host in the answer to the address look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name.
    pub name: ArcStr,
    /// Address for callers, `IP:PORT`.
    pub http: ArcStr,
    /// Failure domain.
    pub domain: ArcStr,
    /// Share of callers that should use it, relative to the others.
    pub weight: u32,
    /// Process, in hexadecimal.
    pub incarnation: ArcStr,
}

/// Answer to the address look-up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// How long a caller may use it, in milliseconds.
    pub ttl_ms: u64,
    /// Hosts that are alive, not leaving and hold their lease, without overloaded ones while there
    /// is another.
    pub hosts: Vec<HostEntry>,
}

/// An adapter as traffic threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterView {
    /// Versions; the last one is used when a request names none.
    pub versions: Vec<ArcStr>,
    /// Class of its requests.
    pub class: Class,
}

/// A route to plain services as traffic threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteView {
    /// Path prefix.
    pub prefix: ArcStr,
    /// Whether a call needs no key.
    pub open: bool,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Tokens that a call costs its account.
    pub cost: u64,
}

/// SHA-256 of a key. Equality takes constant time, so that the time of a look-up tells nothing about
/// the stored hashes.
#[derive(Clone, Copy, Debug)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hash of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads the hexadecimal form of the rules.
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

/// What traffic threads read. The control thread publishes a new one on each change.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration version in force, 0 for none.
    pub version: u64,
    /// This process.
    pub incarnation: Incarnation,
    /// Whether keyed requests are admitted: started, holding the lease, configuration confirmed.
    pub ready: bool,
    /// Whether this host is shutting down.
    pub leaving: bool,
    /// Accounts by the SHA-256 of each of their keys.
    pub keys: Arc<HashMap<KeyHash, ArcStr>>,
    /// Routes, longest prefix first.
    pub routes: Arc<Vec<RouteView>>,
    /// Adapters by name.
    pub adapters: Arc<HashMap<ArcStr, AdapterView>>,
    /// Answer to the address look-up.
    pub hosts: Hosts,
}

/// Handle of the control thread for traffic threads.
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
    /// A handle of the actor behind `control`, which publishes to `snapshot`. Calls that its full mailbox
    /// refuses are counted in `refused_calls`.
    pub fn new(
        control: Recipient<Call>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        refused_calls: Arc<AtomicU64>,
    ) -> Self {
        Self { control, snapshot, refused_calls }
    }

    /// The snapshot in force.
    pub fn snapshot(&self) -> Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    /// Asks for an engine. Dropping the future or the admission ends the request with [`Done`].
    ///
    /// # Errors
    ///
    /// The control thread's refusal, or `overloaded` if its mailbox is full.
    pub async fn admit(&self, a: Admit) -> Result<Admission, Refusal> {
        let open = Admission::new(self, a.id, a.deadline);
        open.wait(|reply| Call::Admit(a, reply)).await
    }

    /// Asks for a plain service, as [`Handle::admit`].
    ///
    /// # Errors
    ///
    /// As [`Handle::admit`], and refusals about the ticket.
    pub async fn admit_plain(&self, a: AdmitPlain) -> Result<Admission, Refusal> {
        let open = Admission::new(self, a.id, a.deadline);
        open.wait(|reply| Call::AdmitPlain(a, reply)).await
    }

    /// Issues a ticket.
    ///
    /// # Errors
    ///
    /// The table of tickets is full.
    pub async fn ticket(&self, account: Option<ArcStr>) -> Result<ArcStr, Refusal> {
        self.ask(|reply| Call::Ticket(account, reply)).await?
    }

    /// The host's state.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn status(&self) -> Result<serde_json::Value, Refusal> {
        self.ask(Call::Status).await
    }

    /// Why something is placed, waiting or refused.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn explain(&self, what: Explain) -> Result<Option<serde_json::Value>, Refusal> {
        self.ask(|reply| Call::Explain(what, reply)).await
    }

    /// Marks this host leaving.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn leave(&self) -> Result<(), Refusal> {
        self.ask(Call::Leave).await
    }

    /// Releases pins and lease.
    ///
    /// # Errors
    ///
    /// The control thread does not answer.
    pub async fn release(&self) -> Result<(), Refusal> {
        self.ask(Call::Release).await
    }

    async fn ask<T>(&self, call: impl FnOnce(Reply<T>) -> Call) -> Result<T, Refusal> {
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

/// Longest wait for answers that are not queued.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Grace after the deadline in which the control thread's own refusal is preferred.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

/// An open request. Ends with exactly one [`Done`], at the latest when it is dropped.
#[derive(Debug)]
pub struct Admission {
    handle: ControlHandle,
    id: RequestId,
    deadline: Instant,
    dispatch: Option<Dispatch>,
    // What a drop reports.
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

    /// Where the request is to be sent.
    pub fn dispatch(&self) -> &Dispatch {
        self.dispatch.as_ref().expect("an admission is handed out with a dispatch")
    }

    /// Request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// When the caller's deadline ends.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sets what is reported if the admission is dropped now.
    pub fn set_outcome(&mut self, used: u64, outcome: Outcome) {
        self.used = used;
        self.outcome = outcome;
    }

    /// Asks for another upstream.
    ///
    /// # Errors
    ///
    /// The control thread's refusal; the request has ended then.
    pub async fn retry(mut self, reason: NotRunReason) -> Result<Self, Refusal> {
        let key = self.dispatch().key;
        self.set_outcome(0, Outcome::NotRun(reason));
        let retry = Retry { id: self.id, key, reason };
        self.wait(|reply| Call::Retry(retry, reply)).await
    }

    async fn wait(
        mut self,
        call: impl FnOnce(Reply<Result<Dispatch, Refusal>>) -> Call,
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
            // Not subject to the mailbox's bound: a lost `Done` would keep a reservation for good.
            // Its number is bounded by the admissions.
            self.handle.control.do_send(Call::Done(done));
        }
    }
}
