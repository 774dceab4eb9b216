//! Control actor of a host in platform mode: it owns all state that decisions depend on (peers,
//! quotas, replicas, engine ownership) and runs on one thread.

mod adapters;
mod admit;
mod limits;
mod loads;
mod losses;
mod orders;
mod origins;
mod search;
pub mod signals;
mod sync;

use std::{
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message};
use arc_swap::ArcSwap;
use arcstr::ArcStr;
use slog::{Logger, kv};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    fleet::{
        catalog::Catalog,
        digest::{Digest, EngineState, HostState, Message as PeerMessage, ReplicaFence},
        dispatch::Dispatcher,
        engine_updates::EngineUpdates,
        freshness::StallDetector,
        order::OrderLease,
        peers::{CONTEST_AFTER, FORGET_AFTER, ORDER_WINDOW, Peers},
        quarantine::Quarantine,
        quota::Quota,
        receipt::SentDigests,
        replicas::ReplicaKey,
        survivor::Survivor,
    },
    retry::Budget,
    time::Tick,
};

pub use self::{
    admit::{Admission, Admit, PlacedRequest, ReplicaFailed},
    limits::LimitSeen,
    losses::{ReplicaEnded, Served},
    origins::{FindOrigin, StreamBegan},
    signals::SignalsSeen,
};
use self::{
    loads::Waiters,
    losses::Starting,
    orders::OwnedEngine,
    origins::StreamOrigins,
    sync::{Route, StoreState},
};
use super::{
    client::Client,
    clock,
    datagrams::{self, Received},
    edge::OpenCalls,
    metrics::Metrics,
    settings::Settings,
};
use crate::events::{Event, emit};

/// Digest interval per known peer. In a fleet of five, peers learn of a request within 100 ms. The
/// interval grows with the fleet, so that the number of datagrams grows linearly, not
/// quadratically.
const DIGEST_PER_HOST: Duration = Duration::from_millis(8);

/// Smallest and largest digest interval. At the largest one, four digests fit into the time after
/// which a peer is suspected.
const DIGEST_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(300));

/// Interval at which waiting requests are checked and due engine reports are read.
const TICK: Duration = Duration::from_millis(50);

/// Interval at which quota shares and metrics are recomputed and idle connections are dropped.
const HOUSEKEEPING: Duration = Duration::from_millis(500);

/// Length of a store outage after which entries of running replicas may have expired. An entry
/// expires three refresh intervals after its last refresh, which was before the outage.
const STORE_OUTAGE: Duration = Duration::from_millis(2000);

/// Time before the end of `revoke_ms` at which a host without a newer configuration stops accepting
/// keys. It covers the transit time of a request and clock error.
const REVOKE_MARGIN: Duration = Duration::from_millis(400);

/// Pause of the process during which other hosts may have begun to take its engines over: half of the
/// silence after which they claim them.
const LONG_PAUSE: Duration = Duration::from_secs(1);

/// State that the control actor publishes and the HTTP worker thread reads for each request.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` before the first one was read.
    pub catalog: Option<Arc<Catalog>>,
    /// When the newest read of the configuration was sent.
    pub config_read: Tick,
    /// Whether the host has read the configuration and the replicas, and the configuration is
    /// recent enough to serve requests.
    pub serving: bool,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// When a host that is shutting down stops accepting requests.
    pub admit_until: Option<Tick>,
    /// Addresses that lookups return to callers.
    pub fronts: Vec<String>,
}

/// Dependencies of a new [`Control`].
pub struct Setup {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Snapshots for the HTTP worker thread.
    pub published: Arc<ArcSwap<Snapshot>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Logger of the process.
    pub log: Logger,
    /// Cancelled when the process stops; ends all tasks.
    pub stop: CancellationToken,
    /// UDP socket for messages between hosts.
    pub socket: Arc<UdpSocket>,
}

/// Actor that owns all state of a host that decisions depend on.
pub struct Control {
    settings: Arc<Settings>,
    published: Arc<ArcSwap<Snapshot>>,
    metrics: Metrics,
    log: Logger,
    stop: CancellationToken,
    socket: Arc<UdpSocket>,
    client: Rc<Client>,
    peers: Peers,
    quota: Quota,
    dispatcher: Dispatcher,
    budgets: HashMap<ArcStr, Budget>,
    engines: BTreeMap<ReplicaKey, OwnedEngine>,
    waiters: Waiters,
    quarantine: Quarantine,
    starting: Starting,
    origins: StreamOrigins,
    limits_repeated: Tick,
    // When an unreadable signal of a replica was last logged.
    signal_logged: Option<Tick>,
    catalog: Option<Arc<Catalog>>,
    started: Tick,
    incarnation: u64,
    sequence: u64,
    last_digest: Tick,
    sent_digests: SentDigests,
    engine_updates: EngineUpdates,
    survivor: Survivor,
    // Whether it leaves orders to hosts that it cannot reach.
    stands_by: bool,
    stalls: StallDetector,
    store: StoreState,
    leaving: bool,
    admit_until: Option<Tick>,
    serving: bool,
    open_requests: usize,
}

/// Tells the control actor that the settings file may have changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reload {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Whether SIGHUP caused the reload, not the periodic check.
    pub signal: bool,
}

/// Starts the shutdown of the host.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain;

/// Queries the number of open requests.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct OpenRequests;

/// Shortest time for which the process keeps running after SIGTERM. Callers cache a lookup for its
/// TTL, some of them three times as long, but find other hosts when a connection is refused.
const MIN_SHUTDOWN: Duration = Duration::from_secs(3);

/// Time after SIGTERM in which requests are still accepted. Later ones might not end before SIGKILL
/// and are refused, so that callers retry them at another host.
const ADMIT_PERIOD: Duration = Duration::from_millis(2000);

/// Time before SIGKILL at which the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(800);

/// Time before the exit at which requests without a response are answered, so that their connections
/// are not cut.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Ticks without an open request before the process exits, in which the server writes the end of the
/// last responses.
const IDLE_TICKS: u32 = 3;

/// Waits until all requests have ended, at most until shortly before `grace` is over. `calls` are
/// the requests that have no replica yet; `closing` is cancelled when they must be answered.
pub async fn wait_drained(
    control: &Addr<Control>,
    calls: &OpenCalls,
    grace: Duration,
    closing: &CancellationToken,
) {
    let begun = clock::now();
    let last = grace.saturating_sub(KILL_MARGIN);
    let mut idle = 0;
    loop {
        tokio::time::sleep(TICK).await;
        let passed = clock::now().since(begun);
        let open = control.send(OpenRequests).await.unwrap_or(0) + calls.count();
        idle = if open == 0 { idle + 1 } else { 0 };
        if passed + ANSWER_MARGIN >= last {
            closing.cancel();
        }
        if passed >= last || (passed >= MIN_SHUTDOWN.min(last) && idle >= IDLE_TICKS) {
            return;
        }
    }
}

impl Control {
    /// Creates the state of a host that has read neither the store nor any digest.
    pub fn new(setup: Setup) -> Self {
        let now = clock::now();
        let incarnation = clock::unix_ms();
        let s = &setup.settings;
        let mut quota = Quota::new(now, s.bounds.tolerance());
        for seed in s.seeds.iter().filter(|a| *a.ip() != s.ip) {
            quota.expect_peer(now, *seed.ip());
        }
        let mut quarantine = Quarantine::default();
        quarantine.set_released(now, &s.released());
        Self {
            peers: Peers::new(s.ip, s.seeds.iter().map(|a| *a.ip()).collect(), now),
            dispatcher: Dispatcher::new(s.zone.clone()),
            client: Rc::new(Client::default()),
            quota,
            settings: setup.settings,
            published: setup.published,
            metrics: setup.metrics,
            log: setup.log,
            stop: setup.stop,
            socket: setup.socket,
            budgets: HashMap::new(),
            engines: BTreeMap::new(),
            waiters: Waiters::default(),
            quarantine,
            starting: Starting::default(),
            origins: StreamOrigins::default(),
            limits_repeated: now,
            signal_logged: None,
            catalog: None,
            started: now,
            incarnation,
            sequence: 0,
            last_digest: now,
            sent_digests: SentDigests::new(incarnation),
            engine_updates: EngineUpdates::default(),
            survivor: Survivor::default(),
            stands_by: false,
            stalls: StallDetector::default(),
            store: StoreState::new(now),
            leaving: false,
            admit_until: None,
            serving: false,
            open_requests: 0,
        }
    }

    fn lease(&self) -> OrderLease {
        OrderLease { term: Duration::from_millis(self.settings.bounds.lease_ms) }
    }

    fn state(&self) -> HostState {
        match (self.leaving, self.serving) {
            (true, _) => HostState::Leaving,
            (false, true) => HostState::Serving,
            (false, false) => HostState::Unready,
        }
    }

    // Whether the configuration is recent enough to check keys against.
    fn config_fresh(&self, now: Tick) -> bool {
        let bounds = &self.settings.bounds;
        let limit = Duration::from_millis(bounds.revoke_ms).saturating_sub(REVOKE_MARGIN);
        self.store.operator.read_at().is_some_and(|t| !bounds.fail_closed || now.since(t) < limit)
    }

    fn publish(&mut self, now: Tick) {
        let serving = self.catalog.is_some()
            && self.store.listing.read_at().is_some()
            && self.config_fresh(now);
        if serving != self.serving {
            self.serving = serving;
            let age = self.store.operator.read_at().map_or(0, |t| now.since(t).as_millis() as u64);
            emit(
                &self.log,
                Event::ServingChanged,
                &kv!("serving" => serving, "config_age_ms" => age),
            );
        }
        let mut fronts: Vec<_> = self.peers.serving(now).map(|p| p.front.to_string()).collect();
        if self.serving && !self.leaving {
            fronts.push(self.settings.listen.front.to_string());
        }
        self.published.store(Arc::new(Snapshot {
            catalog: self.catalog.clone(),
            config_read: self.store.operator.read_at().unwrap_or_default(),
            serving,
            leaving: self.leaving,
            admit_until: self.admit_until,
            fronts,
        }));
    }

    fn send(&self, ip: Ipv4Addr, message: &PeerMessage) {
        let to = (ip, self.settings.peer_port()).into();
        datagrams::send(&self.socket, to, message, &self.log);
    }

    fn broadcast(&self, stamped: Tick, message: &PeerMessage) {
        self.multicast(stamped, &self.peers.digest_targets(), message);
    }

    // Sends a message whose ages are those at `stamped`. A receipt of a later time would hide the time
    // in between.
    fn multicast(&self, stamped: Tick, targets: &[Ipv4Addr], message: &PeerMessage) {
        if targets.is_empty() {
            return;
        }
        let mut bytes = datagrams::encode(message);
        let len = bytes.len();
        for ip in targets {
            bytes.truncate(len);
            if message.states_age()
                && let Some(receipt) = self.peers.receipt(stamped, *ip)
            {
                bytes = datagrams::append_receipt(bytes, &receipt);
            }
            let to = (*ip, self.settings.peer_port()).into();
            datagrams::send_bytes(&self.socket, to, &bytes, &self.log);
        }
    }

    fn digest_interval(&self) -> Duration {
        let hosts = self.peers.iter().count() as u32;
        (DIGEST_PER_HOST * hosts).clamp(DIGEST_RANGE.0, DIGEST_RANGE.1)
    }

    // Sends this host's digest along the relays.
    fn send_digest(&mut self, now: Tick) {
        let digest = Box::new(self.digest(now));
        let settings = &self.settings;
        let routes =
            self.peers.digest_routes(now, &settings.zone, self.sequence, settings.relay_above);
        self.multicast(now, &routes.relays, &PeerMessage::Relay(digest.clone()));
        self.multicast(now, &routes.direct, &PeerMessage::Digest(digest));
    }

    // Sends this host's digest to all hosts, without relays: only such a digest tells how old a
    // read of the store is.
    fn announce_read(&mut self, now: Tick) {
        let digest = Box::new(self.digest(now));
        self.broadcast(now, &PeerMessage::Digest(digest));
    }

    // Passes on a digest within the failure domain. What waited while this host was paused is
    // outdated.
    fn relay(&self, now: Tick, digest: &Digest) {
        if self.stalls.is_current(now) {
            let targets = self.peers.relay_targets(&self.settings.zone, digest.ip);
            self.multicast(now, &targets, &PeerMessage::Relayed(Box::new(digest.clone())));
        }
    }

    fn digest(&mut self, now: Tick) -> Digest {
        self.last_digest = now;
        self.sequence += 1;
        self.sent_digests.record(self.sequence, now);
        let with_members = self.sequence.is_multiple_of(2);
        let (loads, kept) = self.dispatcher.digest_entries();
        let lease = self.lease();
        let engines = self.engines.iter().filter_map(|(k, engine)| {
            let r = self.dispatcher.replicas.get(*k)?;
            Some(EngineState {
                replica: r.id_hash,
                orderable: !self.leaving && r.ownership.may_order(now, lease),
                alive: r.alive,
                loading: u8::try_from(engine.loader.load_count()).unwrap_or(u8::MAX),
                residents: engine.loader.residents(),
            })
        });
        let engines = self.engine_updates.due(self.sequence, engines.collect());
        let bounds = &self.settings.bounds;
        let orphaned = self.peers.orphaned_orders(now);
        let ordered = self.dispatcher.replicas.iter().filter_map(|(_, r)| {
            let own = r.ownership.fence_since(now - ORDER_WINDOW);
            let reported = orphaned.contains(&r.id_hash).then(|| r.ownership.highest_fence());
            Some(ReplicaFence { replica: r.id_hash, fence: own.or(reported)? })
        });
        Digest {
            ip: self.settings.ip,
            front: self.settings.listen.front,
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state(),
            members: if with_members { self.peers.members(now) } else { Vec::new() },
            age_ms: now.since(self.started).as_millis() as u64,
            revision: self.store.count,
            fences: ordered.collect(),
            operator: self.store.operator.mark(now, sync::poll_interval(bounds.config_ms)),
            listing: self.store.listing.mark(now, sync::poll_interval(bounds.drain_ms)),
            engines,
            accounts: self.quota.usage(now),
            loads,
            cached: kept,
        }
    }

    // Updates the stall detector. Must run before a message that waited in the mailbox is handled.
    fn note_running(&mut self) -> Tick {
        let now = clock::now();
        if let Some(gap) = self.stalls.tick(now) {
            emit(&self.log, Event::Paused, &kv!("paused_ms" => gap.as_millis() as u64));
            self.dispatcher.replicas.note_pause(gap);
            if gap >= LONG_PAUSE {
                // Digests that waited during the pause make peers look alive that are not.
                self.restart_ownerships(now + CONTEST_AFTER);
            }
        }
        now
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.note_running();
        if now.since(self.last_digest) >= self.digest_interval() {
            self.send_digest(now);
        }
        self.report_losses(now);
        self.repeat_limits(now);
        self.send_origins(now);
        self.start_search(now, ctx);
        self.check_waiters(now, ctx);
        self.read_reports(now, ctx);
        self.read_store(now, ctx);
    }

    fn housekeeping(&mut self) {
        let now = clock::now();
        for ip in self.peers.expire(now) {
            emit(&self.log, Event::PeerGone, &kv!("ip" => ip.to_string()));
            self.quota.remove_peer(ip);
            self.dispatcher.remove_peer(ip);
            self.quarantine.remove_peer(ip);
            self.store.history.remove_peer(ip);
        }
        if now.since(self.started) > FORGET_AFTER {
            self.quota.remove_unheard();
        }
        self.quota.charge_silent(now);
        self.expire_losses(now);
        self.expire_origins(now);
        self.expire_unlisted(now);
        self.assign_owners(now);
        self.client.sweep();
        self.publish(now);
        let usable = self.dispatcher.replicas.iter().filter(|(_, r)| r.is_usable()).count();
        self.metrics.replicas.set(usable as i64);
        self.metrics.peers.set(self.peers.members(now).iter().filter(|m| m.alive).count() as i64);
        self.metrics
            .config_age
            .set(self.store.operator.read_at().map_or(-1, |t| now.since(t).as_millis() as i64));
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // The mailbox receives the requests of the HTTP worker thread and the datagrams of all
        // peers.
        ctx.set_mailbox_capacity(4096);
        let (socket, log, stop) = (self.socket.clone(), self.log.clone(), self.stop.clone());
        actix_rt::spawn(datagrams::receive(socket, ctx.address(), log, stop));
        ctx.run_interval(TICK, |act, ctx| act.tick(ctx));
        ctx.run_interval(HOUSEKEEPING, |act, _| act.housekeeping());
    }
}

impl Handler<Received> for Control {
    type Result = ();

    fn handle(&mut self, msg: Received, ctx: &mut Self::Context) {
        let now = self.note_running();
        let stamped_after = msg.receipt.and_then(|r| self.sent_digests.stamped_after(&r));
        if let Some(t) = stamped_after {
            self.metrics.message_wait(msg.message.kind(), now.since(t));
        }
        match msg.message {
            PeerMessage::Digest(d) => {
                self.handle_digest(now, &d, Route::Direct { stamped_after }, ctx);
            }
            PeerMessage::Relay(d) => {
                self.relay(now, &d);
                self.handle_digest(now, &d, Route::Direct { stamped_after }, ctx);
            }
            PeerMessage::Relayed(d) => self.handle_digest(now, &d, Route::Relayed, ctx),
            PeerMessage::LoadRequest(w) => self.handle_load_request(now, msg.from, w, ctx),
            PeerMessage::LoadResult(r) => self.handle_load_result(&r),
            PeerMessage::Limits(r) => self.handle_limits(now, &r, stamped_after),
            PeerMessage::Losses(r) => self.handle_losses(now, &r),
            PeerMessage::ListingDelta(l) => self.handle_listing(now, &l, stamped_after),
            PeerMessage::Era(r) => self.handle_era(now, &r),
            PeerMessage::Leaving(replica) => self.handle_leaving(replica),
            PeerMessage::Versions(r) => self.handle_versions(now, r, stamped_after),
            PeerMessage::Fences(fences) => self.handle_fences(now, &fences),
            PeerMessage::Begun(streams) => self.handle_begun(now, streams),
            PeerMessage::OriginQuery(key) => self.handle_origin_query(msg.from, key),
            PeerMessage::OriginReply(key, origin) => {
                self.handle_origin_reply(now, msg.from, key, origin.as_ref());
            }
        }
    }
}

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, _: Drain, _: &mut Self::Context) {
        let now = clock::now();
        self.leaving = true;
        self.admit_until = Some(now + ADMIT_PERIOD);
        self.publish(now);
        self.send_digest(now);
    }
}

impl Handler<OpenRequests> for Control {
    type Result = usize;

    fn handle(&mut self, _: OpenRequests, _: &mut Self::Context) -> usize {
        self.open_requests
    }
}

impl Handler<Reload> for Control {
    type Result = ();

    fn handle(&mut self, msg: Reload, _: &mut Self::Context) {
        match Settings::load(&msg.path) {
            Ok(s) => {
                self.peers.set_seeds(s.seeds.iter().map(|a| *a.ip()).collect());
                let seeds = s.seeds.len();
                let changes = self.quarantine.set_released(clock::now(), &s.released());
                self.settings = Arc::new(Settings {
                    seeds: s.seeds,
                    bounds: s.bounds,
                    released_blocks: s.released_blocks,
                    ..(*self.settings).clone()
                });
                self.apply_holds(&changes);
                emit(&self.log, Event::Reloaded, &kv!("signal" => msg.signal, "seeds" => seeds));
            }
            Err(e) => emit(&self.log, Event::ReloadFailed, &kv!("error" => e.to_string())),
        }
    }
}
