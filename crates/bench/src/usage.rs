//! Measures CPU, memory and network use of hosts, from `/proc` and the proxy's byte counts.

use std::{collections::BTreeMap, fs};

use serde::{Deserialize, Serialize};

use crate::proxy::LinkTraffic;

/// CPU, memory and network use of a host during the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Seconds between its first and its last reading.
    pub seconds: f64,
    /// Share of one core by thread name.
    pub threads: BTreeMap<String, f64>,
    /// Share of one core for all threads; above 1 if more than a core is used.
    pub cpu: f64,
    /// Largest resident set size in kilobytes.
    pub rss_kb: u64,
    /// Bytes per second exchanged with peers, both directions.
    pub peer_bytes: f64,
    /// Bytes per second exchanged with the platform, both directions.
    pub platform_bytes: f64,
    /// Bytes per second exchanged with upstreams, both directions.
    pub upstream_bytes: f64,
}

/// CPU and memory of a process at one time.
#[derive(Clone, Debug, Default)]
pub struct ProcessReading {
    /// CPU time so far in clock ticks, by thread name.
    pub ticks: BTreeMap<String, u64>,
    /// Resident set size in kilobytes.
    pub rss_kb: u64,
}

/// Reads CPU and memory of a process, or `None` if it has ended.
pub fn read_process(pid: u32) -> Option<ProcessReading> {
    let mut out = ProcessReading::default();
    for task in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else { continue };
        if let Some((name, ticks)) = thread_ticks(&stat) {
            *out.ticks.entry(name).or_default() += ticks;
        }
    }
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    out.rss_kb = rss.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    Some(out)
}

/// Parses the name and the CPU ticks of a thread. Worker numbers at the end of the name are
/// removed, so that the workers of a pool are summed.
fn thread_ticks(stat: &str) -> Option<(String, u64)> {
    let (head, rest) = stat.rsplit_once(')')?;
    let name = head.split_once('(')?.1;
    let name = name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-' || c == ':');
    // Of the fields after the name, the state is the 1st; user and system time are the 12th and
    // 13th.
    let fields: Vec<_> = rest.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    Some((name.to_owned(), ticks(11)? + ticks(12)?))
}

/// Returns the CPU time between two readings as shares of one core, by thread name.
pub fn cpu_shares(
    from: &ProcessReading,
    to: &ProcessReading,
    seconds: f64,
) -> BTreeMap<String, f64> {
    let hz = rustix::param::clock_ticks_per_second() as f64;
    let share = |(name, t): (&String, &u64)| {
        let before = from.ticks.get(name).copied().unwrap_or(0);
        (name.clone(), t.saturating_sub(before) as f64 / hz / seconds)
    };
    to.ticks.iter().map(share).collect()
}

/// Bytes that a host has exchanged so far, both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostTraffic {
    /// With peers.
    pub peer: u64,
    /// With the platform.
    pub platform: u64,
    /// With upstreams.
    pub upstream: u64,
}

/// Sums the bytes of a host over all connections of the proxy, which are keyed by source and
/// target; `is_host` recognises names of hosts.
pub fn traffic_bytes(
    all: &BTreeMap<(String, String), LinkTraffic>,
    host: &str,
    is_host: impl Fn(&str) -> bool,
) -> HostTraffic {
    let mut out = HostTraffic::default();
    for ((from, to), t) in all {
        let n = t.sent + t.received;
        match (from == host, to.as_str()) {
            (true, "config" | "list") => out.platform += n,
            (true, to) if is_host(to) => out.peer += n,
            (true, _) => out.upstream += n,
            (false, to) if to == host => out.peer += n,
            _ => {}
        }
    }
    out
}
