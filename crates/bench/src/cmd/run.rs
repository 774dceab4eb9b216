//! `yuccabench run`: runs one scenario and writes its result.

use std::path::PathBuf;

use argh::FromArgs;

use crate::{
    Error, Result,
    experiment::{run as experiment, summarise},
    results::Results,
    scenario::Scenario,
};

/// Run a scenario on this machine and write its result as JSON. The exit status is 1 if a guarantee
/// was violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Args {
    /// scenario file (TOML)
    #[argh(positional)]
    scenario: PathBuf,
    /// file for the result; standard output if not given
    #[argh(option)]
    out: Option<PathBuf>,
    /// directory for the settings and logs of all processes
    #[argh(option)]
    logs: Option<PathBuf>,
    /// seed that replaces the one of the scenario
    #[argh(option)]
    seed: Option<u64>,
}

/// Runs the scenario and writes the result.
///
/// # Errors
///
/// The scenario is invalid, the fleet does not run, or a guarantee was violated.
pub async fn run(args: Args) -> Result<()> {
    let mut s = Scenario::read(&args.scenario)?;
    s.seed = args.seed.unwrap_or(s.seed);
    let name = args.scenario.file_stem().map_or_else(String::new, |n| n.display().to_string());
    let record = experiment(&s, args.logs.as_deref()).await?;
    let results = summarise(&name, &s, record);
    let json = serde_json::to_string_pretty(&results)?;
    match &args.out {
        Some(path) => {
            std::fs::write(path, json + "\n").map_err(|e| Error::File(path.clone(), e))?;
            print(&results);
        }
        None => println!("{json}"),
    }
    if results.violations.is_empty() { Ok(()) } else { Err(Error::Violated(results.violations)) }
}

fn print(r: &Results) {
    let (q, m) = (&r.requests, &r.metrics);
    println!("{} seed {}: {}", r.scenario, r.seed, r.note);
    println!(
        "  requests: {} sent, {} served, {} refused, {} failed, {} dropped",
        q.sent, q.served, q.refused, q.failed, q.dropped
    );
    println!(
        "  load stalls: {} (p50 {:.0} ms, p99 {:.0} ms), {:.1} s per 1,000; LRU {}, clairvoyant loads {}",
        m.stalls.count,
        m.stalls.p50_ms,
        m.stalls.p99_ms,
        m.stalls.seconds_per_1000,
        r.baselines.lru.count,
        r.baselines.clairvoyant_loads
    );
    if let Some(b) = m.batch {
        println!(
            "  batch efficiency: {:.3} over {:.1} s with waiting work",
            b.efficiency, b.waiting_s
        );
    }
    if let Some(w) = &m.worst {
        println!(
            "  worst-served account: {} at {:.3}, first token p99 x {:.2}",
            w.account, w.served, w.first_p99
        );
    }
    println!(
        "  wrongful refusals: {} of {} refusals, {} requests; equal split {}, home host {}",
        m.refusals.wrongful,
        m.refusals.refused,
        m.refusals.requests,
        r.baselines.equal_split.wrongful,
        r.baselines.home_host.wrongful
    );
    println!("  codes: {:?}", r.codes);
    println!("  violations: {:?}", r.violations);
}
