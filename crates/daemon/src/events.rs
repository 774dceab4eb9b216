//! Numbered log events. `docs/EVENTS.md` is their catalogue.

#[cfg(test)]
mod tests;

use std::{io, sync::Mutex};

use slog::{
    BorrowedKV, Drain, FnValue, KV, Level, LevelFilter, Logger, Record, RecordLocation,
    RecordStatic, o,
};

use crate::settings::{Format, Log};

/// Log records that may wait for the writer. Further ones are dropped and counted, so that a slow
/// log reader cannot stop traffic.
const MAX_QUEUED_RECORDS: usize = 4096;

macro_rules! events {
    ($($number:literal $name:ident $level:ident $text:literal;)*) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event { $(#[doc = $text] $name,)* }

        impl Event {
            /// All events, by number.
            #[cfg(test)]
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Number, which never changes its meaning.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Name in log lines.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Level.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// What happened.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    100 Started Info "The process listens for callers and peers.";
    101 StopBegun Info "A signal began the graceful shutdown.";
    102 StopDrained Info "All requests have ended.";
    103 StopForced Warning "The exit was forced by a second signal or by the time limit.";
    104 Stopped Info "The process ends.";
    105 StartFailed Critical "The process cannot start.";
    106 Reloaded Info "The settings were read again.";
    107 ReloadFailed Error "Changed settings cannot be used; those in force stay.";
    108 ServingChanged Info "The host begins or stops to take requests.";
    109 Paused Warning "The process did not run for a while; what arrived meanwhile proves nothing new.";
    200 RequestDone Debug "A request ended.";
    201 RequestRefused Debug "A request was refused.";
    202 RequestFailed Warning "A request failed after it was sent to an upstream.";
    203 KeyRejected Info "A request came without a valid key.";
    204 RequestPlaced Info "A request was given a replica.";
    205 RequestEnded Info "A request was answered.";
    206 AttemptFailed Info "A replica did not serve a request.";
    207 LimitReached Info "A request is over its account's limit.";
    208 RequestTurnedAway Info "A request was refused before it was passed on.";
    300 UpstreamConnect Warning "An upstream could not be connected.";
    301 UpstreamSilent Warning "An upstream went silent; the connection is replaced.";
    302 StreamResumed Info "An interrupted stream was resumed.";
    303 StreamForeign Warning "A chunk of another request was rejected.";
    304 StreamBroken Warning "A stream could not be resumed.";
    305 UpstreamInvalid Warning "An upstream's answer cannot be read.";
    306 ReplicaJoined Info "The store lists a new replica, or a new start of one.";
    307 ReplicaMissing Info "A replica's entry is gone; it gets no new work.";
    308 ReplicaBack Info "A replica's entry is back.";
    309 ReplicaSilent Warning "A replica does not answer the host that owns it.";
    310 ReplicaAnswers Info "A replica answers again.";
    311 ReplicaEjected Warning "A replica fails requests and gets none for a while.";
    400 LeaseAdmitted Info "The host holds its ordinal.";
    401 LeaseLost Warning "The host's lease ended without a renewal.";
    402 LeaseReplaced Warning "Another process holds the ordinal; this one starts again.";
    403 LeaseReleased Info "The host released its lease.";
    500 ConfigApplied Info "A configuration version is in force.";
    501 ConfigRejected Error "A configuration version is invalid; the version in force stays.";
    502 ConfigConflict Error "One version has two digests; the version in force stays.";
    503 ConfigStale Warning "The newest version has not been confirmed for too long.";
    504 ConfigFetchFailed Warning "A part could not be fetched.";
    505 ConfigOld Info "The store gave a version that is not newer than the one in force.";
    506 VersionRaised Info "A new version of an adapter was announced.";
    507 ItemInvalid Warning "An item of the store cannot be read and is left out.";
    508 StoreLost Warning "Reads of the store began to fail.";
    509 StoreBack Info "Reads of the store work again.";
    510 ReadOvertaken Info "A read of the store was overtaken by the change of a later one and is dropped.";
    600 PeerAlive Info "A peer answers.";
    601 PeerLost Warning "A peer does not answer.";
    602 PeerLeaving Info "A peer is shutting down.";
    603 HostListFailed Warning "The host list cannot be read.";
    604 UpstreamLeaving Info "An upstream is leaving and gets no new work.";
    605 PeerRestarted Info "A peer has a new process.";
    606 PeerGone Info "A peer was forgotten.";
    607 DatagramInvalid Warning "A datagram cannot be read.";
    608 DatagramUnsent Warning "A datagram could not be sent.";
    700 AdapterLoaded Info "An adapter was loaded.";
    701 AdapterUnloaded Info "An adapter was unloaded.";
    702 LoadFailed Warning "A load failed.";
    703 CommandFenced Warning "An engine rejected a command with an old fencing number.";
    704 EngineRestarted Warning "An engine restarted and lost its adapters.";
    705 UnloadFailed Warning "An unload had no answer or an error; its instance name is not used for a while.";
    706 OrderAnswered Info "An order to an engine was answered or lost.";
    707 LoadAwaited Info "A request waited for a load that has ended.";
    708 LoadLate Info "A request waited for a load in vain.";
    800 TlsLoaded Info "Certificates were loaded.";
    801 TlsRejected Error "Changed certificates cannot be used; the old ones stay in use.";
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

/// A logger that writes JSON to standard output. Dropping the guard writes what is waiting.
pub fn stdout_logger(host: &str) -> (Logger, slog_async::AsyncGuard) {
    spawn(json(io::stdout()), Level::Info, host)
}

/// A logger that writes to standard error. Dropping the guard writes what is waiting.
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
    // Filtered before the queue: records below the level must not take the place of others.
    let drain = LevelFilter::new(drain, level);
    (Logger::root(drain.fuse(), o!("host" => host.to_owned())), guard)
}
