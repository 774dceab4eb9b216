//! Local monotonic time.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Largest rate by which two hosts' monotonic clocks may differ, in parts per thousand.
pub const MAX_DRIFT_PER_MILLE: u64 = 10;

/// A reading of this process's own monotonic clock, in microseconds since an arbitrary start.
///
/// Ticks of two processes must not be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// Time since `earlier`, zero when `earlier` is later than `self`.
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

/// `d` shortened by the stated clock drift: what the side that uses an authority counts.
pub fn minus_drift(d: Duration) -> Duration {
    Duration::from_micros(micros(d) / 1000 * (1000 - MAX_DRIFT_PER_MILLE))
}

/// `d` lengthened by the stated clock drift: what the side that granted an authority waits.
pub fn plus_drift(d: Duration) -> Duration {
    Duration::from_micros(micros(d).div_ceil(1000).saturating_mul(1000 + MAX_DRIFT_PER_MILLE))
}
