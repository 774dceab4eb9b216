//! Structured logging: the numbered events that the process writes, and the loggers that write them
//! as JSON or text. `docs/EVENTS.md` lists all events.

#[cfg(test)]
mod tests;

use std::{io, sync::Mutex};

use slog::{
    BorrowedKV, Drain, FnValue, KV, Level, LevelFilter, Logger, Record, RecordLocation,
    RecordStatic, o,
};

use crate::settings::{Format, Log};

/// Capacity of the queue of the log writer. Further records are dropped and counted, so that a slow
/// log reader cannot block requests.
const MAX_QUEUED_RECORDS: usize = 4096;

macro_rules! events {
    ($($number:literal $name:ident $level:ident $text:literal;)*) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event { $(#[doc = $text] $name,)* }

        impl Event {
            /// All events, in the order of their numbers.
            #[cfg(test)]
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Number in log lines. A number keeps its meaning in all versions.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Name in log lines, the same as the variant's.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// Message in log lines.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    100 Started Info "The process accepts connections from callers and peers.";
    101 StopBegun Info "A signal started the graceful shutdown.";
    102 StopDrained Info "All requests have ended.";
    103 StopForced Warning "A second signal or the time limit forced the exit.";
    104 Stopped Info "The process exits.";
    105 StartFailed Critical "The process cannot start.";
    106 Reloaded Info "The settings were reloaded.";
    107 ReloadFailed Error "The changed settings cannot be used; the previous ones stay in force.";
    108 ServingChanged Info "The host started or stopped accepting requests.";
    109 Paused Warning "The process was suspended; messages that waited meanwhile do not count as recent.";
    200 RequestDone Debug "A request ended.";
    201 RequestRefused Debug "A request was refused.";
    202 RequestFailed Warning "A request failed after it was sent to an upstream.";
    203 KeyRejected Info "A request had no valid key.";
    204 RequestPlaced Info "A request was assigned to a replica.";
    205 RequestEnded Info "A request was answered.";
    206 AttemptFailed Info "An attempt to serve a request at a replica failed.";
    207 LimitReached Info "A request exceeded its account's limit.";
    208 RequestTurnedAway Info "A request was refused before it was forwarded.";
    209 RequestHeld Info "A request was refused because replicas ended under it or under one of its prompt blocks.";
    210 RequestPanicked Error "The task of a request panicked; the caller got a response that promises nothing.";
    300 UpstreamConnect Warning "The connection to an upstream failed.";
    301 UpstreamSilent Warning "An upstream stopped responding; its connection is replaced.";
    302 StreamResumed Info "An interrupted stream was resumed.";
    303 StreamForeign Warning "A chunk that belongs to another request was rejected.";
    304 StreamBroken Warning "A stream could not be resumed.";
    305 UpstreamInvalid Warning "The response of an upstream could not be parsed.";
    306 ReplicaJoined Info "The store lists a new or restarted replica.";
    307 ReplicaMissing Info "The entry of a replica was removed; the replica gets no new requests.";
    308 ReplicaBack Info "The entry of a replica is listed again.";
    309 ReplicaSilent Warning "A replica does not respond to its owner host.";
    310 ReplicaAnswers Info "A replica responds again.";
    311 ReplicaEjected Warning "A replica was ejected for a while because its requests failed.";
    312 ReplicaEnded Warning "A replica ended while it ran a request.";
    313 BlockHeld Warning "A prompt block, or a request by its fingerprint, is refused because replicas ended under it.";
    314 BlockReleased Warning "A prompt block, or a request by its fingerprint, is served again.";
    315 LimitNamed Info "A replica names a limit on the requests of all hosts.";
    316 LimitLifted Info "A replica names no limit any more.";
    317 LimitInvalid Warning "A response names a limit that is no number of at least 0; the limit in force stays.";
    318 PauseAsked Info "A replica wants no requests from this host for a while.";
    319 PauseInvalid Warning "A refusal asks for a pause that is no number of at least 0; nothing changes.";
    320 StreamTakenUp Info "A caller takes up a stream; without a known origin it is refused.";
    321 BlocksUnread Warning "An engine did not say which prompt blocks it keeps.";
    322 HistoryRead Info "The store's history was read to find the replicas that have ended.";
    323 HistoryUnread Warning "The store's history could not be read; streams that no host knows are refused.";
    400 LeaseAdmitted Info "The host holds the lease of its ordinal.";
    401 LeaseLost Warning "The host's lease expired without a renewal.";
    402 LeaseReplaced Warning "Another process holds the ordinal; this one applies again with a new identity.";
    403 LeaseReleased Info "The host released its lease.";
    500 ConfigApplied Info "A configuration version was put into force.";
    501 ConfigRejected Error "A configuration version is invalid; the version in force stays.";
    502 ConfigConflict Error "One version has two digests; the version in force stays.";
    503 ConfigStale Warning "The configuration has not been confirmed as the newest for too long.";
    504 ConfigFetchFailed Warning "The configuration or a part of it could not be fetched.";
    505 ConfigOld Info "The store returned a version that is not newer than the one in force.";
    506 VersionRaised Info "A new version of an adapter was announced.";
    507 ItemInvalid Warning "A store entry could not be parsed and is ignored.";
    508 StoreLost Warning "Store reads started to fail.";
    509 StoreBack Info "Store reads succeed again.";
    510 ReadOvertaken Info "The result of a store read was discarded because a later change was already applied.";
    511 StoreRestored Warning "The store came back from an older copy of itself.";
    512 ItemOutdated Info "The store returned an item with an earlier revision than the one that was applied.";
    513 ConfigPartClosed Error "A part of a configuration could not be understood; its requests are refused.";
    514 ListingChangeIgnored Info "A peer's change of the replicas was not applied because it may be older than the list here.";
    600 PeerAlive Info "A peer responds.";
    601 PeerLost Warning "A peer does not respond.";
    602 PeerLeaving Info "A peer is shutting down.";
    603 HostListFailed Warning "The host list could not be read or is invalid.";
    604 UpstreamLeaving Info "An upstream is shutting down and gets no new requests.";
    605 PeerRestarted Info "A peer was restarted.";
    606 PeerGone Info "A peer that stayed silent was removed.";
    607 DatagramInvalid Warning "A datagram could not be decoded.";
    608 DatagramUnsent Warning "A datagram could not be sent.";
    700 AdapterLoaded Info "An adapter was loaded.";
    701 AdapterUnloaded Info "An adapter was unloaded.";
    702 LoadFailed Warning "A load failed.";
    703 CommandFenced Warning "An engine rejected a command with an outdated fencing token.";
    704 EngineRestarted Warning "An engine restarted and lost its adapters.";
    705 UnloadFailed Warning "An unload failed or got no response; its instance name is not reused for a while.";
    706 OrderAnswered Info "An order to an engine was answered or got no response.";
    707 LoadAwaited Info "The load that a request waited for has ended.";
    708 LoadLate Info "A request gave up waiting for a load.";
    709 LoadRefused Info "The owner of an engine refused the load request of a peer.";
    710 OwnershipLost Warning "Another host has sent orders to an engine of this host, which waits before it goes on.";
    711 StandbyChanged Info "The host reaches a majority of the fleet, or not; without one it leaves orders to the others.";
    800 TlsLoaded Info "Certificates were loaded.";
    801 TlsRejected Error "The changed certificates cannot be used; the previous ones stay in use.";
}

/// Writes `event` with `fields`, for example `emit(&log, Event::Started, &kv!("addr" => addr))`.
pub fn emit(log: &Logger, event: Event, fields: &dyn KV) {
    static LOCATION: RecordLocation =
        RecordLocation { file: "", line: 0, column: 0, function: "", module: "" };
    let meta = RecordStatic { location: &LOCATION, tag: event.name(), level: event.level() };
    let args = format_args!("{}", event.text());
    log.log(&Record::new(&meta, &args, BorrowedKV(&EventFields { event, fields })));
}

struct EventFields<'a> {
    event: Event,
    fields: &'a dyn KV,
}

impl KV for EventFields<'_> {
    fn serialize(&self, record: &Record<'_>, out: &mut dyn slog::Serializer) -> slog::Result {
        out.emit_u16("event", self.event.number())?;
        out.emit_str("name", self.event.name())?;
        self.fields.serialize(record, out)
    }
}

/// Creates a logger that writes JSON to standard output. Dropping the guard flushes the queue.
pub fn stdout_logger(host: &str) -> (Logger, slog_async::AsyncGuard) {
    spawn(json(io::stdout()), Level::Info, host)
}

/// Creates a logger that writes to standard error. Dropping the guard flushes the queue.
pub fn stderr_logger(settings: Log, host: &str) -> (Logger, slog_async::AsyncGuard) {
    match settings.format {
        Format::Json => spawn(json(io::stderr()), settings.level, host),
        Format::Text => {
            let plain = slog_term::PlainDecorator::new(io::stderr());
            spawn(Mutex::new(slog_term::FullFormat::new(plain).build()), settings.level, host)
        }
    }
}

fn json<W: io::Write + Send + 'static>(out: W) -> Mutex<slog_json::Json<W>> {
    let fields = o!(
        "level" => FnValue(|r: &Record<'_>| r.level().as_str()),
        "msg" => FnValue(|r: &Record<'_>| r.msg().to_string()),
    );
    let drain = slog_json::Json::new(out).set_flush(true).add_key_value(fields);
    Mutex::new(drain.add_key_value(o!("unix_ms" => FnValue(|_: &Record<'_>| unix_ms()))).build())
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn spawn<D>(drain: D, level: Level, host: &str) -> (Logger, slog_async::AsyncGuard)
where
    D: Drain<Ok = ()> + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let (drain, guard) =
        slog_async::Async::new(drain.ignore_res()).chan_size(MAX_QUEUED_RECORDS).build_with_guard();
    // Filters before the queue, so that records below the level take no space in it.
    let drain = LevelFilter::new(drain, level);
    (Logger::root(drain.fuse(), o!("host" => host.to_owned())), guard)
}
