//! Randomized soak test: real host processes on loopback under seeded faults.
//!
//! Each host has its own loopback address. Connections to the store and to the replicas pass
//! through the fault-injecting proxy, and signals stop, pause and kill hosts. The checker in
//! [`history`] knows only what callers sent and received and what replicas received, not the hosts'
//! decisions.

pub mod caller;
pub mod chaos;
pub mod fleet;
pub mod history;
pub mod limits;
mod starve;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, time::Duration};

use crate::Result;

/// Size, length and seed of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of host processes.
    pub hosts: usize,
    /// Number of engine replicas.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub plain: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Whether hosts are also kept from the store while digests reach them late.
    pub starve: bool,
}

/// Result of one seed.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests with a complete successful response.
    pub served: usize,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Host processes started, restarts included.
    pub processes: usize,
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
}

/// Xorshift generator; unlike a library's, its sequence for a seed never changes with an upgrade.
#[derive(Clone, Debug)]
pub struct Xorshift(u64);

impl Xorshift {
    /// Creates a generator; the state is made odd, since xorshift cannot leave state 0.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 11) % n.max(1) as u64) as usize
    }

    /// Returns a duration of `low` to `high` - 1 ms.
    pub fn duration_ms(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(low + self.below((high - low) as usize) as u64)
    }
}

/// Runs the soak of one seed and checks its history.
///
/// # Errors
///
/// A host process or a stand-in cannot be started.
pub async fn run_seed(plan: SoakPlan) -> Result<SoakReport> {
    let mut fleet = fleet::SoakFleet::start(plan).await?;
    let callers = caller::start(&fleet, plan);
    let faults = chaos::run(&mut fleet, plan).await?;
    // Callers go on for a moment after the last fault is reverted, on connections that stay open.
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
