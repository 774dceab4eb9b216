//! Search of the engines for streams that no host knows any more.
//!
//! Engines tell which prompt blocks they keep, but not where a stream began: see
//! [`yuccawing_core::fleet::origin`]. The processes that may have begun it are taken from the
//! listings of this host and, before these, from the store's history.

use std::{collections::BTreeMap, io::ErrorKind, net::SocketAddr, time::Duration};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use slog::kv;
use yuccawing_core::{
    fleet::{
        history::{Position, REWRITE_TIME},
        origin::{BlockState, Origin, Unproved, infer_software},
        served::{EntryChange, Past, Process},
    },
    time::Tick,
};
use yuccawing_platform::{
    replica as wire,
    store::{self as store_wire, Change, Content},
};

use super::{
    Control, STORE_OUTAGE,
    origins::{FindOrigin, LISTING_TIMEOUT, MAX_QUERIES},
};
use crate::{
    events::{Event, emit},
    front::{
        client::{CallError, Client},
        clock, store,
    },
};

/// Largest number of engines that are asked which blocks they keep.
const MAX_SEARCHED: usize = 128;

/// Timeout of that question, which does not wait for a slot of the engine.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response to it, in bytes: some ten thousand blocks.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// Largest number of reads of the history until one asks for no more than the store holds. Each
/// asks for a part of the one before, [`HISTORY_STEP`].
const MAX_HISTORY_READS: i32 = 14;

/// See [`MAX_HISTORY_READS`].
const HISTORY_STEP: f64 = 0.87;

/// Changes beyond those that renewals cause: entries that come and go.
const OTHER_CHANGES: u64 = 32;

/// Shortest time between two reads of the history.
const HISTORY_INTERVAL: Duration = Duration::from_secs(1);

/// Margin on the age of a stream and on the drain time, for the time on the way.
const TRANSIT_MARGIN: Duration = Duration::from_millis(300);

/// State of this slice.
#[derive(Default)]
pub(super) struct Search {
    // Streams to search for, with the time of the take-up.
    waiting: Vec<(FindOrigin, Tick)>,
    running: bool,
    history_read: Option<Tick>,
}

// A process that was asked which blocks it keeps, and its response.
type KeptBlocks = (Process, Result<Vec<(u64, ArcStr)>, SearchError>);

/// Why it is unknown which blocks an engine keeps. The texts are log values.
#[derive(Debug, thiserror::Error)]
enum SearchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Decode(#[from] serde_json::Error),
    #[error("another process answers")]
    OtherProcess,
}

impl SearchError {
    // Whether the process has ended, which is no fault of the call.
    fn has_ended(&self) -> bool {
        match self {
            Self::Call(CallError::Connect(e)) => e.kind() == ErrorKind::ConnectionRefused,
            Self::OtherProcess => true,
            _ => false,
        }
    }
}

impl Control {
    /// Searches the engines for the prompt of a stream that no host knows, taken up at `since`, unless
    /// the hosts would know it: the prompt may have been read for another request.
    pub(super) fn search_origin(&mut self, now: Tick, since: Tick, find: FindOrigin, source: &str) {
        let lost = !self.peers.all_alive_for(now, self.longest_stream());
        let searchable = lost && find.service.is_some() && find.block.is_some();
        if !searchable || self.origins.search.waiting.len() >= MAX_QUERIES {
            self.answer_origin(now, find, None, source);
        } else if self.store.listing.read_at().is_none_or(|t| now.since(t) > STORE_OUTAGE) {
            self.answer_origin(now, find, None, "listing_unread");
        } else {
            self.store.listing.want_read();
            self.origins.search.waiting.push((find, since));
        }
    }

    // Longest time before `now` in which a host may have begun the stream: hosts send requests to a
    // process that has left for as long as they may use an older listing.
    fn search_window(&self, now: Tick, find: &FindOrigin, since: Tick) -> Duration {
        let age = self.origins.budgets.longest_age(&find.route, find.timeout, find.left);
        age + now.since(since) + self.drain_time()
    }

    // Time for which a stream may still begin at a process that is not listed any more.
    fn drain_time(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.drain_ms) + TRANSIT_MARGIN
    }

    /// Starts the search for the streams whose take-up is older than the listing.
    pub(super) fn start_search(&mut self, now: Tick, ctx: &mut Context<Self>) {
        if self.origins.search.running || self.origins.search.waiting.is_empty() {
            return;
        }
        let read_at = self.store.listing.read_at();
        let mut due = Vec::new();
        for (find, since) in std::mem::take(&mut self.origins.search.waiting) {
            if read_at.is_some_and(|t| t > since) {
                due.push((find, since));
            } else if now.since(since) >= LISTING_TIMEOUT {
                self.answer_origin(now, find, None, "listing_unread");
            } else {
                self.origins.search.waiting.push((find, since));
            }
        }
        let Some(window) = due.iter().map(|(f, s)| self.search_window(now, f, *s)).max() else {
            return;
        };
        self.origins.search.running = true;
        if !self.history_due(now, window) {
            self.ask_engines(now, due, ctx);
            return;
        }
        self.origins.search.history_read = Some(now);
        let read = self.read_history();
        ctx.spawn(read.into_actor(self).map(move |changes, act, ctx| {
            let now = clock::now();
            act.apply_history(now, changes);
            act.ask_engines(now, due, ctx);
        }));
    }

    // Whether the store's history may tell of processes that this host has not listed.
    fn history_due(&self, now: Tick, window: Duration) -> bool {
        let read = self.origins.search.history_read;
        !self.origins.served.is_complete(now, window)
            && self.settings.renewal_interval().is_some()
            // What the store has lost is missing in its history.
            && !self.store.history.restored_within(now, window + REWRITE_TIME)
            && read.is_none_or(|t| now.since(t) >= HISTORY_INTERVAL)
    }

    // Reads the changes of entries within the life of the longest stream.
    fn read_history(&self) -> impl Future<Output = Result<Vec<Change>, store::Error>> + use<> {
        let (client, address) = (self.client.clone(), self.settings.store);
        let span = self.longest_stream() + self.drain_time() + LISTING_TIMEOUT;
        let interval = self.settings.renewal_interval().unwrap_or(span);
        let renewals =
            span.as_secs_f64() / interval.as_secs_f64() * self.origins.served.listed() as f64;
        let at = self.store_position();
        async move {
            let mut out = Err(store::Error::Status(410));
            for n in 0..MAX_HISTORY_READS {
                let wanted = (renewals * HISTORY_STEP.powi(n)).ceil() as u64 + OTHER_CHANGES;
                let after = Position { revision: at.revision.saturating_sub(wanted), ..at };
                let prefix = store_wire::REPLICAS_PREFIX;
                out = store::read_changes(&client, address, prefix, after).await;
                if !matches!(out, Err(store::Error::Status(410))) {
                    break;
                }
            }
            out
        }
    }

    fn apply_history(&mut self, now: Tick, changes: Result<Vec<Change>, store::Error>) {
        let changes = match changes {
            Ok(changes) => changes,
            Err(e) => {
                emit(&self.log, Event::HistoryUnread, &kv!("error" => e.to_string()));
                return;
            }
        };
        // An item that cannot be decoded names no replica; the listing logs it.
        let entry = |c: &Change| match c.item.as_ref()?.content() {
            Ok(Content::Replica(e)) => Some(e),
            _ => None,
        };
        let changes: Vec<_> = changes
            .iter()
            .map(|c| {
                let e = entry(c);
                let leaving = e.as_ref().is_some_and(|e| e.leaving);
                let process = e.as_ref().map(Process::from);
                EntryChange { revision: c.revision, key: c.key.clone(), process, leaving }
            })
            .collect();
        let interval = self.settings.renewal_interval().unwrap_or_default();
        let past = Past::read(&changes, interval, self.origins.served.anchor(now));
        let fields = kv!(
            "changes" => changes.len(), "listed" => self.origins.served.listed(),
            "covered_ms" => past.covered.as_millis() as u64,
            "ended" => past.ended.len(),
        );
        emit(&self.log, Event::HistoryRead, &fields);
        self.origins.served.extend(now, past);
    }

    // Asks all processes that may have begun one of the streams.
    fn ask_engines(&mut self, now: Tick, due: Vec<(FindOrigin, Tick)>, ctx: &mut Context<Self>) {
        let mut windows: BTreeMap<ArcStr, Duration> = BTreeMap::new();
        for (find, since) in &due {
            let window = self.search_window(now, find, *since);
            if let Some(service) = &find.service {
                let longest = windows.entry(service.clone()).or_default();
                *longest = window.max(*longest);
            }
        }
        let served = &self.origins.served;
        let asked: Vec<_> = windows
            .iter()
            .flat_map(|(service, window)| served.within(now, service, *window).cloned())
            .collect();
        if asked.len() > MAX_SEARCHED {
            self.origins.search.running = false;
            for (find, _) in due {
                self.answer_origin(now, find, None, "too_many_engines");
            }
            return;
        }
        let reads = asked.into_iter().map(|p| {
            let client = self.client.clone();
            async move {
                let kept = read_kept_blocks(&client, &p).await;
                (p, kept)
            }
        });
        ctx.spawn(join_all(reads).into_actor(self).map(move |kept, act, _| {
            act.origins.search.running = false;
            act.finish_search(due, &kept);
        }));
    }

    fn finish_search(&mut self, due: Vec<(FindOrigin, Tick)>, kept: &[KeptBlocks]) {
        let now = clock::now();
        for (process, blocks) in kept {
            if let Err(error) = blocks.as_ref().map_err(ToString::to_string) {
                let fields = kv!(
                    "replica" => process.id.as_str(), "software" => process.software.as_str(),
                    "error" => error,
                );
                emit(&self.log, Event::BlocksUnread, &fields);
            }
        }
        for (find, since) in due {
            let (origin, source) = match self.infer_origin(now, &find, since, kept) {
                Ok(origin) => (Some(origin), "engine"),
                Err(source) => (None, source),
            };
            self.answer_origin(now, find, origin, source);
        }
    }

    fn infer_origin(
        &self,
        now: Tick,
        find: &FindOrigin,
        since: Tick,
        kept: &[KeptBlocks],
    ) -> Result<Origin, &'static str> {
        let service = find.service.as_ref().ok_or("several_services")?;
        let window = self.search_window(now, find, since);
        if !self.origins.served.is_complete(now, window) {
            return Err("history_unknown");
        }
        let state = |blocks: &Result<Vec<(u64, ArcStr)>, SearchError>| match blocks {
            Ok(blocks) if blocks.iter().any(|b| Some(b) == find.block.as_ref()) => BlockState::Kept,
            Ok(_) => BlockState::Absent,
            Err(_) => BlockState::Unknown,
        };
        let asked: BTreeMap<_, _> =
            kept.iter().map(|(p, blocks)| ((&p.id, p.started_ms), blocks)).collect();
        // A process that was not asked is one that has been listed since.
        let engines = self.origins.served.within(now, service, window).map(|p| {
            let blocks = asked.get(&(&p.id, p.started_ms));
            (&p.software, blocks.map_or(BlockState::Unknown, |b| state(b)))
        });
        match infer_software(engines.collect::<Vec<_>>().into_iter()) {
            Ok(software) => Ok(Origin { service: service.clone(), software: software.clone() }),
            Err(Unproved::NoEngine) => Err("no_engine"),
            Err(Unproved::SeveralVersions) => Err("several_versions"),
            Err(Unproved::EngineUnread) => {
                let failed = kept.iter().filter_map(|(_, b)| b.as_ref().err());
                let all_ended = failed.into_iter().all(SearchError::has_ended);
                Err(if all_ended { "engine_ended" } else { "engine_unread" })
            }
        }
    }
}

async fn read_kept_blocks(
    client: &Client,
    process: &Process,
) -> Result<Vec<(u64, ArcStr)>, SearchError> {
    let address: SocketAddr = process.address;
    let request = Request::get(wire::KEPT_BLOCKS_PATH)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(CallError::Invalid)?;
    let response = client.call(address, request, SEARCH_TIMEOUT, MAX_KEPT_BYTES).await?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(SearchError::Status(status));
    }
    let kept = wire::decode_kept_blocks(response.body())?;
    if kept.started_ms.is_some_and(|ms| ms != process.started_ms) {
        return Err(SearchError::OtherProcess);
    }
    Ok(kept.blocks)
}
