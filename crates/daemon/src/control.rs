//! The control thread: one actor that owns all decision state and is its only writer.
//!
//! Traffic threads, peers and the platform readers send it messages. Every handler passes an event
//! to a decision of `yuccawing-core` and carries out the effects.

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

pub use self::messages::Handle;
use self::{
    commands::Commands,
    messages::{Call, RequestId, Snapshot},
    requests::Requests,
    weight::{Members, WEIGHT},
};
use crate::{
    mesh::{Link, PeerCall},
    metrics::Metrics,
    settings::Settings,
    tls::Tls,
    watch::{Platform, PlatformCall},
};

/// Interval of the timer that drives deadlines, leases, probes and polls.
const TICK: Duration = Duration::from_millis(50);

/// Interval at which requests that wait for tokens are tried again. Loans last 100 ms, so a longer
/// one would waste a good part of them.
const TOKENS: Duration = Duration::from_millis(20);

/// Messages that may wait for the control thread; traffic beyond it is refused as overload.
const MAILBOX: usize = 4096;

/// What a control thread is started with.
#[derive(Clone)]
pub struct Setup {
    /// Settings of the host.
    pub settings: Arc<Settings>,
    /// This process.
    pub incarnation: Incarnation,
    /// Published state.
    pub view: Arc<ArcSwap<Snapshot>>,
    /// Calls that the full mailbox has refused, counted by [`Handle`].
    pub refused: Arc<AtomicU64>,
    /// Metrics.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
    /// TLS between hosts, `None` for plain text.
    pub tls: Option<Tls>,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
}

/// Readings of the monotonic clock as ticks.
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

/// Random numbers for back-off, identities and choices among replicas.
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

/// A random identity for a process.
pub fn random_incarnation() -> Incarnation {
    Incarnation(Random::default().next())
}

/// The control actor.
pub struct Control {
    setup: Setup,
    clock: Clock,
    random: Random,
    config: Config,
    membership: Members,
    lease: Option<Lease>,
    // End of the lease at the last tick, to notice renewals.
    renewed: Tick,
    allowance: Allowance,
    placement: Placement,
    route: Router,
    queue: Queue<RequestId>,
    requests: Requests,
    commands: Commands,
    tickets: TicketTable,
    links: BTreeMap<ArcStr, Link>,
    platform: Option<Platform>,
    // Present while this host reads the configuration service.
    reader: Option<CancellationToken>,
    specs: Vec<route::Spec>,
    controlled: Vec<placement::Spec>,
    stale: bool,
    leaving: bool,
    released: bool,
}

impl Control {
    /// A control actor that has not started.
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
            weight: WEIGHT,
        };
        Self {
            config: Config::new(s.ordinal, s.found.is_some()),
            membership: Members::new(member),
            lease: None,
            renewed: Tick(0),
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
            reader: None,
            specs: Vec::new(),
            controlled: Vec::new(),
            stale: false,
            leaving: false,
            released: false,
            random: Random::default(),
            clock,
            setup,
        }
    }

    fn ordinal(&self) -> Ordinal {
        self.setup.settings.ordinal
    }

    fn authority(&self, now: Tick) -> Option<Authority> {
        self.lease.as_ref().filter(|_| !self.released)?.authority(now)
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.on_member(now, membership::Event::Tick, ctx);
        self.poll_lease(now, ctx);
        self.on_config(now, config::Event::Tick, ctx);
        self.poll_loans(now, ctx);
        self.place(now, placement::Event::Poll, ctx);
        self.refresh_engines(now, ctx);
        self.poll_reports(now, ctx);
        self.release_pins(now, false, ctx);
        self.watch_config(now, ctx);
        self.expire_requests(now, ctx);
        let refused = self.setup.refused.load(Ordering::Relaxed);
        self.membership.observe(now, self.backlog(), refused);
        self.publish(now);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        let s = &self.setup.settings;
        let platform = Platform::new(
            s.platform.config.to_string().into(),
            s.platform.list.to_string().into(),
            ctx.address().recipient(),
        );
        actix_rt::spawn(platform.clone().watch_list(self.setup.stop.clone()));
        self.platform = Some(platform);
        ctx.run_interval(TICK, Self::tick);
        ctx.run_interval(TOKENS, Self::wake_pending);
    }
}

impl Handler<PlatformCall> for Control {
    type Result = ();

    fn handle(&mut self, call: PlatformCall, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.platform_call(now, call, ctx);
    }
}

impl Handler<PeerCall> for Control {
    type Result = ();

    fn handle(&mut self, call: PeerCall, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.peer_call(now, call, ctx);
    }
}

impl Handler<Call> for Control {
    type Result = ();

    fn handle(&mut self, call: Call, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.traffic_call(now, call, ctx);
    }
}
