//! Chooses the replica for each request.
//!
//! The expected time to the first event at a replica is the sum of the prefill that all hosts have
//! admitted there and that is not finished, the load of the adapter if it is not resident, and the
//! prefill of this prompt minus the tokens in the replica's prefix cache. A millisecond within the
//! SLO costs little and one beyond it a lot. A load has an additional cost, because it takes
//! bandwidth of the weight store and an adapter slot from other requests. The replica with the
//! lowest cost is chosen, so an adapter gets another copy only if the engines that hold it would
//! miss the SLO.

mod cost;
mod limits;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use arcstr::ArcStr;
use slotmap::{SlotMap, new_key_type};

pub use self::cost::prefill_ms;
use self::cost::{Cost, Loads, plain_cost};
use super::{
    config::{EngineSpec, FleetConfig, RouteKind},
    digest::{CachedBlock, Digest, ReplicaLoad},
    hash, hash32,
    health::{HealthState, Outcome},
    limit::SendState,
    load_time::LoadTime,
    replicas::{Replica, ReplicaKey, Replicas},
    report::Resident,
    request::ReplicaRequest,
    versions::AdapterVersions,
};
use crate::time::Tick;

new_key_type! {
    /// One attempt of a request at a replica.
    pub struct AttemptKey;
}

/// Largest number of cached blocks that are new in a digest. A digest that does not fit into a datagram
/// is not sent, and its sender counts as silent; prompts may have a thousand blocks.
const MAX_CACHED_BLOCKS: usize = 1500;

/// Time of a decoding step shared with other streams, plus the network round trip, in ms.
const STEP_MS: f64 = 15.0;

/// Cost of a millisecond of expected time within the SLO.
const COST_WITHIN_SLO: f64 = 0.15;

/// Cost of a millisecond of expected time beyond the SLO.
const COST_BEYOND_SLO: f64 = 2.0;

/// Fraction of the SLO to plan with; the rest covers delays that the estimate does not include.
const SLO_SHARE: f64 = 0.6;

/// Cost of a replica in another zone, in ms: network latency and the price of the traffic.
const ZONE_COST_MS: f64 = 5.0;

/// Largest pseudo-random part of a cost, in ms, so that hosts with the same outdated view choose
/// different replicas.
const JITTER_COST_MS: f64 = 6.0;

/// Cost in ms of an engine whose batch or KV cache is full, and of an ejected replica that must be
/// used.
const OVERLOAD_COST_MS: f64 = 400.0;

/// Weight of a new observation in moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Largest learned ratio between observed and expected times.
const MAX_SLOWDOWN: f64 = 8.0;

/// Multiple of the expected time to the first event after which a request fails over, if it may.
const FAILOVER_FACTOR: f64 = 2.5;

/// Shortest time after which a stream without a first event fails over.
const MIN_STREAM_FAILOVER: Duration = Duration::from_millis(1500);

/// Shortest time after which a plain request without a response fails over.
const MIN_PLAIN_FAILOVER: Duration = Duration::from_millis(120);

/// A refusal asks the caller to wait for at most this part of its remaining time (1/3); callers
/// ignore longer waits.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Time in ms until engines have owners again after the loss of all hosts: the term of the order
/// lease, during which no host may send orders.
const OWNERLESS_MS: f64 = 3000.0;

/// Fraction of [`OWNERLESS_MS`] over which the retries of refused callers are spread.
const OWNERLESS_SPREAD: f64 = 0.4;

/// Shortest wait that a refusal asks for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Replica that a request is sent to.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Id of the replica.
    pub id: ArcStr,
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// Newest known version of the adapter.
    pub version: Option<u64>,
    /// Time without a first event, or without a complete plain response, after which the request
    /// may fail over.
    pub failover_after: Duration,
    /// Expected time to the first event, for logs.
    pub expected_latency: Duration,
    /// Adapter that must be loaded before the request is sent.
    pub required_load: Option<Resident>,
    /// Whether the replica names a limit.
    pub limited: bool,
    /// Version of the replica's software.
    pub software: ArcStr,
}

/// Why a request gets no replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no usable replica.
    NoReplica,
    /// The software version that began the stream has no usable replica.
    NoVersion,
    /// No usable engine holds the adapter or may load it, for instance because all its slots hold
    /// adapters in use.
    NoAdapterSlot,
    /// No replica can respond before the deadline.
    Late,
    /// The limits that the replicas name are used up.
    Limited,
}

impl Refusal {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::NoVersion => "no_version",
            Self::NoAdapterSlot => "no_place",
            Self::Late => "late",
            Self::Limited => "replica_limit",
        }
    }
}

/// Result of [`Dispatcher::choose`].
#[derive(Clone, Debug)]
pub enum DispatchDecision {
    /// The request is sent to a replica.
    Assigned(Box<Assignment>),
    /// The request is refused.
    Refused {
        /// Reason.
        reason: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct ActiveAttempt {
    replica: ReplicaKey,
    artifact: Option<u32>,
    prefill_ms: f64,
    kv_tokens: u32,
    expected_ms: f64,
    started: Tick,
    first_seen: bool,
}

/// State of the replicas and of this host's requests there.
#[derive(Debug)]
pub struct Dispatcher {
    /// Known replicas.
    pub replicas: Replicas,
    zone: ArcStr,
    attempts: SlotMap<AttemptKey, ActiveAttempt>,
    engines: HashMap<ArcStr, EngineSpec>,
    /// Newest declared versions of adapters.
    pub versions: AdapterVersions,
    // Blocks sent since the last digest, and those of the digest before.
    cached: [Vec<CachedBlock>; 2],
    load_time: LoadTime,
    // Replicas with a limit that are to be reported to the other senders.
    unreported: BTreeSet<ReplicaKey>,
}

impl Dispatcher {
    /// Dispatcher of a host in `zone` that knows no replica.
    pub fn new(zone: ArcStr) -> Self {
        Self {
            replicas: Replicas::default(),
            zone,
            attempts: SlotMap::with_key(),
            engines: HashMap::new(),
            versions: AdapterVersions::default(),
            cached: [Vec::new(), Vec::new()],
            load_time: LoadTime::default(),
            unreported: BTreeSet::new(),
        }
    }

    /// Replaces the engine specifications by those of a configuration.
    pub fn configure(&mut self, config: &FleetConfig) {
        let engines = config.services.iter();
        self.engines = engines.filter_map(|s| Some((s.name.clone(), s.engine.clone()?))).collect();
    }

    /// Engine specification of a service, none for a plain one.
    pub fn engine_spec(&self, service: &str) -> Option<&EngineSpec> {
        self.engines.get(service)
    }

    /// Newest announced version of an adapter.
    pub fn newest_version(&self, artifact: &str) -> Option<u64> {
        self.versions.get(artifact)
    }

    /// Whether the newest version of an artifact is resident.
    pub fn is_resident(&self, r: &Replica, artifact: &str) -> bool {
        let newest = self.newest_version(artifact).unwrap_or(0);
        r.residents.get(artifact).is_some_and(|v| *v >= newest)
    }

    /// Applies a peer's digest: its requests, the blocks that it sent and the state of its engines.
    pub fn apply_digest(&mut self, now: Tick, d: &Digest) {
        self.replicas.set_peer_loads(d.ip, &d.loads);
        for k in &d.cached {
            let found = self.replicas.find_hash(k.replica);
            if let Some(r) = found.and_then(|key| self.replicas.get_mut(key)) {
                r.record_block(k.block);
            }
        }
        for e in &d.engines {
            let found = self.replicas.find_hash(e.replica);
            if let Some(r) = found.and_then(|key| self.replicas.get_mut(key)) {
                r.reported_at = Some(now);
                r.orderable = e.orderable;
                r.alive = e.alive;
                r.loading = u32::from(e.loading);
                r.set_residents(e.residents.clone());
            }
        }
    }

    /// Removes the requests that a peer reported.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        self.replicas.remove_peer(ip);
    }

    /// Whether a request of any host uses the artifact at the replica.
    pub fn in_use(&self, k: ReplicaKey, artifact: &str) -> bool {
        self.replicas.get(k).is_some_and(|r| r.in_use(hash32(&[artifact])))
    }

    /// Chooses a replica and counts the request there.
    pub fn choose(&mut self, now: Tick, request: &ReplicaRequest) -> DispatchDecision {
        let spec = self.engines.get(&request.service);
        let fits = |r: &Replica| request.software.as_ref().is_none_or(|s| *s == r.software);
        let all = self
            .replicas
            .iter()
            .filter(|(_, r)| r.service == request.service && fits(r) && r.is_usable());
        let all: Vec<_> = all.collect();
        let healthy =
            all.iter().filter(|(_, r)| r.health.state(now) == HealthState::Healthy).count();
        // Ejection must not take more than half of a service out of use.
        let forced = healthy * 2 < all.len();
        let mut best: Option<(f64, Cost, ReplicaKey)> = None;
        let loads = Loads {
            cold_ms: self.load_time.expected_ms(now),
            transfers: self.load_time.transfers(now),
        };
        let (usable, engines) = (!all.is_empty(), all.len());
        let has_owner = all.iter().any(|(_, r)| r.orderable);
        // Time until a replica that is passed over for its limit may be sent a request.
        let mut limited: Option<Duration> = None;
        let slo_ms = request.slo_deadline.since(now).as_secs_f64() * 1000.0 * SLO_SHARE;
        for (k, r) in all {
            if request.excluded.contains(&k) {
                continue;
            }
            let wait = match r.limit.state(now) {
                SendState::Free => None,
                SendState::Wait(wait) => Some(wait),
                SendState::Closed => Some(Duration::MAX),
            };
            if let Some(wait) = wait {
                limited = Some(limited.map_or(wait, |l| l.min(wait)));
                continue;
            }
            let penalty = match r.health.state(now) {
                HealthState::Healthy => 0.0,
                HealthState::Probe if request.kind.is_idempotent() => 0.0,
                _ if forced => OVERLOAD_COST_MS,
                _ => continue,
            };
            let cost = match (spec, &request.inference) {
                (Some(spec), Some(d)) => match self.engine_cost(r, spec, d, loads, engines) {
                    Some(c) => c,
                    None => continue,
                },
                _ => plain_cost(r),
            };
            let zone_cost = if r.zone == self.zone { 0.0 } else { ZONE_COST_MS };
            // Hosts that need a load are to choose the same replica.
            let jitter = match cost.load {
                Some(_) => 0.0,
                None => hash_fraction(&[&request.id, &r.id]) * JITTER_COST_MS,
            };
            let latency_cost =
                COST_WITHIN_SLO * cost.time_ms + COST_BEYOND_SLO * (cost.time_ms - slo_ms).max(0.0);
            let score = latency_cost + cost.preference_ms + penalty + zone_cost + jitter;
            if best.as_ref().is_none_or(|(b, ..)| score < *b) {
                best = Some((score, cost, k));
            }
        }
        let Some((_, cost, k)) = best else {
            if let Some(wait) = limited {
                let reason = Refusal::Limited;
                let retry_after = retry_after(now, request, Some(wait.as_secs_f64() * 1000.0));
                return DispatchDecision::Refused { reason, retry_after };
            }
            let no_engine = usable && request.inference.is_some() && spec.is_some();
            let reason = match request.software {
                _ if no_engine => Refusal::NoAdapterSlot,
                Some(_) if !usable => Refusal::NoVersion,
                _ => Refusal::NoReplica,
            };
            let ownerless = (no_engine && !has_owner)
                .then(|| OWNERLESS_MS * (1.0 - OWNERLESS_SPREAD * hash_fraction(&[&request.id])));
            return DispatchDecision::Refused {
                reason,
                retry_after: retry_after(now, request, ownerless),
            };
        };
        let remaining_ms = request.remaining(now).as_secs_f64() * 1000.0;
        if cost.time_ms > remaining_ms {
            return DispatchDecision::Refused {
                reason: Refusal::Late,
                retry_after: retry_after(now, request, Some(cost.time_ms - remaining_ms)),
            };
        }
        DispatchDecision::Assigned(Box::new(self.assign(now, request, k, &cost)))
    }

    fn assign(
        &mut self,
        now: Tick,
        request: &ReplicaRequest,
        k: ReplicaKey,
        cost: &Cost,
    ) -> Assignment {
        let kv_tokens = request.inference.as_ref().map_or(0, |d| d.prompt_tokens + d.output_tokens);
        let version = request.inference.as_ref().and_then(|d| self.newest_version(&d.artifact));
        #[expect(clippy::expect_used, reason = "the caller has chosen it from the replicas")]
        let r = self.replicas.get_mut(k).expect("the chosen replica is known");
        if r.health.state(now) == HealthState::Probe {
            r.health.start_probe(now);
        }
        if let Some(inference) = &request.inference {
            let hash = r.id_hash;
            let keys = r.record_prompt(inference, cost.uncached);
            let room = MAX_CACHED_BLOCKS.saturating_sub(self.cached[0].len());
            let blocks = keys.into_iter().map(|block| CachedBlock { replica: hash, block });
            self.cached[0].extend(blocks.take(room));
        }
        r.local.prefill_ms += cost.prefill_ms;
        r.local.inflight += 1;
        if r.limit.record_send(now) {
            self.unreported.insert(k);
        }
        r.local.kv_tokens += kv_tokens;
        let artifact = request.inference.as_ref().map(|d| hash32(&[&d.artifact]));
        if let Some(a) = artifact {
            r.begin_use(a);
        }
        let attempt = self.attempts.insert(ActiveAttempt {
            replica: k,
            artifact,
            prefill_ms: cost.prefill_ms,
            kv_tokens,
            expected_ms: cost.time_ms,
            started: now,
            first_seen: false,
        });
        let minimum = match request.kind {
            RouteKind::Stream { .. } => MIN_STREAM_FAILOVER,
            RouteKind::Safe | RouteKind::Unsafe => MIN_PLAIN_FAILOVER,
        };
        Assignment {
            attempt,
            replica: k,
            id: r.id.clone(),
            address: r.address,
            version,
            failover_after: minimum.max(millis(cost.time_ms * FAILOVER_FACTOR)),
            expected_latency: millis(cost.time_ms),
            required_load: cost.load.clone(),
            limited: r.limit.is_limited(),
            software: r.software.clone(),
        }
    }

    /// Records that a load ordered by this host at a replica took `took`. Only loads from the
    /// weight store count for the estimate.
    pub fn record_load(&mut self, now: Tick, k: ReplicaKey, artifact: &str, took: Duration) {
        let cold = self.replicas.get(k).is_some_and(|r| !r.is_warm(artifact));
        if cold && artifact.contains('/') {
            self.load_time.record(now, took);
        }
    }

    /// Number of adapters that an engine should load at the same time.
    pub fn transfers(&self, now: Tick) -> usize {
        self.load_time.transfers(now)
    }

    /// Counts the time of an attempt from now, since it is sent only after a load.
    pub fn record_sent(&mut self, now: Tick, attempt: AttemptKey) {
        if let Some(x) = self.attempts.get_mut(attempt) {
            x.started = now;
        }
    }

    /// Records the first event of a stream.
    pub fn record_first(&mut self, now: Tick, attempt: AttemptKey) {
        let Some(x) = self.attempts.get_mut(attempt) else { return };
        if std::mem::replace(&mut x.first_seen, true) {
            return;
        }
        let took = now.since(x.started).as_secs_f64() * 1000.0;
        if let Some(r) = self.replicas.get_mut(x.replica) {
            r.local.prefill_ms = (r.local.prefill_ms - x.prefill_ms).max(0.0);
            let ratio = (took / x.expected_ms.max(STEP_MS)).clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN);
            r.slowdown = (r.slowdown + (ratio * r.slowdown - r.slowdown) * AVERAGE_WEIGHT)
                .clamp(1.0, MAX_SLOWDOWN);
        }
    }

    /// Replica of an attempt, none if it has ended.
    pub fn replica_of(&self, attempt: AttemptKey) -> Option<ReplicaKey> {
        self.attempts.get(attempt).map(|x| x.replica)
    }

    /// Ends an attempt. Returns whether its outcome ejects the replica.
    pub fn finish(&mut self, now: Tick, attempt: AttemptKey, outcome: Outcome) -> bool {
        let Some(x) = self.attempts.remove(attempt) else { return false };
        let Some(r) = self.replicas.get_mut(x.replica) else { return false };
        if !x.first_seen {
            r.local.prefill_ms = (r.local.prefill_ms - x.prefill_ms).max(0.0);
        }
        r.local.inflight -= 1;
        r.local.kv_tokens -= x.kv_tokens;
        if let Some(a) = x.artifact {
            r.end_use(a);
        }
        if r.local.inflight == 0 {
            // Discards the rounding errors that have added up.
            r.local.prefill_ms = 0.0;
        }
        if outcome == Outcome::Success && x.artifact.is_none() {
            let took = now.since(x.started).as_secs_f64() * 1000.0;
            let old = if r.latency_ms == 0.0 { took } else { r.latency_ms };
            r.latency_ms = old + (took - old) * AVERAGE_WEIGHT;
        }
        self.record_outcome(now, x.replica, outcome)
    }

    /// Records an outcome of a replica. Returns whether it ejects the replica.
    pub fn record_outcome(&mut self, now: Tick, k: ReplicaKey, outcome: Outcome) -> bool {
        let Some(r) = self.replicas.get(k) else { return false };
        let others = self.replicas.iter().filter(|(o, x)| *o != k && x.service == r.service);
        let ratios: Vec<_> = others.map(|(_, x)| x.health.failure_ratio()).collect();
        let baseline = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
        self.replicas.get_mut(k).is_some_and(|r| r.health.record(now, outcome, baseline))
    }

    /// Requests and cached blocks of this host for its next digest. Blocks are repeated once in
    /// case a datagram is lost.
    pub fn digest_entries(&mut self) -> (Vec<ReplicaLoad>, Vec<CachedBlock>) {
        let loaded = self.replicas.iter().filter(|(_, r)| r.local.inflight > 0);
        let loads = loaded.map(|(_, r)| ReplicaLoad {
            replica: r.id_hash,
            prefill_ms: r.local.prefill_ms as u32,
            inflight: u16::try_from(r.local.inflight).unwrap_or(u16::MAX),
            kv_thousands: u16::try_from(r.local.kv_tokens / 1000).unwrap_or(u16::MAX),
            artifacts: r.local_artifacts(),
        });
        let loads = loads.collect();
        let fresh = std::mem::take(&mut self.cached[0]);
        let mut cached = std::mem::replace(&mut self.cached[1], fresh.clone());
        cached.extend(fresh);
        (loads, cached)
    }
}

// Number in 0..1 that depends only on `parts`.
fn hash_fraction(parts: &[&str]) -> f64 {
    (hash(parts) >> 11) as f64 / (1u64 << 53) as f64
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

// Time after which the caller may retry: when the excess work is done, if it is known.
fn retry_after(now: Tick, request: &ReplicaRequest, excess: Option<f64>) -> Duration {
    let most = request.remaining(now) / RETRY_AFTER_DIVISOR;
    let wanted = excess.map_or(MIN_RETRY_AFTER * 2, millis);
    wanted.clamp(MIN_RETRY_AFTER.min(most), most.max(Duration::from_millis(1)))
}
