//! Measures the size of the host list and the time to read and apply it.
//!
//! `cargo run --release -p yuccawing-core --example membership_figures -- HOSTS UPSTREAMS` prints
//! one line.

use std::{env, hint::black_box, time::Instant};

use yuccawing_core::{
    ids::{Incarnation, Ordinal},
    membership::{Effect, Event, Host, HostList, ListedState, Membership, Setup, Upstream},
    time::Tick,
};

/// Repetitions of each step; the median is printed.
const RUNS: usize = 9;

fn main() {
    let args: Vec<usize> = env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let [hosts, upstreams] = args[..] else {
        return eprintln!("usage: membership_figures HOSTS UPSTREAMS");
    };
    let list = |generation| HostList {
        generation,
        hosts: (0..hosts).map(host).collect(),
        upstreams: (0..upstreams)
            .map(|i| Upstream { name: format!("engine-{i:05}").into(), state: ListedState::Live })
            .collect(),
    };
    let text = serde_json::to_vec(&list(1)).expect("a list serialises");
    let read = median(|_| drop(black_box(HostList::read(&text))));

    let mut m = Membership::new(setup());
    let lists: Vec<_> = (1..=RUNS as u64).map(list).collect();
    let take = median(|i| drop(handle(&mut m, i as u64, Event::List(lists[i].clone()))));
    let mut probes = 0;
    let tick = median(|i| {
        let out = handle(&mut m, 1_000_000 + i as u64 * 500_000, Event::Tick);
        probes = out.iter().filter(|e| matches!(e, Effect::Probe { .. })).count();
    });
    let reader = median(|_| {
        black_box(m.is_reader(Tick(1_000_000)));
    });
    println!(
        "hosts {hosts} upstreams {upstreams} list_bytes {} read_ms {read:.2} take_ms {take:.2} \
         tick_ms {tick:.3} reader_ms {reader:.3} probes_per_round {probes}",
        text.len(),
    );
}

fn setup() -> Setup {
    Setup {
        name: "host-00000".into(),
        ordinal: Ordinal(0),
        group: "group-0".into(),
        domain: "domain-0".into(),
        http: "10.0.0.0:8080".into(),
        incarnation: Incarnation(1),
        weight: 1,
    }
}

fn host(i: usize) -> Host {
    Host {
        name: format!("host-{i:05}").into(),
        ordinal: Ordinal((i % 7) as u8),
        group: format!("group-{}", i / 7).into(),
        domain: format!("domain-{}", i % 14).into(),
        http: format!("10.0.{}.{}:8080", i / 250, i % 250).into(),
        peer: format!("10.0.{}.{}:8081", i / 250, i % 250).into(),
        state: ListedState::Live,
    }
}

fn handle(m: &mut Membership, at: u64, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    m.handle(Tick(at), event, &mut out);
    out
}

/// Median duration of [`RUNS`] runs, in milliseconds.
fn median(mut step: impl FnMut(usize)) -> f64 {
    let mut times: Vec<_> = (0..RUNS)
        .map(|i| {
            let start = Instant::now();
            step(i);
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}
