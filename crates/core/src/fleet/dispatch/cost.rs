//! Expected time to the first event at one replica, and what else its choice costs.

use super::{Dispatcher, OVERLOAD_COST_MS, STEP_MS, hash_fraction};
use crate::fleet::{
    config::EngineSpec, hash32, replicas::Replica, report::Resident, request::InferenceSpec,
};

/// Prefill speed of an engine, from the platform's data sheet.
const PREFILL_TOKENS_PER_MS: f64 = 38.7;

/// Additional prefill time per million token pairs (attention), from the platform's data sheet.
const MS_PER_MILLION_PAIRS: f64 = 0.737;

/// Cost of a load from the weight store, in ms: it slows down other loads and takes a slot that
/// another adapter needs.
const COLD_LOAD_COST_MS: f64 = 250.0;

/// Cost of a load from the memory of the engine's machine, in ms, for the slot that it takes.
const WARM_LOAD_COST_MS: f64 = 60.0;

/// Time of a load from the memory of the engine's machine, in ms.
const WARM_LOAD_MS: f64 = 60.0;

/// Cost in ms of an engine that is none of the preferred ones for an adapter that is resident
/// nowhere. All hosts prefer the same engines, so that requests for one adapter share a load, and
/// its later loads find it in memory.
const AFFINITY_COST_MS: f64 = 120.0;

/// Number of engines that are preferred for an adapter, with rising costs.
const PREFERRED_ENGINES: f64 = 3.0;

/// Cost in ms of a load that takes the last free adapter slot. Hosts learn late of each other's
/// loads, and a load beyond the last slot is refused.
const LAST_SLOT_COST_MS: f64 = 60.0;

/// Fraction of the KV cache above which an engine preempts streams.
const MAX_KV_SHARE: f64 = 0.9;

/// Assumed duration of a plain request before any was measured, in ms.
const DEFAULT_PLAIN_MS: f64 = 40.0;

// What is known of loads from the weight store.
#[derive(Clone, Copy)]
pub(super) struct Loads {
    pub(super) cold_ms: f64,
    // Loads at the same time at one engine.
    pub(super) transfers: usize,
}

pub(super) struct Cost {
    // Expected time to the first event.
    pub(super) time_ms: f64,
    // Added to the time when replicas are compared.
    pub(super) preference_ms: f64,
    pub(super) prefill_ms: f64,
    pub(super) uncached: u32,
    pub(super) load: Option<Resident>,
}

pub(super) fn plain_cost(r: &Replica) -> Cost {
    let total = r.total_load();
    let work = if r.latency_ms == 0.0 { DEFAULT_PLAIN_MS } else { r.latency_ms };
    let rounds = f64::from(total.inflight) / f64::from(r.slots.max(1));
    // Replicas slow down before they are full, so an idle one is preferred.
    let time_ms = work * (1.0 + rounds);
    Cost { time_ms, preference_ms: 0.0, prefill_ms: 0.0, uncached: 0, load: None }
}

/// Prefill time in ms of a prompt of which `uncached` tokens are not in the prefix cache.
pub fn prefill_ms(uncached: u32, prompt: u32) -> f64 {
    let (prompt, cached) = (f64::from(prompt), f64::from(prompt - uncached));
    let pairs = (prompt * prompt - cached * cached) / 2.0;
    f64::from(uncached) / PREFILL_TOKENS_PER_MS + pairs / 1e6 * MS_PER_MILLION_PAIRS
}

impl Dispatcher {
    // Cost of an engine out of `engines`, none if it cannot serve the request.
    pub(super) fn engine_cost(
        &self,
        r: &Replica,
        spec: &EngineSpec,
        inference: &InferenceSpec,
        loads: Loads,
        engines: usize,
    ) -> Option<Cost> {
        let model = inference.artifact.split('/').next().unwrap_or_default();
        if !r.residents.contains_key(model) {
            return None;
        }
        let total = r.total_load();
        let uncached = inference.prompt_tokens - r.cached_tokens(inference, spec.kv_tokens);
        let prefill_ms = prefill_ms(uncached, inference.prompt_tokens);
        let mut load = None;
        let (mut load_ms, mut preference_ms) = (0.0, 0.0);
        if !self.is_resident(r, &inference.artifact) {
            let outdated = r.residents.contains_key(&inference.artifact);
            let in_use = r.in_use(hash32(&[&inference.artifact]));
            if !r.orderable || inference.artifact == model || (outdated && in_use) {
                return None;
            }
            // An adapter in use cannot be evicted.
            let used = r.used_artifacts();
            let limit = spec.adapter_limit(r.residents.keys().map(|a| a.as_str()));
            if limit == 0 || (!in_use && used >= limit) {
                return None;
            }
            let warm = r.is_warm(&inference.artifact) && !outdated;
            let rounds = (1 + r.loading as usize / loads.transfers) as f64;
            load_ms = rounds * if warm { WARM_LOAD_MS } else { loads.cold_ms };
            // A request that waits for the same load has paid for it.
            if !in_use {
                let affinity = hash_fraction(&[&inference.artifact, &r.id]) * engines as f64;
                preference_ms = (affinity / PREFERRED_ENGINES).min(1.0) * AFFINITY_COST_MS;
                preference_ms += if warm { WARM_LOAD_COST_MS } else { COLD_LOAD_COST_MS };
                let taken = (used + 1) as f64 / limit as f64;
                preference_ms += taken * taken * LAST_SLOT_COST_MS;
            }
            load = Some(Resident {
                artifact: inference.artifact.clone(),
                version: self.newest_version(&inference.artifact).unwrap_or(0),
            });
        }
        // The request is sent after its load and then waits in the engine's queue like any other.
        let mut time_ms = load_ms + (total.prefill_ms + prefill_ms) * r.slowdown + STEP_MS;
        if total.inflight >= r.slots {
            time_ms += OVERLOAD_COST_MS;
        }
        let kv_tokens =
            total.kv_tokens + u64::from(inference.prompt_tokens + inference.output_tokens);
        if kv_tokens as f64 > f64::from(spec.kv_tokens) * MAX_KV_SHARE {
            time_ms += OVERLOAD_COST_MS;
        }
        Some(Cost { time_ms, preference_ms, prefill_ms, uncached, load })
    }
}
