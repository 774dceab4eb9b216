//! Simulates the placement, route and queue decisions on a model of hosts and engines, and compares
//! their load stalls and batch use with central baselines on the same trace.
//!
//! `cargo run --release -p yuccawing-core --example placement_figures -- [stalls|blind|batch] [SEED]`

#[path = "placement_figures/central.rs"]
mod central;
#[path = "placement_figures/hosts.rs"]
mod hosts;
#[path = "placement_figures/trace.rs"]
mod trace;

use trace::{FleetShape, Outcome, Trace, Workload};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let seed = args.get(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    match args.first().map_or("stalls", String::as_str) {
        "stalls" => stalls(seed),
        "blind" => blind(seed),
        "batch" => batch(seed),
        other => {
            eprintln!("unknown command {other}");
            std::process::exit(2);
        }
    }
}

fn stalls(seed: u64) {
    println!("20 engines x 8 slots, 3000 adapters, 4 loads/s, 1800 s, the first 300 s not counted");
    for (zipf, rate, shift) in [(1.2, 12.0, 0.1), (1.0, 7.0, 0.1), (1.4, 16.0, 0.1)] {
        let load = Workload { zipf, rate, shift, seconds: 1800, mean_ms: 4000, seed };
        let t = Trace::new(&load);
        println!(
            "\nzipf {zipf}, {rate} requests/s, {shift} of the popular adapters change every 120 s"
        );
        run_all(&t, &FleetShape::default());
    }
}

// Compares with a router that ignores which adapters are resident, at a request rate at which its
// loads stay below the limit.
fn blind(seed: u64) {
    let load = Workload { zipf: 1.2, rate: 4.0, shift: 0.1, seconds: 900, mean_ms: 4000, seed };
    let t = Trace::new(&load);
    println!("zipf 1.2, 4 requests/s, 0.1 of the popular adapters change every 120 s");
    run_all(&t, &FleetShape::default());
    let o = central::run(&t, &FleetShape::default(), central::Policy::Blind);
    println!("{}", o.line("least-loaded engine, LRU, full view"));
}

fn batch(seed: u64) {
    for (zipf, rate) in [(1.4, 26.0), (1.7, 34.0), (1.7, 39.0), (1.4, 34.0)] {
        let load = Workload { zipf, rate, shift: 0.0, seconds: 400, mean_ms: 4000, seed };
        let t = Trace::new(&load);
        println!("\nzipf {zipf}, {rate} requests/s, capacity 40 requests/s");
        run_all(&t, &FleetShape::default());
    }
}

fn run_all(t: &Trace, shape: &FleetShape) {
    println!("{}", Outcome::HEADER);
    println!("{}", hosts::run(t, shape).line("hosts with lagging views"));
    for (name, policy) in [
        ("clairvoyant, full view", central::Policy::Clairvoyant),
        ("least-loaded replica, LRU, full view", central::Policy::Resident),
        ("least-loaded replica, LFU with aging, full view", central::Policy::Aged),
        ("LFU with aging over the fleet, full view", central::Policy::Fleet),
    ] {
        println!("{}", central::run(t, shape, policy).line(name));
    }
}
