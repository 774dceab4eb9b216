//! `yuccabench capacity`: measures what control work costs a host as the fleet grows.

use std::{collections::BTreeMap, fs, path::PathBuf, time::Duration};

use argh::FromArgs;
use serde::Serialize;
use yuccawing_core::rules::Rules;

use crate::{Error, Result, fleet::Fleet, plan::FleetPlan};

/// Measure the control work of idle hosts at several sizes and fit a line through the points of
/// each sweep. Takes about 20 s for each of its 15 points.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Args {
    /// seconds per point
    #[argh(option, default = "8")]
    seconds: u64,
    /// sweep to run: hosts, adapters, engines, accounts or changes; all if not given
    #[argh(option)]
    sweep: Option<String>,
    /// file for the JSON result; standard output if not given
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Wait between the start of the fleet and the measurement, in which the initial loads end.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Unit of the CPU times in `/proc/PID/stat`; fixed at 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size that is varied while the others stay fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sweep {
    Hosts,
    Adapters,
    Engines,
    Accounts,
    Changes,
}

impl Sweep {
    const ALL: [Self; 5] =
        [Self::Hosts, Self::Adapters, Self::Engines, Self::Accounts, Self::Changes];

    fn name(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Adapters => "adapters",
            Self::Engines => "engines",
            Self::Accounts => "accounts",
            Self::Changes => "changes",
        }
    }

    // The sizes of `changes` are tenths of a change per second.
    fn sizes(self) -> [u64; 3] {
        match self {
            Self::Hosts => [3, 5, 7],
            Self::Adapters => [1_000, 5_000, 21_000],
            Self::Engines => [4, 20, 55],
            Self::Accounts => [5, 100, 1_000],
            Self::Changes => [0, 2, 20],
        }
    }
}

/// Cost of control work per host, the mean over all hosts.
#[derive(Clone, Copy, Debug, Serialize)]
struct Cost {
    /// The varied size.
    size: f64,
    /// Percent of a core.
    cpu: f64,
    /// Resident memory in MB.
    memory: f64,
    /// Bytes per second exchanged with peers, both directions.
    peers: f64,
    /// Bytes per second exchanged with the platform, both directions.
    platform: f64,
    /// Bytes per second exchanged with engines, both directions.
    engines: f64,
}

/// Line fitted through the points of a sweep.
#[derive(Clone, Copy, Debug, Serialize)]
struct Line {
    /// Value at size 0.
    base: f64,
    /// Increase per unit of size.
    slope: f64,
    /// Largest absolute distance of a point from the line.
    residual: f64,
}

type Column = fn(&Cost) -> f64;

#[derive(Debug, Serialize)]
struct Fit {
    points: Vec<Cost>,
    lines: BTreeMap<&'static str, Line>,
}

/// Runs the chosen sweeps and writes the result as JSON.
///
/// # Errors
///
/// A fleet does not start, `/proc` cannot be read, or the sweep is unknown.
pub async fn run(args: Args) -> Result<()> {
    let chosen = |s: &Sweep| args.sweep.as_deref().is_none_or(|n| n == s.name());
    let mut fits = BTreeMap::new();
    for sweep in Sweep::ALL.into_iter().filter(chosen) {
        let mut points = Vec::new();
        for size in sweep.sizes() {
            let cost = measure(sweep, size, args.seconds).await?;
            eprintln!("{} {size}: {cost:?}", sweep.name());
            points.push(cost);
        }
        fits.insert(sweep.name(), fit_lines(points));
    }
    if fits.is_empty() {
        return Err(Error::UnknownName(args.sweep.unwrap_or_default()));
    }
    let text = serde_json::to_string_pretty(&fits)?;
    match args.out {
        Some(file) => fs::write(&file, text).map_err(|e| Error::File(file, e)),
        None => {
            println!("{text}");
            Ok(())
        }
    }
}

async fn measure(sweep: Sweep, size: u64, seconds: u64) -> Result<Cost> {
    let at = |s: Sweep, default: u64| if s == sweep { size } else { default };
    let mut plan = FleetPlan::new(u8::try_from(at(Sweep::Hosts, 5)).unwrap_or(7))
        .no_engines()
        .adapters(usize::try_from(at(Sweep::Adapters, 1_000)).unwrap_or(1_000))
        .proxied();
    for i in 0..at(Sweep::Engines, 12) {
        plan = plan.engine(|e| e.fencing = i % 2 == 0);
    }
    for i in 0..at(Sweep::Accounts, 5) {
        plan = plan.account(&format!("account{i}"), 10_000, 20_000);
    }
    let mut fleet = Fleet::start(plan).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = read_totals(&fleet)?;
    let changes = at(Sweep::Changes, 0);
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds);
    match changes {
        0 => tokio::time::sleep_until(end).await,
        tenths => {
            let mut round = 0;
            while tokio::time::Instant::now() < end {
                let next =
                    tokio::time::Instant::now() + Duration::from_secs_f64(10.0 / tenths as f64);
                round += 1;
                fleet.publish(|r| add_version(r, round)).await?;
                tokio::time::sleep_until(next.min(end)).await;
            }
        }
    }
    let after = read_totals(&fleet)?;
    Ok(cost_per_host(
        if sweep == Sweep::Changes { size as f64 / 10.0 } else { size as f64 },
        seconds,
        &before,
        &after,
    ))
}

// Adds a version to one adapter, the most frequent kind of change.
fn add_version(rules: &mut Rules, round: usize) {
    let n = rules.adapters.len().max(1);
    if let Some(a) = rules.adapters.values_mut().nth(round * 7 % n) {
        a.versions.push(format!("c{round}").into());
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    hosts: f64,
    ticks: f64,
    memory: f64,
    peers: f64,
    platform: f64,
    engines: f64,
}

fn read_totals(fleet: &Fleet) -> Result<Totals> {
    let mut s = Totals::default();
    let names: Vec<String> = fleet.hosts().map(|h| h.name.clone()).collect();
    for n in &names {
        let pid = fleet.pid(n)?;
        s.hosts += 1.0;
        s.ticks += cpu_ticks(pid)?;
        s.memory += memory_mb(pid)?;
    }
    for ((from, to), t) in fleet.proxy()?.traffic() {
        let bytes = (t.sent + t.received) as f64;
        if !names.contains(&from) {
            continue;
        }
        if names.contains(&to) {
            // Both ends are hosts, so the bytes count twice.
            s.peers += 2.0 * bytes;
        } else if to == "config" || to == "list" {
            s.platform += bytes;
        } else {
            s.engines += bytes;
        }
    }
    Ok(s)
}

fn cpu_ticks(pid: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may contain spaces; utime and stime are fields 14 and 15.
    let rest = text.rsplit(')').next().unwrap_or("");
    let field = |i: usize| rest.split_whitespace().nth(i).and_then(|f| f.parse::<f64>().ok());
    Ok(field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0))
}

fn memory_mb(pid: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    let kb = line.split_whitespace().nth(1).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok(kb / 1000.0)
}

fn cost_per_host(size: f64, seconds: u64, before: &Totals, after: &Totals) -> Cost {
    let per = |a: f64, b: f64| (a - b) / after.hosts / seconds as f64;
    Cost {
        size,
        cpu: per(after.ticks, before.ticks) / TICKS_PER_SECOND * 100.0,
        memory: after.memory / after.hosts,
        peers: per(after.peers, before.peers),
        platform: per(after.platform, before.platform),
        engines: per(after.engines, before.engines),
    }
}

fn fit_lines(points: Vec<Cost>) -> Fit {
    let columns: [(_, Column); 5] = [
        ("cpu_percent", |c| c.cpu),
        ("memory_mb", |c| c.memory),
        ("peers_bytes_per_s", |c| c.peers),
        ("platform_bytes_per_s", |c| c.platform),
        ("engines_bytes_per_s", |c| c.engines),
    ];
    let lines = columns.into_iter().map(|(n, f)| (n, fit_line(&points, f))).collect();
    Fit { points, lines }
}

// Fits a line by least squares.
fn fit_line(points: &[Cost], value: impl Fn(&Cost) -> f64) -> Line {
    let n = points.len().max(1) as f64;
    let mx = points.iter().map(|p| p.size).sum::<f64>() / n;
    let my = points.iter().map(&value).sum::<f64>() / n;
    let xx: f64 = points.iter().map(|p| (p.size - mx).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.size - mx) * (value(p) - my)).sum();
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let base = my - slope * mx;
    let off = |p: &Cost| (value(p) - base - slope * p.size).abs();
    Line { base, slope, residual: points.iter().map(off).fold(0.0, f64::max) }
}
