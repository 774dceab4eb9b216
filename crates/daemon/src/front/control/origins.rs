//! Origins of streams: what this host tells its peers of the streams that it passes on, and what it
//! asks them when a caller takes up a stream.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use actix::{Handler, Message};
use arcstr::ArcStr;
use slog::kv;
use tokio::sync::oneshot;
use yuccawing_core::{
    fleet::{
        config::{FleetConfig, ReplicaEntry, RouteKind},
        digest::Message as PeerMessage,
        origin::{ASKED, BegunStream, CallerBudgets, KEEPERS, Origin, Origins, UNLISTED_SERVICE},
        served::{Process, ServedProcesses},
    },
    time::Tick,
};

use super::{Control, STORE_OUTAGE, search::Search};
use crate::{
    events::{Event, emit},
    front::clock,
};

/// Streams in one message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 256;

/// Time for which a host waits for the responses of its peers.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which peers that have not responded are asked again.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of take-ups that wait for peers. Further ones count as unknown.
pub(super) const MAX_QUERIES: usize = 1024;

/// Margin on the longest lifetime of a stream, for the time on the way.
const STREAM_MARGIN: Duration = Duration::from_secs(1);

/// Time for which a take-up waits for a read of the listing: the age at which all hosts read it by
/// themselves, and a slow response of the store.
pub(super) const LISTING_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reports the first event of a stream that may be taken up.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StreamBegan {
    /// The stream.
    pub stream: BegunStream,
    /// Name of its route.
    pub route: ArcStr,
    /// Time for which its caller waits.
    pub budget: Duration,
}

/// Asks where a stream began.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FindOrigin {
    /// Id of the request that takes it up, for logs.
    pub id: ArcStr,
    /// Key of the stream; `None` if the caller does not name the attempt that began it.
    pub key: Option<u64>,
    /// Service of the request, if its route has only one.
    pub service: Option<ArcStr>,
    /// Prompt block that belongs to the request or to its session, with its base model.
    pub block: Option<(u64, ArcStr)>,
    /// Name of the route.
    pub route: ArcStr,
    /// Timeout of the route.
    pub timeout: Duration,
    /// Time for which the caller waited on when the request arrived.
    pub left: Duration,
    /// Receives the origin; `None` if it is unknown.
    pub reply: oneshot::Sender<Option<Origin>>,
}

struct Query {
    find: FindOrigin,
    since: Tick,
    asked_at: Tick,
    waiting: BTreeSet<Ipv4Addr>,
}

/// State of this slice.
#[derive(Default)]
pub(super) struct StreamOrigins {
    known: Origins,
    pub(super) served: ServedProcesses,
    pub(super) budgets: CallerBudgets,
    // Streams that the keepers have not been told of.
    unsent: BTreeMap<Ipv4Addr, Vec<BegunStream>>,
    queries: Vec<Query>,
    // Streams that no host knows, of a service with one version, with the time of the take-up.
    unlisted: Vec<(FindOrigin, Tick)>,
    // Streams that no host knows, which the engines are asked about.
    pub(super) search: Search,
}

impl Handler<StreamBegan> for Control {
    type Result = ();

    fn handle(&mut self, msg: StreamBegan, _: &mut Self::Context) {
        let now = clock::now();
        let own = self.settings.ip;
        let keepers = self.peers.keepers(now, msg.stream.key, KEEPERS + 1);
        for ip in keepers.into_iter().filter(|ip| *ip != own).take(KEEPERS) {
            self.origins.unsent.entry(ip).or_default().push(msg.stream.clone());
        }
        self.origins.known.record(now, msg.stream);
        self.origins.budgets.note(&msg.route, msg.budget);
    }
}

impl Handler<FindOrigin> for Control {
    type Result = ();

    fn handle(&mut self, msg: FindOrigin, _: &mut Self::Context) {
        let now = clock::now();
        if let Some(origin) = msg.key.and_then(|key| self.origins.known.get(key)).cloned() {
            self.answer_origin(now, msg, Some(origin), "known");
            return;
        }
        let own = self.settings.ip;
        let keepers = msg.key.map(|key| self.peers.keepers(now, key, ASKED + 1));
        let waiting: BTreeSet<_> =
            keepers.into_iter().flatten().filter(|ip| *ip != own).take(ASKED).collect();
        if waiting.is_empty() || self.origins.queries.len() >= MAX_QUERIES {
            self.resolve_unknown(now, now, msg, "nobody_to_ask");
            return;
        }
        let query = Query { find: msg, since: now, asked_at: now, waiting };
        self.ask(now, &query);
        self.origins.queries.push(query);
    }
}

impl Control {
    fn ask(&self, now: Tick, q: &Query) {
        if let Some(key) = q.find.key {
            let targets: Vec<_> = q.waiting.iter().copied().collect();
            self.multicast(now, &targets, &PeerMessage::OriginQuery(key));
        }
    }

    // Longest time from the begin of a stream until its caller takes it up.
    pub(super) fn longest_stream(&self) -> Duration {
        self.origins.known.longest_lifetime() + STREAM_MARGIN
    }

    // The origin of any stream of the service, if only one version has served for as long as any
    // stream may last. A host that is cut off from most others may miss what began there.
    fn only_origin(&self, now: Tick, find: &FindOrigin) -> Option<Origin> {
        if self.peers.is_minority(now) || !self.stalls.is_current(now) {
            return None;
        }
        let service = find.service.as_ref()?;
        let span = self.longest_stream() + UNLISTED_SERVICE;
        let software = self.origins.served.only_software(now, service, span)?.clone();
        Some(Origin { service: service.clone(), software })
    }

    // Resolves the origin of a stream, taken up at `since`, that none of the asked hosts knows.
    fn resolve_unknown(&mut self, now: Tick, since: Tick, find: FindOrigin, source: &str) {
        let room = self.origins.unlisted.len() < MAX_QUERIES;
        if room && self.only_origin(now, &find).is_some() {
            self.origins.unlisted.push((find, since));
        } else {
            self.search_origin(now, since, find, source);
        }
    }

    // Answers the take-ups of a service with one version once the listing has been read after them.
    fn check_unlisted(&mut self, now: Tick) {
        for (find, since) in std::mem::take(&mut self.origins.unlisted) {
            if self.store.listing.read_at().is_some_and(|t| t > since) {
                match self.only_origin(now, &find) {
                    Some(origin) => self.answer_origin(now, find, Some(origin), "only_version"),
                    None => self.search_origin(now, since, find, "several_versions"),
                }
            } else if now.since(since) >= LISTING_TIMEOUT {
                self.search_origin(now, since, find, "listing_unread");
            } else {
                self.origins.unlisted.push((find, since));
            }
        }
    }

    pub(super) fn answer_origin(
        &mut self,
        now: Tick,
        find: FindOrigin,
        origin: Option<Origin>,
        source: &str,
    ) {
        let age = self.store.listing.read_at().map(|t| now.since(t).as_millis() as u64);
        self.metrics.take_up(source, origin.is_some());
        let fields = kv!(
            "id" => find.id.as_str(), "source" => source,
            "service" => origin.as_ref().map(|o| o.service.to_string()),
            "software" => origin.as_ref().map(|o| o.software.to_string()), "listing_age_ms" => age,
            "known_ms" => self.origins.served.covered(now).as_millis() as u64,
            "left_ms" => find.left.as_millis() as u64, "route" => find.route.as_str(),
        );
        emit(&self.log, Event::StreamTakenUp, &fields);
        // Sending fails only if the caller has left.
        let _ = find.reply.send(origin);
    }

    /// Tells the keepers of the streams that have begun, and ends queries without a response.
    pub(super) fn send_origins(&mut self, now: Tick) {
        for (ip, streams) in std::mem::take(&mut self.origins.unsent) {
            for part in streams.chunks(MAX_ENTRIES) {
                self.send(ip, &PeerMessage::Begun(part.to_vec()));
            }
        }
        for mut q in std::mem::take(&mut self.origins.queries) {
            if q.waiting.is_empty() {
                self.resolve_unknown(now, q.since, q.find, "nobody_knows");
                continue;
            }
            // A host that does not respond may know the stream.
            if now.since(q.since) >= QUERY_TIMEOUT {
                self.search_origin(now, q.since, q.find, "no_response");
                continue;
            }
            if now.since(q.asked_at) >= QUERY_INTERVAL {
                q.asked_at = now;
                self.ask(now, &q);
            }
            self.origins.queries.push(q);
        }
        self.check_unlisted(now);
    }

    pub(super) fn expire_origins(&mut self, now: Tick) {
        self.origins.known.expire(now);
    }

    /// Tells a host that has joined or started again of the streams that it is to keep.
    pub(super) fn introduce_origins(&mut self, now: Tick, ip: Ipv4Addr) {
        let streams = self.origins.known.iter(now);
        let kept: Vec<_> =
            streams.filter(|s| self.peers.keepers(now, s.key, KEEPERS).contains(&ip)).collect();
        self.origins.unsent.entry(ip).or_default().extend(kept);
    }

    pub(super) fn handle_begun(&mut self, now: Tick, streams: Vec<BegunStream>) {
        for s in streams {
            self.origins.known.record(now, s);
        }
    }

    pub(super) fn handle_origin_query(&self, from: SocketAddr, key: u64) {
        let reply = PeerMessage::OriginReply(key, self.origins.known.get(key).cloned());
        super::datagrams::send(&self.socket, from, &reply, &self.log);
    }

    pub(super) fn handle_origin_reply(
        &mut self,
        now: Tick,
        from: SocketAddr,
        key: u64,
        origin: Option<&Origin>,
    ) {
        for mut q in std::mem::take(&mut self.origins.queries) {
            if q.find.key == Some(key) {
                if let Some(origin) = origin {
                    self.answer_origin(now, q.find, Some(origin.clone()), "peer");
                    continue;
                }
                q.waiting.retain(|ip| *ip != from.ip());
                if q.waiting.is_empty() {
                    self.resolve_unknown(now, q.since, q.find, "nobody_knows");
                    continue;
                }
            }
            self.origins.queries.push(q);
        }
    }

    /// Records how long streams may last by the timeouts of their routes.
    pub(super) fn note_lifetimes(&mut self, config: &FleetConfig) {
        let streams = config.routes.iter().filter(|r| matches!(r.kind, RouteKind::Stream { .. }));
        if let Some(longest) = streams.map(|r| r.timeout).max() {
            self.origins.known.note_lifetime(longest);
        }
        self.origins.budgets.retain(|name| config.routes.iter().any(|r| r.name == name));
    }

    pub(super) fn note_processes(&mut self, now: Tick, read: Tick, entries: &[ReplicaEntry]) {
        let listed = entries.iter().map(Process::from).collect();
        let revision = self.store_position().revision;
        self.origins.served.observe(now, read, revision, listed, STORE_OUTAGE);
    }

    pub(super) fn confirm_processes(&mut self, now: Tick, read: Tick) {
        self.origins.served.confirm(now, read, STORE_OUTAGE);
    }
}
