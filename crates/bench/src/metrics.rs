//! Computes the four metrics (load stalls, batch efficiency, worst-served account, wrongful
//! refusals) from the driver's samples and the journals of the engine stand-ins.

mod bucket;
mod latency;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, HashSet};

pub use self::{
    bucket::{Decision, RefusalCheck, check_refusals},
    latency::{latency, percentile},
};
use crate::{
    checker::AccountLimits,
    client::{Executed, Outcome},
    fleet::JournalEntry,
    results::{
        AccountResult, BatchEfficiency, LoadStalls, Refusals, RequestCounts, Second, WorstAccount,
    },
    trace::Arrival,
};

/// Time that a request takes to reach an engine; it counts as waiting only after this.
const ROUTING_US: u64 = 10_000;

/// Error code of a refusal because of a rate limit.
const LIMITED_CODE: &str = "rate_limited";

/// Request of the trace with its outcome.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Request as generated.
    pub arrival: Arrival,
    /// Ordinal of the host that it was sent to.
    pub host: usize,
    /// Bytes of the prompt as sent, including the mark.
    pub prompt: usize,
    /// Response, with its times.
    pub outcome: Outcome,
}

/// Journal entries by engine.
pub type Journals = BTreeMap<String, Vec<JournalEntry>>;

impl Sample {
    /// Counts the tokens of the prompt as the engine stand-ins do: one per 4 bytes.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt as u64).div_ceil(4).max(1)
    }

    /// Returns the largest number of tokens that the request can use.
    pub fn reserved(&self) -> u64 {
        self.prompt_tokens() + self.arrival.max_tokens
    }

    /// Returns the tokens that the request uses if it is served.
    pub fn used(&self) -> u64 {
        self.prompt_tokens() + self.arrival.tokens
    }

    /// Returns whether the request was refused because of a rate limit.
    pub fn is_limited(&self) -> bool {
        self.outcome.code.as_deref() == Some(LIMITED_CODE)
    }

    fn is_completion(&self) -> bool {
        self.arrival.plain.is_none()
    }
}

/// Counts requests by outcome.
pub fn count_outcomes<'a>(samples: impl Iterator<Item = &'a Sample>) -> RequestCounts {
    let mut c = RequestCounts::default();
    for s in samples {
        c.sent += 1;
        match (s.outcome.is_ok(), s.outcome.run) {
            (true, _) => c.served += 1,
            (false, Some(Executed::NotRun)) => c.refused += 1,
            _ => c.failed += 1,
        }
    }
    c
}

/// Counts refusals and failures by error code.
pub fn count_codes(samples: &[Sample]) -> BTreeMap<String, u64> {
    let mut out = BTreeMap::new();
    for o in samples.iter().map(|s| &s.outcome).filter(|o| !o.is_ok()) {
        let code = match (&o.code, o.status) {
            (Some(c), _) => c.clone(),
            (None, Some(s)) => format!("status {s}"),
            (None, None) => "no connection".into(),
        };
        *out.entry(code).or_default() += 1;
    }
    out
}

/// Computes load stalls. A request stalled if the engine that ran it finished loading its instance
/// after the request was sent; the stall is the time between the two. Loads are counted if they
/// began in `span`.
pub fn load_stalls(samples: &[Sample], engines: &Journals, span: (u64, u64)) -> LoadStalls {
    let sent: HashMap<&str, u64> =
        samples.iter().map(|s| (s.outcome.mark.as_str(), s.outcome.sent_us)).collect();
    let mut waits = Vec::new();
    let mut loads = 0;
    for journal in engines.values() {
        let mut loading = HashSet::new();
        let mut loaded: HashMap<&str, u64> = HashMap::new();
        for e in journal {
            match (e.kind.as_str(), &e.code) {
                ("load_begin", _) => {
                    loads += u64::from((span.0..=span.1).contains(&e.at_us));
                    loading.insert(e.instance.as_str());
                }
                ("load", None) if loading.remove(e.instance.as_str()) => {
                    loaded.insert(&e.instance, e.at_us);
                }
                ("request", None) => {
                    let Some(sent) = sent.get(e.mark()) else { continue };
                    let at = loaded.get(e.instance.as_str()).copied().unwrap_or(0);
                    if at > *sent {
                        waits.push(at - sent);
                    }
                }
                _ => {}
            }
        }
    }
    let served = samples.iter().filter(|s| s.is_completion() && s.outcome.is_ok()).count();
    summarise_waits(waits, served as u64, loads)
}

/// Summarises waits in microseconds.
pub fn summarise_waits(mut waits: Vec<u64>, served: u64, loads: u64) -> LoadStalls {
    waits.sort_unstable();
    let sum: u64 = waits.iter().sum();
    LoadStalls {
        count: waits.len() as u64,
        p50_ms: percentile(&waits, 50.0) / 1000.0,
        p99_ms: percentile(&waits, 99.0) / 1000.0,
        seconds_per_1000: sum as f64 / 1e6 / served.max(1) as f64 * 1000.0,
        loads,
    }
}

/// Computes batch efficiency over the times at which at least one request waits for a batch slot.
pub fn batch_efficiency(
    samples: &[Sample],
    engines: &Journals,
    slots: u64,
    span: (u64, u64),
) -> Option<BatchEfficiency> {
    // Events by time: change in slots used and change in requests waiting.
    let mut steps: Vec<(u64, i64, i64)> = Vec::new();
    let mut begun: HashMap<&str, u64> = HashMap::new();
    for journal in engines.values() {
        let mut marks: HashMap<&str, &str> = HashMap::new();
        let mut running = HashSet::new();
        for e in journal {
            let id = e.request_id.as_deref().unwrap_or("");
            match e.kind.as_str() {
                "request" => drop(marks.insert(id, e.mark())),
                "begin" => {
                    running.insert(id);
                    steps.push((e.at_us, 1, 0));
                    if let Some(m) = marks.get(id) {
                        begun.entry(m).or_insert(e.at_us);
                    }
                }
                "end" if running.remove(id) => steps.push((e.at_us, -1, 0)),
                _ => {}
            }
        }
    }
    for s in samples.iter().filter(|s| s.is_completion()) {
        let o = &s.outcome;
        let end = begun.get(o.mark.as_str()).copied().unwrap_or(o.end_us);
        let start = o.sent_us + ROUTING_US;
        if end > start {
            steps.push((start, 0, 1));
            steps.push((end, 0, -1));
        }
    }
    steps.sort_unstable();
    let (mut used, mut waiting, mut last) = (0i64, 0i64, span.0);
    let (mut area, mut time) = (0u128, 0u64);
    for (at, u, w) in steps {
        let now = at.clamp(span.0, span.1);
        if waiting > 0 {
            let d = now.saturating_sub(last);
            time += d;
            area += u128::from(d) * used.max(0) as u128;
        }
        last = last.max(now);
        used += u;
        waiting += w;
    }
    (time > 0).then(|| BatchEfficiency {
        efficiency: area as f64 / (time as f64 * slots as f64),
        waiting_s: time as f64 / 1e6,
    })
}

/// Computes what each account offered and received over `seconds`.
pub fn account_results(
    samples: &[Sample],
    names: &[(String, AccountLimits)],
    seconds: f64,
) -> BTreeMap<String, AccountResult> {
    let one = |(i, (name, l)): (usize, &(String, AccountLimits))| {
        let own: Vec<_> =
            samples.iter().filter(|s| s.arrival.account == i && s.is_completion()).collect();
        let served = || own.iter().filter(|s| s.outcome.is_ok());
        let sum = |s: &mut dyn Iterator<Item = u64>| s.sum::<u64>();
        let offered = sum(&mut own.iter().map(|s| s.used()));
        let received = sum(&mut served().map(|s| s.used()));
        let allowed = (l.rate as f64 * seconds) as u64 + l.burst;
        let mut first: Vec<u64> =
            served().filter_map(|s| Some(s.outcome.first_us? - s.outcome.sent_us)).collect();
        first.sort_unstable();
        let r = AccountResult {
            sent: own.len() as u64,
            served: served().count() as u64,
            offered,
            allowed,
            received,
            ratio: received as f64 / offered.min(allowed).max(1) as f64,
            first_p99_ms: percentile(&first, 99.0) / 1000.0,
            refusals: Refusals::default(),
        };
        (name.clone(), r)
    };
    names.iter().enumerate().map(one).collect()
}

/// Finds the account with the lowest ratio of received to due tokens among those that sent
/// requests.
pub fn worst_account(accounts: &BTreeMap<String, AccountResult>) -> Option<WorstAccount> {
    let active = || accounts.iter().filter(|(_, a)| a.sent > 0);
    let (name, w) = active().min_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio))?;
    let mut p99: Vec<f64> = active().map(|(_, a)| a.first_p99_ms).filter(|p| *p > 0.0).collect();
    p99.sort_by(f64::total_cmp);
    let median = p99.get(p99.len() / 2).copied().unwrap_or(0.0);
    Some(WorstAccount {
        account: name.clone(),
        served: w.ratio,
        first_p99: if median > 0.0 { w.first_p99_ms / median } else { 0.0 },
    })
}

/// Counts requests for each second of the measurement, by send time or by end time.
pub fn timeline(
    samples: &[Sample],
    wrongful: &[u64],
    (from_us, until_us): (u64, u64),
) -> Vec<Second> {
    let n = (until_us.saturating_sub(from_us) / 1_000_000) as usize;
    let mut out = vec![Second::default(); n];
    let second = |at: u64| at.checked_sub(from_us).map(|d| (d / 1_000_000) as usize);
    for at in wrongful {
        if let Some(x) = second(*at).and_then(|i| out.get_mut(i)) {
            x.wrongful += 1;
        }
    }
    for s in samples {
        let o = &s.outcome;
        if let Some(x) = second(o.sent_us).and_then(|i| out.get_mut(i)) {
            x.sent += 1;
        }
        let Some(x) = second(o.end_us).and_then(|i| out.get_mut(i)) else { continue };
        if o.is_ok() {
            x.served += 1;
            x.tokens += s.arrival.tokens;
        } else if s.is_limited() {
            x.limited += 1;
        } else if o.run == Some(Executed::NotRun) {
            x.refused += 1;
        } else {
            x.failed += 1;
        }
    }
    out
}
