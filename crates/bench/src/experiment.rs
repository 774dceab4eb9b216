//! One run of a scenario: a fleet, open-loop load, faults at their times, and the result.

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
    driver::{Driver, Target},
    fleet::Fleet,
    metrics::Sample,
    now_us,
    proxy::Traffic,
    scenario::Scenario,
    trace::arrivals,
    usage::{self, HostTraffic, ProcessReading, Usage},
};

/// Time between readings of the hosts' CPU and memory.
const READING_INTERVAL: Duration = Duration::from_secs(1);

/// What a run recorded.
pub struct RunRecord {
    /// Requests of the measured time and of the warm-up.
    pub samples: Vec<Sample>,
    /// Requests that were not sent because too many were in flight.
    pub dropped: u64,
    /// Start and end of measuring in microseconds since the epoch.
    pub span: (u64, u64),
    /// When traffic started.
    pub start_us: u64,
    /// Faults as they were carried out.
    pub faults: Vec<(f64, String)>,
    /// Use of the machine by host.
    pub usage: BTreeMap<String, Usage>,
    /// What the checker sees.
    pub evidence: Evidence,
}

/// What the concurrent parts of a run share.
#[derive(Default)]
struct RunningHosts {
    /// Hosts that run, by name.
    hosts: RefCell<BTreeMap<String, RunningHost>>,
}

/// A host that runs.
#[derive(Clone)]
struct RunningHost {
    ordinal: usize,
    target: Target,
    pid: u32,
}

impl RunningHosts {
    fn refresh(&self, fleet: &Fleet) {
        let all = fleet.hosts().map(|h| {
            let host = RunningHost { ordinal: h.ordinal, target: Target::from(h), pid: h.pid() };
            (h.name.clone(), host)
        });
        *self.hosts.borrow_mut() = all.collect();
    }
}

/// Runs a scenario; settings and logs are copied to `logs`.
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
    let traffic = fleet.proxy()?.watch();
    let trace = arrivals(s);
    let (load, faults, usage) = tokio::join!(
        load::run(s, trace, start, driver.clone(), running.clone()),
        faults::run(s, begin, &mut fleet, &driver, &running),
        observe_usage(begin, end, &running, || traffic.traffic()),
    );
    let (samples, dropped) = load;
    if let Some(to) = logs {
        fleet.keep_logs(to)?;
    }
    let evidence = driver.evidence(&fleet).await?;
    Ok(RunRecord { samples, dropped, span, start_us, faults: faults?, usage, evidence })
}

/// Reads CPU, memory and bytes of all hosts between `begin` and `end`.
async fn observe_usage(
    begin: Instant,
    end: Instant,
    running: &RunningHosts,
    traffic: impl Fn() -> BTreeMap<(String, String), Traffic>,
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
