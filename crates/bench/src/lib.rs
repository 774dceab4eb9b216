//! Experiments with yuccawing on one machine: a fleet of real processes, a fault-injecting proxy
//! between them, open-loop load, metrics, and a checker of the system's guarantees.

pub mod baseline;
pub mod checker;
pub mod client;
pub mod cmd;
pub mod driver;
pub mod experiment;
pub mod fleet;
pub mod metrics;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod results;
pub mod scenario;
pub mod soak;
pub mod trace;
pub mod usage;

mod error;

pub use error::{Error, Result};

/// Returns the time in microseconds since the Unix epoch. All processes of an experiment run on one
/// machine, so times of the driver and of the stand-ins' journals can be compared.
pub fn now_us() -> u64 {
    let d = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
