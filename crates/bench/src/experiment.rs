//! Runs a scenario: starts the fleet, sends open-loop load, injects the faults and measures.

mod faults;
mod load;
mod summary;

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    path::Path,
    rc::Rc,
    time::Duration,
};

use tokio::time::{Instant, sleep_until};

pub use self::summary::summarise;
use crate::{
    Result,
    checker::Evidence,
    driver::{Driver, TargetHost},
    fleet::Fleet,
    metrics::Sample,
    now_us,
    proxy::LinkTraffic,
    scenario::Scenario,
    trace::arrivals,
    usage::{self, HostTraffic, ProcessReading, Usage},
};

/// Interval between readings of the hosts' CPU and memory.
const READING_INTERVAL: Duration = Duration::from_secs(1);

/// Data recorded during a run, from which the result is computed.
pub struct RunRecord {
    /// Requests of the warm-up and of the measurement.
    pub samples: Vec<Sample>,
    /// Number of requests that were not sent because too many were in flight.
    pub dropped: u64,
    /// Start and end of the measurement in microseconds since the Unix epoch.
    pub span: (u64, u64),
    /// Start of traffic in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Faults with the seconds after the start of the measurement at which they took effect.
    pub faults: Vec<(f64, String)>,
    /// CPU, memory and network use by host.
    pub usage: BTreeMap<String, Usage>,
    /// Input of the checker.
    pub evidence: Evidence,
}

/// Running hosts, shared by the load generator, the fault injection and the usage readings.
#[derive(Default)]
struct RunningHosts {
    /// Hosts by name.
    hosts: RefCell<BTreeMap<String, RunningHost>>,
}

#[derive(Clone)]
struct RunningHost {
    ordinal: usize,
    target: TargetHost,
    pid: u32,
}

impl RunningHosts {
    fn refresh(&self, fleet: &Fleet) {
        let all = fleet.hosts().map(|h| {
            let host =
                RunningHost { ordinal: h.ordinal, target: TargetHost::from(h), pid: h.pid() };
            (h.name.clone(), host)
        });
        *self.hosts.borrow_mut() = all.collect();
    }
}

/// Runs a scenario and copies the settings and logs of all processes to `logs`.
///
/// # Errors
///
/// The fleet does not start, or a stand-in does not answer.
pub async fn run(s: &Scenario, logs: Option<&Path>) -> Result<RunRecord> {
    let mut fleet = Fleet::start(s.plan()).await?;
    let driver = Rc::new(Driver::new(&fleet));
    let running = Rc::new(RunningHosts::default());
    running.refresh(&fleet);
    let start = Instant::now();
    let start_us = now_us();
    let begin = start + s.warmup();
    let end = begin + s.duration();
    let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    let span = (start_us + us(s.warmup()), start_us + us(s.warmup() + s.duration()));
    let traffic = fleet.proxy()?.meter();
    let trace = arrivals(s);
    let (load, faults, usage) = tokio::join!(
        load::run(s, trace, start, driver.clone(), running.clone()),
        faults::run(s, begin, &mut fleet, &driver, &running),
        observe_usage(begin, end, &running, || traffic.traffic()),
    );
    let (samples, dropped) = load;
    if let Some(to) = logs {
        fleet.copy_logs(to)?;
    }
    let evidence = driver.evidence(&fleet).await?;
    Ok(RunRecord { samples, dropped, span, start_us, faults: faults?, usage, evidence })
}

/// Reads CPU, memory and network use of all hosts between `begin` and `end`.
async fn observe_usage(
    begin: Instant,
    end: Instant,
    running: &RunningHosts,
    traffic: impl Fn() -> BTreeMap<(String, String), LinkTraffic>,
) -> BTreeMap<String, Usage> {
    struct Host {
        from: (Instant, ProcessReading, HostTraffic),
        to: (Instant, ProcessReading, HostTraffic),
        rss_kb: u64,
    }
    let mut hosts: HashMap<String, Host> = HashMap::new();
    let mut next = begin;
    while next <= end {
        sleep_until(next).await;
        next += READING_INTERVAL;
        let now = Instant::now();
        let current = running.hosts.borrow().clone();
        let all = traffic();
        for (name, host) in &current {
            let Some(r) = usage::read_process(host.pid) else { continue };
            let is_host = |n: &str| n.starts_with('h') && !n.ends_with(".http");
            let b = usage::traffic_bytes(&all, name, is_host);
            let rss_kb = r.rss_kb;
            let reading = (now, r, b);
            let h = hosts.entry(name.clone()).or_insert_with(|| Host {
                from: reading.clone(),
                to: reading.clone(),
                rss_kb,
            });
            h.rss_kb = h.rss_kb.max(rss_kb);
            h.to = reading;
        }
    }
    let one = |(name, h): (String, Host)| {
        let seconds = (h.to.0 - h.from.0).as_secs_f64().max(f64::EPSILON);
        let threads = usage::cpu_shares(&h.from.1, &h.to.1, seconds);
        let rate = |f: fn(&HostTraffic) -> u64| (f(&h.to.2) - f(&h.from.2)) as f64 / seconds;
        let u = Usage {
            seconds,
            cpu: threads.values().sum(),
            threads,
            rss_kb: h.rss_kb,
            peer_bytes: rate(|b| b.peer),
            platform_bytes: rate(|b| b.platform),
            upstream_bytes: rate(|b| b.upstream),
        };
        (name, u)
    };
    hosts.into_iter().map(one).collect()
}
