//! CPU, memory and bytes of hosts, from `/proc` and the proxy.

use std::{collections::BTreeMap, fs};

use serde::{Deserialize, Serialize};

use crate::proxy::Traffic;

/// Use of the machine by a host in the measured time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Seconds in which it was observed.
    pub seconds: f64,
    /// Share of one core, by name of thread.
    pub threads: BTreeMap<String, f64>,
    /// Share of one core, all threads.
    pub cpu: f64,
    /// Largest resident memory in kilobytes.
    pub rss_kb: u64,
    /// Bytes per second exchanged with peers, both directions.
    pub peer_bytes: f64,
    /// Bytes per second exchanged with the platform, both directions.
    pub platform_bytes: f64,
    /// Bytes per second exchanged with upstreams, both directions.
    pub upstream_bytes: f64,
}

/// A reading of a process.
#[derive(Clone, Debug, Default)]
pub struct ProcessReading {
    /// CPU ticks by name of thread.
    pub ticks: BTreeMap<String, u64>,
    /// Resident memory in kilobytes.
    pub rss_kb: u64,
}

/// Reads a process; none if it has ended.
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

/// Name and CPU ticks of a thread. Numbers at the end of a name count workers; they are cut off.
fn thread_ticks(stat: &str) -> Option<(String, u64)> {
    let (head, rest) = stat.rsplit_once(')')?;
    let name = head.split_once('(')?.1;
    let name = name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-' || c == ':');
    // The fields after the name: state is the 1st, user and system time the 12th and 13th.
    let fields: Vec<_> = rest.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    Some((name.to_owned(), ticks(11)? + ticks(12)?))
}

/// Difference of two readings as shares of one core.
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

/// Bytes of a host so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostTraffic {
    /// With peers.
    pub peer: u64,
    /// With the platform.
    pub platform: u64,
    /// With upstreams.
    pub upstream: u64,
}

/// Bytes of a host among all traffic; `is_host` tells names of hosts.
pub fn traffic_bytes(
    all: &BTreeMap<(String, String), Traffic>,
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
