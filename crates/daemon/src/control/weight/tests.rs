use std::time::Duration;

use yuccawing_core::{
    ids::{Incarnation, Ordinal},
    membership::{Event, Host, HostList, ListedState, ProcessInfo, Setup},
    time::Tick,
};

use super::{BUSY_WEIGHT, FULL_WEIGHT, Pressure, WeightedMembership};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

const S: u64 = 1_000_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Observes the same wait every 50 ms; returns the weights without repetitions.
fn steady(p: &mut Pressure, from: u64, to: u64, wait: Duration) -> Vec<u32> {
    let mut out = Vec::new();
    for at in (from..to).step_by(50_000) {
        p.observe(Tick(at), wait, p.total);
        out.push(p.weight());
    }
    out.dedup();
    out
}

fn members(peers: &[u32]) -> WeightedMembership {
    let host = |i: usize| Host {
        name: format!("h{i}").into(),
        ordinal: Ordinal(u8::try_from(i).unwrap()),
        group: "".into(),
        domain: format!("d{i}").into(),
        http: format!("127.0.0.1:{}", 1000 + i).into(),
        peer: format!("127.0.0.1:{}", 2000 + i).into(),
        state: ListedState::Live,
    };
    let own = host(0);
    let mut m = WeightedMembership::new(Setup {
        name: own.name.clone(),
        ordinal: own.ordinal,
        group: "".into(),
        domain: own.domain.clone(),
        http: own.http.clone(),
        incarnation: Incarnation(1),
        weight: FULL_WEIGHT,
    });
    let hosts = (0..=peers.len()).map(host).collect();
    let mut out = Vec::new();
    m.handle(
        Tick(0),
        Event::List(HostList { generation: 1, hosts, upstreams: Vec::new() }),
        &mut out,
    );
    for (i, &weight) in peers.iter().enumerate() {
        let about =
            ProcessInfo { incarnation: Incarnation(9), leaving: false, lease: true, weight };
        let peer = format!("h{}", i + 1).into();
        m.handle(Tick(0), Event::Answered { peer, sent: Tick(0), about }, &mut out);
    }
    m
}

fn weights(m: &WeightedMembership) -> Vec<(String, u32)> {
    let a = m.addresses(Tick(1), true);
    a.hosts.iter().map(|h| (h.name.to_string(), h.weight)).collect()
}

cases! {
    // Guards against callers that keep choosing an overloaded host.
    a_long_wait_lowers_the_weight_and_a_longer_one_ends_it: {
        let mut p = Pressure::default();
        assert_eq!(steady(&mut p, 0, S, ms(2000)), [FULL_WEIGHT]);
        assert_eq!(steady(&mut p, S, 2 * S, ms(2100)), [BUSY_WEIGHT]);
        assert_eq!(steady(&mut p, 2 * S, 3 * S, ms(8100)), [0]);
    }
    // Guards against a weight that follows each change of the wait, which would make callers
    // alternate between hosts.
    the_weight_rises_only_after_a_calm_time: {
        let mut p = Pressure::default();
        steady(&mut p, 0, S, ms(9000));
        // Between the thresholds the level stays.
        assert_eq!(steady(&mut p, S, 30 * S, ms(2100)), [0]);
        assert_eq!(steady(&mut p, 30 * S, 40 * S, ms(0)), [0]);
        assert_eq!(steady(&mut p, 40 * S, 50 * S, ms(0)), [BUSY_WEIGHT]);
        assert_eq!(steady(&mut p, 50 * S, 60 * S, ms(600)), [BUSY_WEIGHT]);
        assert_eq!(steady(&mut p, 60 * S, 69 * S, ms(0)), [BUSY_WEIGHT]);
        // A short rise of the wait restarts the time with low load.
        assert_eq!(steady(&mut p, 69 * S, 70 * S, ms(1000)), [BUSY_WEIGHT]);
        assert_eq!(steady(&mut p, 70 * S, 80 * S, ms(0)), [BUSY_WEIGHT]);
        assert_eq!(steady(&mut p, 80 * S, 90 * S, ms(0)), [FULL_WEIGHT]);
    }
    // Guards against a weight that oscillates when the wait varies around the threshold.
    an_oscillating_wait_changes_the_weight_once: {
        let mut p = Pressure::default();
        let mut seen = Vec::new();
        for s in 0..60 {
            let wait = if s % 4 < 2 { ms(2500) } else { ms(100) };
            seen.extend(steady(&mut p, s * S, (s + 1) * S, wait));
        }
        seen.dedup();
        assert_eq!(seen, [BUSY_WEIGHT]);
    }
    // Guards against a host whose control thread is overloaded and that keeps its full weight.
    refusals_of_the_mailbox_lower_the_weight: {
        let mut p = Pressure::default();
        p.observe(Tick(S), ms(0), 1);
        assert_eq!(p.weight(), BUSY_WEIGHT);
        p.observe(Tick(S + 50_000), ms(0), 60);
        assert_eq!(p.weight(), BUSY_WEIGHT);
        p.observe(Tick(S + 100_000), ms(0), 130);
        assert_eq!(p.weight(), 0);
        assert_eq!(steady(&mut p, 2 * S, 34 * S, ms(0)), [0, BUSY_WEIGHT, FULL_WEIGHT]);
    }
    // Guards against a weight that peers do not learn; callers may ask any host for the list.
    the_weight_is_told_to_peers: {
        let mut m = members(&[]);
        assert_eq!(m.process_info(true).weight, FULL_WEIGHT);
        m.observe(Tick(S), ms(3000), 0);
        assert_eq!(m.process_info(true).weight, BUSY_WEIGHT);
        m.observe(Tick(S), ms(9000), 0);
        assert_eq!(m.process_info(true).weight, 0);
    }
    // Guards against an answer without hosts, and against weights whose sum is 0.
    an_overloaded_host_is_left_out_while_there_is_another: {
        let full = |m: &mut WeightedMembership| m.observe(Tick(S), ms(9000), 0);
        let mut m = members(&[FULL_WEIGHT, 0, BUSY_WEIGHT]);
        let of = |names: &[(&str, u32)]| -> Vec<(String, u32)> {
            names.iter().map(|(n, w)| ((*n).to_owned(), *w)).collect()
        };
        assert_eq!(
            weights(&m),
            of(&[("h0", FULL_WEIGHT), ("h1", FULL_WEIGHT), ("h3", BUSY_WEIGHT)])
        );
        full(&mut m);
        assert_eq!(weights(&m), of(&[("h1", FULL_WEIGHT), ("h3", BUSY_WEIGHT)]));
        let mut m = members(&[0]);
        full(&mut m);
        assert_eq!(weights(&m), of(&[("h0", 1), ("h1", 1)]));
        let mut m = members(&[]);
        full(&mut m);
        assert_eq!(weights(&m), of(&[("h0", 1)]));
    }
}
