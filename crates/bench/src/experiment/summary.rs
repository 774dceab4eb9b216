//! Computes the result of a run from its record.

use std::collections::BTreeMap;

use yuccawing_core::rules::Class;

use super::RunRecord;
use crate::{
    baseline::{self, FleetSize},
    checker::AccountLimits,
    metrics::{self, Decision, Sample},
    results::{Baselines, Metrics, Refusals, RequestCounts, Results},
    scenario::Scenario,
};

/// Limit on the violations that a result describes.
const MAX_EXAMPLES: usize = 20;

/// Computes the result of a run: metrics, baselines, and violations found by the checker.
pub fn summarise(name: &str, s: &Scenario, r: RunRecord) -> Results {
    let RunRecord { samples, dropped, span, start_us, faults, usage, evidence } = r;
    let measured: Vec<Sample> =
        samples.iter().filter(|x| x.outcome.sent_us >= span.0).cloned().collect();
    let completions = || measured.iter().filter(|x| x.arrival.plain.is_none());
    let names: Vec<(String, AccountLimits)> = s
        .accounts
        .iter()
        .map(|a| (a.name.to_string(), AccountLimits { rate: a.rate, burst: a.burst }))
        .collect();
    let slots: u64 = s.engines.iter().map(|e| e.count as u64 * u64::from(e.batch)).sum();
    let mut accounts = metrics::account_results(&measured, &names, s.duration_s as f64);
    let mut refusals = Refusals::default();
    let mut wrongful = Vec::new();
    for (i, (account, limits)) in names.iter().enumerate() {
        // The reference bucket is empty at the start of traffic, like the buckets of the fleet.
        let check = metrics::check_refusals(&decisions(&samples, i), *limits, (start_us, span.0));
        add_refusals(&mut refusals, &check.refusals);
        wrongful.extend(check.wrongful);
        if let Some(a) = accounts.get_mut(account) {
            a.refusals = check.refusals;
        }
    }
    let violations = evidence.check();
    let mut count = BTreeMap::new();
    for v in &violations {
        *count.entry(format!("{:?}", v.guarantee)).or_default() += 1;
    }
    let example = |v: &crate::checker::Violation| {
        let at = (v.at_us as f64 - span.0 as f64) / 1e6;
        format!("{:?} at {at:.3} s: {}", v.guarantee, v.what)
    };
    Results {
        scenario: name.into(),
        note: s.note.clone(),
        seed: s.seed,
        debug_build: cfg!(debug_assertions),
        duration_s: s.duration_s,
        requests: RequestCounts { dropped, ..metrics::count_outcomes(completions()) },
        calls: metrics::count_outcomes(measured.iter().filter(|x| x.arrival.plain.is_some())),
        metrics: Metrics {
            stalls: metrics::load_stalls(&measured, &evidence.engines, span),
            batch: metrics::batch_efficiency(&measured, &evidence.engines, slots, span),
            worst: metrics::worst_account(&accounts),
            refusals,
        },
        accounts,
        latency: [Class::Status, Class::Interactive, Class::Drafting]
            .into_iter()
            .map(|c| {
                let of = completions().filter(|x| x.arrival.class == c);
                (format!("{c:?}").to_lowercase(), metrics::latency(of))
            })
            .filter(|(_, l)| l.count > 0)
            .collect(),
        baselines: baselines(s, &samples, &names, start_us, span.0),
        timeline: metrics::timeline(&measured, &wrongful, span),
        faults,
        violations: count,
        examples: violations.iter().take(MAX_EXAMPLES).map(example).collect(),
        codes: metrics::count_codes(&measured),
        usage,
    }
}

fn decisions(samples: &[Sample], account: usize) -> Vec<Decision> {
    let own = samples.iter().filter(|x| x.arrival.account == account && x.arrival.plain.is_none());
    own.map(|x| Decision {
        at_us: x.outcome.sent_us,
        end_us: x.outcome.end_us,
        reserved: x.reserved(),
        used: if x.outcome.is_ok() { x.used() } else { 0 },
        limited: x.is_limited(),
    })
    .collect()
}

fn baselines(
    s: &Scenario,
    samples: &[Sample],
    names: &[(String, AccountLimits)],
    start_us: u64,
    from_us: u64,
) -> Baselines {
    let mut out = Baselines::default();
    let hosts = s.hosts.len() as u64;
    for (i, (_, limits)) in names.iter().enumerate() {
        let own = || samples.iter().filter(|x| x.arrival.account == i && x.arrival.plain.is_none());
        let split =
            baseline::split_refusals(own(), *limits, (start_us, from_us), hosts, |x| x.host);
        let home = baseline::split_refusals(own(), *limits, (start_us, from_us), 1, |_| 0);
        add_refusals(&mut out.equal_split, &split);
        add_refusals(&mut out.home_host, &home);
    }
    let engines: usize = s.engines.iter().map(|e| e.count).sum();
    let slots: usize = s.engines.iter().map(|e| e.count * e.slots as usize).sum();
    let size = FleetSize {
        engines,
        slots: slots / engines.max(1),
        rate: s.store.rate,
        load_us: s.store.load_ms * 1000,
    };
    out.lru = baseline::lru_stalls(samples, size, from_us);
    out.clairvoyant_loads = baseline::clairvoyant_loads(samples, size, from_us);
    out
}

fn add_refusals(sum: &mut Refusals, x: &Refusals) {
    sum.requests += x.requests;
    sum.refused += x.refused;
    sum.wrongful += x.wrongful;
    sum.share = sum.wrongful as f64 / sum.requests.max(1) as f64;
}
