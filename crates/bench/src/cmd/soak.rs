//! `yuccabench soak`: injects random faults into a fleet of real processes and checks that all
//! guarantees hold.

use std::time::Duration;

use argh::FromArgs;

use crate::{
    Error, Result,
    soak::{SoakPlan, run_seed},
};

/// Inject random faults into real hosts, one seed after another. A seed takes its seconds and a few
/// more; each process uses about 15 MB.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Args {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds with faults for each seed
    #[argh(option, default = "8")]
    seconds: u64,
    /// host processes
    #[argh(option, default = "4")]
    hosts: usize,
    /// engines
    #[argh(option, default = "4")]
    engines: usize,
    /// replicas of the plain service
    #[argh(option, default = "4")]
    plain: usize,
    /// callers
    #[argh(option, default = "16")]
    callers: usize,
    /// also keep hosts from the store while digests reach them late
    #[argh(switch)]
    starve: bool,
}

/// Runs all seeds and prints a line for each, with its violations.
///
/// # Errors
///
/// A guarantee was violated, or a process does not start.
pub async fn run(args: &Args) -> Result<()> {
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let v = run_seed(SoakPlan {
            seed,
            duration: Duration::from_secs(args.seconds),
            hosts: args.hosts,
            engines: args.engines,
            plain: args.plain,
            callers: args.callers,
            starve: args.starve,
        })
        .await?;
        let faults: Vec<_> = v.faults.iter().map(|(k, n)| format!("{k} {n}")).collect();
        println!(
            "seed {seed}: {} requests, {} served, {} processes, {} violations; {}",
            v.requests,
            v.served,
            v.processes,
            v.violations.len(),
            faults.join(", ")
        );
        for x in &v.violations {
            println!("  {x}");
        }
        broken += v.violations.len();
    }
    if broken > 0 {
        return Err(Error::Scenario(format!("{broken} violations")));
    }
    Ok(())
}
