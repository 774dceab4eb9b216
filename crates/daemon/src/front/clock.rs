//! Clocks of the process: monotonic time for decisions, and Unix time for identifiers.

use nix::time::{ClockId, clock_gettime};
use yuccawing_core::time::Tick;

/// Current monotonic time. This clock also counts time in which the machine was suspended, so that
/// a process that resumes sees the true age of its ownership and its data.
pub fn now() -> Tick {
    #[expect(clippy::expect_used, reason = "the kernel is Linux 2.6.39 or later")]
    let t = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
    let micros = t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1000;
    Tick(micros)
}

/// Unix time in milliseconds. It may step, so it serves only for numbers that identify processes.
pub fn unix_ms() -> u64 {
    #[expect(clippy::expect_used, reason = "each kernel has this clock")]
    let t = clock_gettime(ClockId::CLOCK_REALTIME).expect("Linux has CLOCK_REALTIME");
    t.tv_sec() as u64 * 1000 + t.tv_nsec() as u64 / 1_000_000
}
