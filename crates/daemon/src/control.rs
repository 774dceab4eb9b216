//! Control thread of a host: admits requests, chooses their upstreams, loads adapters, holds the
//! host's lease and tracks its peers and configuration.
//!
//! It is one actor, and the only writer of that state. HTTP worker threads, peers and the watchers
//! of the configuration service send it messages. A handler passes an event to one of the state
//! machines of `yuccawing-core` and carries out the effects that it returns.

mod allowances;
mod commands;
mod group;
mod history;
mod loads;
pub mod messages;
mod requests;
mod status;
mod versions;
mod weight;

use std::{
    collections::BTreeMap,
    hash::{BuildHasher, Hasher, RandomState},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix::{Actor, AsyncContext, Context, Handler};
use arc_swap::ArcSwap;
use arcstr::ArcStr;
use slog::Logger;
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    allowance::Allowance,
    config::{self, Config},
    ids::{Incarnation, Ordinal},
    lease::{Authority, Lease},
    membership,
    placement::{self, Placement},
    queue::{Limits, Queue},
    route::{self, Router},
    ticket::TicketTable,
    time::Tick,
};

pub use self::messages::ControlHandle;
use self::{
    commands::Commands,
    messages::{Call, RequestId, Snapshot},
    requests::Requests,
    weight::{FULL_WEIGHT, WeightedMembership},
};
use crate::{
    mesh::{Link, PeerCall},
    metrics::Metrics,
    settings::Settings,
    tls::Tls,
    watch::{PlatformClient, PlatformUpdate},
};

/// Interval of the timer that checks deadlines, the lease, probes and polls.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which reservations are retried for requests that wait for tokens. Tokens lent by a
/// peer expire after 100 ms, so a longer interval would let many of them expire unused.
const TOKEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Messages that may wait for the control thread; further requests are refused as overloaded.
const MAILBOX_CAPACITY: usize = 4096;

/// Parameters of a control thread.
#[derive(Clone)]
pub struct Setup {
    /// Settings file of the host.
    pub settings: Arc<Settings>,
    /// Random id of this process; it changes with each restart.
    pub incarnation: Incarnation,
    /// State that the control thread publishes for the HTTP worker threads.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Number of calls that failed because the mailbox was full, counted by [`ControlHandle`].
    pub refused_calls: Arc<AtomicU64>,
    /// Metrics of the process, which the control thread updates.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: Logger,
    /// Mutual TLS between hosts; `None` for plain text.
    pub tls: Option<Tls>,
    /// Cancelled when the process ends; stops the background tasks.
    pub stop: CancellationToken,
}

/// Converts readings of the monotonic clock to ticks since the start of the control thread.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    fn now(self) -> Tick {
        self.tick(Instant::now())
    }

    fn tick(self, at: Instant) -> Tick {
        Tick(u64::try_from(at.saturating_duration_since(self.0).as_micros()).unwrap_or(u64::MAX))
    }
}

/// Random numbers for back-off, process ids and choices among replicas.
#[derive(Debug, Default)]
struct Random(RandomState, u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.1 += 1;
        let mut h = self.0.build_hasher();
        h.write_u64(self.1);
        h.finish()
    }
}

/// Returns a random id for this process.
pub fn random_incarnation() -> Incarnation {
    Incarnation(Random::default().next())
}

/// Actor that runs on the control thread.
pub struct Control {
    setup: Setup,
    clock: Clock,
    random: Random,
    config: Config,
    membership: WeightedMembership,
    lease: Option<Lease>,
    // End of the lease at the last check. A later end means that the lease was renewed.
    renewed_until: Tick,
    allowance: Allowance,
    placement: Placement,
    route: Router,
    queue: Queue<RequestId>,
    requests: Requests,
    commands: Commands,
    tickets: TicketTable,
    links: BTreeMap<ArcStr, Link>,
    platform: Option<PlatformClient>,
    // Stops the watch on the configuration service; `None` while this host does not watch it.
    config_watch: Option<CancellationToken>,
    engine_specs: Vec<route::Spec>,
    controlled: Vec<placement::Spec>,
    stale: bool,
    leaving: bool,
    lease_released: bool,
}

impl Control {
    /// Creates an actor that has not started.
    pub fn new(setup: Setup) -> Self {
        let s = &setup.settings;
        let clock = Clock(Instant::now());
        let member = membership::Setup {
            name: s.name.clone(),
            ordinal: s.ordinal,
            group: ArcStr::new(),
            domain: s.domain.clone(),
            http: s.listen.http.to_string().into(),
            incarnation: setup.incarnation,
            weight: FULL_WEIGHT,
        };
        Self {
            config: Config::new(s.ordinal, s.bootstrap.is_some()),
            membership: WeightedMembership::new(member),
            lease: None,
            renewed_until: Tick(0),
            allowance: Allowance::new(s.ordinal),
            placement: Placement::new(),
            route: Router::new(setup.incarnation),
            queue: Queue::new(Limits {
                slots: 1,
                reserved: 0,
                per_account: 1,
                total: 1,
                token_rate: 1,
            }),
            requests: Requests::default(),
            commands: Commands::default(),
            tickets: TicketTable::new(setup.incarnation),
            links: BTreeMap::new(),
            platform: None,
            config_watch: None,
            engine_specs: Vec::new(),
            controlled: Vec::new(),
            stale: false,
            leaving: false,
            lease_released: false,
            random: Random::default(),
            clock,
            setup,
        }
    }

    fn ordinal(&self) -> Ordinal {
        self.setup.settings.ordinal
    }

    fn authority(&self, now: Tick) -> Option<Authority> {
        self.lease.as_ref().filter(|_| !self.lease_released)?.authority(now)
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.handle_membership(now, membership::Event::Tick, ctx);
        self.poll_lease(now, ctx);
        self.handle_config(now, config::Event::Tick, ctx);
        self.poll_loans(now, ctx);
        self.handle_placement(now, placement::Event::Poll, ctx);
        self.refresh_engines(now, ctx);
        self.poll_reports(now, ctx);
        self.release_pins(now, false, ctx);
        self.watch_config(now, ctx);
        self.expire_requests(now, ctx);
        let refused = self.setup.refused_calls.load(Ordering::Relaxed);
        self.membership.observe(now, self.backlog(), refused);
        self.publish(now);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        let s = &self.setup.settings;
        let platform = PlatformClient::new(
            s.platform.config.to_string().into(),
            s.platform.list.to_string().into(),
            ctx.address().recipient(),
        );
        actix_rt::spawn(platform.clone().watch_list(self.setup.stop.clone()));
        self.platform = Some(platform);
        ctx.run_interval(TICK_INTERVAL, Self::tick);
        ctx.run_interval(TOKEN_RETRY_INTERVAL, Self::wake_pending);
    }
}

impl Handler<PlatformUpdate> for Control {
    type Result = ();

    fn handle(&mut self, call: PlatformUpdate, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.handle_platform_call(now, call, ctx);
    }
}

impl Handler<PeerCall> for Control {
    type Result = ();

    fn handle(&mut self, call: PeerCall, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.handle_peer_call(now, call, ctx);
    }
}

impl Handler<Call> for Control {
    type Result = ();

    fn handle(&mut self, call: Call, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.handle_call(now, call, ctx);
    }
}
