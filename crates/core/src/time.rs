//! Local monotonic time, and margins for the drift between the clocks of two hosts.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Largest assumed difference in rate of two hosts' monotonic clocks, in parts per thousand.
pub const MAX_DRIFT_PER_MILLE: u64 = 10;

/// Reading of this process's monotonic clock, in microseconds since an arbitrary start.
///
/// Ticks of different processes must not be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// Time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(micros(d)))
    }
}

impl Sub<Duration> for Tick {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(micros(d)))
    }
}

/// Whole microseconds of `d`, saturating.
pub fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// `d` less the largest clock drift: for how long the holder of a lease, loan or pin may use it.
pub fn minus_drift(d: Duration) -> Duration {
    Duration::from_micros(micros(d) / 1000 * (1000 - MAX_DRIFT_PER_MILLE))
}

/// `d` plus the largest clock drift: for how long the granter of a lease, loan or pin must wait.
pub fn plus_drift(d: Duration) -> Duration {
    Duration::from_micros(micros(d).div_ceil(1000).saturating_mul(1000 + MAX_DRIFT_PER_MILLE))
}
