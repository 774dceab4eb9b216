//! Generates the arrivals of a scenario, reproducibly from its seed.

#[cfg(test)]
mod tests;

use std::time::Duration;

use yuccawing_core::rules::Class;

use crate::scenario::{PlainKind, Scenario, Traffic};

/// Fraction of the adapters by which a shift rotates the popularity ranking.
const SHIFT_FRACTION: f64 = 0.37;

/// Generated request with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the start of traffic.
    pub at: Duration,
    /// Index of the account.
    pub account: usize,
    /// Ordinal of the host that the caller prefers.
    pub host: usize,
    /// Service class.
    pub class: Class,
    /// Index of the adapter.
    pub adapter: usize,
    /// Index of the adapter version.
    pub version: usize,
    /// Bytes of the prompt.
    pub prompt: usize,
    /// Tokens of the completion.
    pub tokens: u64,
    /// Limit on the tokens of the completion that the request states.
    pub max_tokens: u64,
    /// Time after sending within which the request must end.
    pub deadline: Duration,
    /// Route of a call to a plain service, or `None` for a completion.
    pub plain: Option<PlainKind>,
}

/// Pseudo-random number generator (SplitMix64).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator; equal seeds give equal numbers.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns 64 random bits.
    fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a uniform number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniform integer below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        (self.unit() * n as f64) as usize
    }

    /// Returns an exponentially distributed gap in seconds, for a mean rate per second.
    fn exponential(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }
}

/// Zipf distribution over ranks, as cumulative weights.
struct Zipf(Vec<f64>);

impl Zipf {
    fn new(n: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weight = |i: usize| (i as f64 + 1.0).powf(-exponent);
        Self(
            (0..n)
                .map(|i| {
                    sum += weight(i);
                    sum
                })
                .collect(),
        )
    }

    fn draw(&self, r: &mut Random) -> usize {
        let x = r.unit() * self.0.last().copied().unwrap_or(0.0);
        self.0.partition_point(|c| *c <= x).min(self.0.len().saturating_sub(1))
    }
}

/// Generates all arrivals of a scenario, sorted by time.
pub fn arrivals(s: &Scenario) -> Vec<Arrival> {
    let mut out = Vec::new();
    for (i, a) in s.accounts.iter().enumerate() {
        for (j, t) in a.traffic.iter().enumerate() {
            // Each request stream has its own generator, so a change to one does not alter the
            // others.
            let seed = s.seed.wrapping_mul(0x0100_0000_01b3) ^ ((i as u64) << 32 | j as u64);
            add_traffic(s, i, t, &mut Random::new(seed), &mut out);
        }
    }
    out.sort_by_key(|a| a.at);
    out
}

fn add_traffic(s: &Scenario, account: usize, t: &Traffic, r: &mut Random, out: &mut Vec<Arrival>) {
    let warmup = s.warmup_s as f64;
    let end = warmup + t.until_s.unwrap_or(s.duration_s as f64);
    let mut at = t.from_s.map_or(0.0, |f| warmup + f);
    let n = s.adapters.count(t.class);
    let zipf = Zipf::new(n, s.adapters.zipf);
    if t.rate <= 0.0 {
        return;
    }
    loop {
        at += r.exponential(t.rate);
        if at >= end {
            return;
        }
        let hosts = s.hosts.len();
        let home = r.unit() < s.skew;
        let spread = r.below(hosts);
        let rank = zipf.draw(r);
        let shifts = s.adapters.shifts_s.iter().filter(|x| warmup + **x <= at).count();
        // Each account has its own most popular adapters.
        let offset =
            n * account / s.accounts.len() + (shifts as f64 * SHIFT_FRACTION * n as f64) as usize;
        let spread_tokens = (r.unit() * t.tokens as f64) as u64;
        let tokens = (t.tokens / 2 + spread_tokens).clamp(1, t.max_tokens.max(1));
        out.push(Arrival {
            at: Duration::from_secs_f64(at),
            account,
            host: if home { account % hosts } else { spread },
            class: t.class,
            adapter: s.adapters.first_index(t.class) + (rank + offset).checked_rem(n).unwrap_or(0),
            version: r.below(s.adapters.versions.len()),
            prompt: t.prompt,
            tokens,
            max_tokens: t.max_tokens,
            deadline: Duration::from_millis(t.deadline_ms),
            plain: t.plain,
        });
    }
}
