//! Randomized fault soak of real hosts on loopback, with an independent judge.
//!
//! Hosts run as processes on loopback addresses of their own. Their connections to the store and
//! the replicas go through the fault-injecting proxy; signals stop, pause and kill them. The judge
//! sees only what callers sent and got and what replicas saw.

pub mod caller;
pub mod chaos;
pub mod fleet;
pub mod history;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, time::Duration};

use crate::Result;

/// What a soak consists of.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Seed of all choices.
    pub seed: u64,
    /// Time with faults.
    pub duration: Duration,
    /// Host processes.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub plain: usize,
    /// Callers.
    pub callers: usize,
}

/// Outcome of one seed.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests with a complete success.
    pub served: usize,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Host processes started.
    pub processes: usize,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// Small generator, so that a seed gives the same choices with every release of every library.
#[derive(Clone, Debug)]
pub struct Xorshift(u64);

impl Xorshift {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 11) % n.max(1) as u64) as usize
    }

    /// A time between two bounds, in ms.
    pub fn duration_ms(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(low + self.below((high - low) as usize) as u64)
    }
}

/// Plays one seed.
///
/// # Errors
///
/// Processes or stand-ins cannot be started.
pub async fn run_seed(plan: SoakPlan) -> Result<SoakReport> {
    let mut fleet = fleet::SoakFleet::start(plan).await?;
    let callers = caller::start(&fleet, plan);
    let faults = chaos::run(&mut fleet, plan).await?;
    // Callers keep their connections until the processes are gone.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let requests = callers.finish().await;
    let history = fleet.history(requests);
    let served = history.requests.iter().filter(|r| r.is_complete()).count();
    let mut violations = history::check(&history);
    if served == 0 {
        violations.push("no request was served".to_owned());
    }
    Ok(SoakReport {
        requests: history.requests.len(),
        served,
        faults,
        processes: fleet.process_count,
        violations,
    })
}
