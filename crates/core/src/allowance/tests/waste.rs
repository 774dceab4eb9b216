//! Requests that are refused although a bucket that sees all arrivals still has room.

use std::collections::BTreeMap;

use super::fleet::{Fleet, MS, SECOND};
use crate::{
    bucket::{Bucket, Limits, Reservation},
    time::Tick,
};

/// Arrivals of one account: costs are between `low` and `high`, and the share of the requests that
/// goes to each host is in per cent.
#[derive(Clone, Copy, Debug)]
struct Load {
    limits: Limits,
    cost: (u64, u64),
    skew: [u64; 5],
    // Demand in per cent of the rate.
    demand: u64,
    requests: usize,
    hold: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    refused: usize,
    wrong: usize,
    messages: f64,
}

fn measure(load: &Load, seed: u64, dead: Option<u8>) -> Outcome {
    let mut f = Fleet::new(5, load.limits, seed);
    f.hold = load.hold;
    if let Some(i) = dead.and_then(|o| f.newest(o)) {
        f.processes[i].ended = true;
        // The share of the lost host stays unused from the end of its lease on.
        f.run(4 * SECOND);
    }
    let mut reference = Bucket::full(load.limits, Tick(f.now));
    let mut ends: BTreeMap<(u64, usize), (Reservation, u64)> = BTreeMap::new();
    let mean = (load.cost.0 + load.cost.1) / 2;
    // Mean time between arrivals.
    let gap = mean * SECOND * 100 / (load.limits.rate * load.demand);
    let (begin, borrows) = (f.now, f.borrows);
    let mut allowed = Vec::new();
    for n in 0..load.requests {
        let uniform = (f.random(1 << 30) + 1) as f64 / f64::from(1 << 30);
        let wait = (-uniform.ln() * gap as f64) as u64;
        f.run(wait);
        let cost = load.cost.0 + f.random(load.cost.1 - load.cost.0 + 1);
        let mut pick = f.random(100);
        let mut host = 0;
        while pick >= load.skew[host] {
            pick -= load.skew[host];
            host += 1;
        }
        if dead == Some(host as u8) {
            host = (host + 1) % 5;
        }
        f.request(host as u8, cost, cost);
        while ends.first_key_value().is_some_and(|((at, _), _)| *at <= f.now) {
            let Some((_, (r, unused))) = ends.pop_first() else { break };
            reference.settle(r, unused, Tick(f.now));
        }
        let taken = reference.take(cost, Tick(f.now));
        allowed.push(taken.is_some());
        if let Some(r) = taken {
            ends.insert((f.now + load.hold, n), (r, 0));
        }
    }
    let seconds = (f.now - begin) as f64 / SECOND as f64;
    f.run(3 * SECOND);
    let mut o = Outcome { messages: (f.borrows - borrows) as f64 / seconds, ..Default::default() };
    for (granted, allowed) in f.granted.iter().zip(allowed) {
        let refused = *granted == Some(false);
        o.refused += usize::from(refused);
        o.wrong += usize::from(refused && allowed);
    }
    assert!(!f.exceeded(load.limits, 0));
    o
}

const SKEWS: [(&str, [u64; 5]); 4] = [
    ("even", [20, 20, 20, 20, 20]),
    ("one", [100, 0, 0, 0, 0]),
    ("most", [80, 5, 5, 5, 5]),
    ("two", [0, 60, 0, 40, 0]),
];

const SHAPES: [(&str, Limits, (u64, u64)); 4] = [
    ("medium", Limits { rate: 1000, burst: 2000 }, (20, 200)),
    ("large", Limits { rate: 50_000, burst: 100_000 }, (100, 1500)),
    ("big requests", Limits { rate: 1000, burst: 4000 }, (200, 1800)),
    ("store", Limits { rate: 4, burst: 8 }, (1, 1)),
];

#[test]
fn trial() {
    for (shape, limits, cost) in SHAPES {
        for (name, skew) in SKEWS {
            let load = Load { limits, cost, skew, demand: 90, requests: 20_000, hold: 200 * MS };
            let o = measure(&load, 7, None);
            let lost = measure(&Load { demand: 75, ..load }, 9, Some(4));
            println!("{shape} {name}: {o:?}, one lost {lost:?}");
        }
    }
}
