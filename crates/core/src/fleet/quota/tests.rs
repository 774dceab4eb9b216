use std::{net::Ipv4Addr, time::Duration};

use proptest::prelude::*;

use super::{Quota, QuotaCheck, Tolerance, cost};
use crate::{
    fleet::config::{Account, FleetConfig},
    time::Tick,
};

const RATE: f64 = 10_000.0;
const SLACK: f64 = 11_000.0;

const TOLERANCE: Tolerance =
    Tolerance { overage: 0.25, slack: SLACK, window: Duration::from_secs(8) };

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn account(rate: f64) -> Account {
    Account {
        name: "one".into(),
        keys: Vec::new(),
        priority: None,
        rate,
        burst: rate,
        per_token: true,
        default_tokens: 200,
    }
}

fn quota(rate: f64) -> Quota {
    let mut q = Quota::new(at(0), TOLERANCE);
    configure(&mut q, 0, rate);
    q
}

fn configure(q: &mut Quota, ms: u64, rate: f64) {
    let accounts = vec![account(rate)];
    q.configure(at(ms), &FleetConfig { accounts, ..FleetConfig::default() });
}

fn ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i as u8 + 1)
}

// One of `n` hosts, which expects the other ones.
fn member(ms: u64, me: usize, n: usize) -> Quota {
    let mut q = Quota::new(at(ms), TOLERANCE);
    configure(&mut q, ms, RATE);
    for i in (0..n).filter(|i| *i != me) {
        q.expect_peer(at(ms), ip(i));
    }
    q
}

// Hosts that exchange digests over links that may be cut.
struct Fleet {
    hosts: Vec<Quota>,
    incarnations: Vec<u64>,
    admitted: Vec<(u64, f64)>,
    refused: f64,
}

impl Fleet {
    fn new(n: usize) -> Self {
        Self {
            hosts: (0..n).map(|i| member(0, i, n)).collect(),
            incarnations: vec![1; n],
            admitted: Vec::new(),
            refused: 0.0,
        }
    }

    fn send(&mut self, ms: u64, host: usize, units: f64) {
        match self.hosts[host].check(at(ms), "one", units) {
            QuotaCheck::Allowed => self.admitted.push((ms, units)),
            QuotaCheck::Limited(_) => self.refused += units,
        }
    }

    fn exchange(&mut self, ms: u64, reach: impl Fn(usize, usize) -> bool) {
        for from in 0..self.hosts.len() {
            let usage = self.hosts[from].usage(at(ms));
            for to in 0..self.hosts.len() {
                if from != to && reach(from, to) {
                    let incarnation = self.incarnations[from];
                    self.hosts[to].apply_usage(at(ms), ip(from), incarnation, &usage);
                }
            }
        }
    }

    // The required bound: no window of 8 s may exceed the limit by more than a quarter plus the
    // slack.
    fn assert_bound(&self) {
        let most = (RATE * 8.0 + RATE) * 1.25 + SLACK;
        for (start, _) in &self.admitted {
            let span = self.admitted.iter().filter(|(t, _)| t >= start && *t < start + 8000);
            let sum: f64 = span.map(|(_, u)| u).sum();
            assert!(sum <= most, "{sum} in 8 s from {start} ms; allowed {most}");
        }
    }

    fn share(&self) -> f64 {
        let all: f64 = self.admitted.iter().map(|(_, u)| u).sum();
        all / (all + self.refused)
    }
}

// Sends requests at `demand` times the rate for 30 s to the hosts that `pick` returns, with a
// digest every 100 ms.
fn simulate(
    fleet: &mut Fleet,
    demand: f64,
    pick: impl Fn(u64) -> usize,
    reach: impl Fn(u64, usize, usize) -> bool,
) {
    let units = 400.0;
    let mut owed = 0.0;
    for ms in (0..30_000).step_by(10) {
        if ms % 100 == 0 {
            fleet.exchange(ms, |a, b| reach(ms, a, b));
        }
        owed += demand * RATE / 100.0;
        while owed >= units {
            owed -= units;
            let host = pick(ms * 7919 + owed as u64);
            fleet.send(ms, host, units);
        }
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Pattern: even demand within the limit. Guards against refusals because of shares that are too
    // small.
    demand_within_the_limit_is_served: {
        let mut f = Fleet::new(5);
        simulate(&mut f, 0.9, |x| (x % 5) as usize, |_, _, _| true);
        assert!(f.share() > 0.999, "served {}", f.share());
        f.assert_bound();
    }
    // Pattern: all callers of an account use one host. Guards against shares that the other hosts
    // leave unused.
    demand_at_one_host_is_served: {
        let mut f = Fleet::new(5);
        simulate(&mut f, 0.9, |_| 2, |_, _, _| true);
        assert!(f.share() > 0.999, "served {}", f.share());
        f.assert_bound();
    }
    // Pattern: an account with four times its rate at 30 hosts. Guards against all hosts using the
    // same remaining units between two digests.
    a_greedy_account_stays_within_the_bound: {
        let mut f = Fleet::new(30);
        simulate(&mut f, 4.0, |x| (x % 30) as usize, |_, _, _| true);
        f.assert_bound();
        let admitted: f64 = f.admitted.iter().map(|(_, u)| u).sum();
        assert!(admitted > 0.9 * RATE * 30.0, "{admitted} of {} allowed", RATE * 30.0);
    }
    // Pattern: an account far over its limit sends small and large requests to 23 hosts. Guards
    // against a fleet that admits all of them until its level is far below zero and then none: a
    // single bucket that sees every request admits nearly all of the small ones.
    small_requests_of_a_greedy_account_are_served: {
        let mut f = Fleet::new(23);
        let (mut small, mut served) = (0, 0);
        for ms in (0..30_000u64).step_by(5) {
            if ms % 180 == 0 {
                f.exchange(ms, |_, _| true);
            }
            // 0.4 times the rate in small requests, 4 times the rate in large ones.
            f.send(ms, (ms as usize * 7919 / 5) % 23, 200.0);
            let before = f.admitted.len();
            f.send(ms, (ms as usize * 104_729 / 5) % 23, 20.0);
            if ms > 5000 {
                small += 1;
                served += f.admitted.len() - before;
            }
        }
        f.assert_bound();
        let admitted: f64 = f.admitted.iter().map(|(_, u)| u).sum();
        assert!(admitted > 0.95 * RATE * 30.0, "{admitted} of {} allowed", RATE * 30.0);
        assert!(served * 10 > small * 8, "{served} of {small} small requests");
    }
    // Pattern: a partition during high demand. Guards against each side using the whole limit.
    a_partition_stays_within_the_bound: {
        let mut f = Fleet::new(5);
        let side = |h: usize| h < 2;
        simulate(&mut f, 4.0, |x| (x % 5) as usize, |ms, a, b| {
            !(8000..22_000).contains(&ms) || side(a) == side(b)
        });
        f.assert_bound();
    }
    // Pattern: an account within its limit at 78 hosts, each of which gets one large request now and
    // then. Guards against a host that takes the growth of its own demand by one request for growth
    // at all hosts, holds everything back for them and refuses small requests.
    sparse_large_requests_do_not_hold_back_small_ones: {
        let mut f = Fleet::new(78);
        let mut refused = 0;
        for ms in (0..20_000u64).step_by(10) {
            if ms % 300 == 0 {
                f.exchange(ms, |_, _| true);
            }
            let host = |n: u64| (n * 7919 % 78) as usize;
            if ms % 350 == 0 {
                f.send(ms, host(ms), 4000.0);
            }
            let before = f.refused;
            f.send(ms, host(ms + 5), 20.0);
            refused += u32::from(f.refused > before);
        }
        assert!(refused < 20, "{refused} of 2000 small requests");
        f.assert_bound();
    }
    // Pattern: a partition that begins while demand rises. Guards against sides that compare their
    // own demand of now with the other side's demand of before, so that both take a larger share.
    a_partition_during_rising_demand_stays_within_the_bound: {
        let mut f = Fleet::new(2);
        simulate(&mut f, 2.05, |x| (x % 2) as usize, |ms, _, _| !(1000..8000).contains(&ms));
        f.assert_bound();
    }
    // Guards against refusals within the limit because a peer was lost.
    a_lost_peer_costs_its_share_only: {
        let mut f = Fleet::new(5);
        simulate(&mut f, 0.6, |x| (x % 5) as usize, |_, _, _| true);
        f.admitted.clear();
        f.refused = 0.0;
        for ms in (30_000..40_000).step_by(10) {
            if ms % 100 == 0 {
                f.exchange(ms, |a, b| a != 4 && b != 4);
            }
            f.send(ms, (ms / 10 % 4) as usize, 60.0);
        }
        assert!(f.share() > 0.99, "served {}", f.share());
    }
    // Pattern: an account whose limit was lowered below its steady demand. Guards against refusals
    // of requests that the tolerance covers, by hosts that hold it back for what they may not have
    // heard of each other yet.
    demand_within_the_tolerance_is_served: {
        let mut f = Fleet::new(5);
        simulate(&mut f, 1.2, |x| (x % 5) as usize, |_, _, _| true);
        assert!(f.share() > 0.99, "served {}", f.share());
        f.assert_bound();
    }
    // Pattern: an overloaded service that refuses most requests after they were charged. Guards
    // against units that peers keep counting as used although the request was not run.
    refunds_reach_the_peers: {
        let mut f = Fleet::new(2);
        for ms in (0..10_000).step_by(10) {
            if ms % 100 == 0 {
                f.exchange(ms, |_, _| true);
            }
            if f.hosts[0].check(at(ms), "one", 400.0) == QuotaCheck::Allowed {
                f.hosts[0].refund("one", 400.0);
            }
        }
        f.exchange(10_000, |_, _| true);
        assert_eq!(f.hosts[1].check(at(10_000), "one", 8000.0), QuotaCheck::Allowed);
    }
    // Guards against a limit that is exceeded although no tolerance is set.
    no_tolerance_means_the_bare_limit: {
        let none = Tolerance { overage: 0.0, slack: 0.0, window: Duration::from_secs(8) };
        let mut q = Quota::new(at(0), none);
        configure(&mut q, 0, RATE);
        let mut sum = 0.0;
        for ms in (0..8000).step_by(10) {
            if q.check(at(ms), "one", 400.0) == QuotaCheck::Allowed {
                sum += 400.0;
            }
        }
        assert!(sum <= RATE * 9.0, "{sum}");
    }
    // Guards against a bucket that stays above a lowered limit.
    a_lowered_limit_takes_effect: {
        let mut q = quota(RATE * 10.0);
        configure(&mut q, 1000, RATE);
        let mut sum = 0.0;
        for ms in (1000..9000).step_by(10) {
            if q.check(at(ms), "one", 500.0) == QuotaCheck::Allowed {
                sum += 500.0;
            }
        }
        assert!(sum <= RATE * 9.0 * 1.25 + SLACK, "{sum}");
    }
    // Guards against a new account that has no limit until the first digest.
    a_new_account_is_limited_at_once: {
        let mut q = quota(RATE);
        let within =
            (0..200).filter(|_| q.check(at(1), "one", 1000.0) == QuotaCheck::Allowed).count();
        assert!(within as f64 * 1000.0 <= RATE + SLACK, "{within}");
    }
    // Guards against a request that is larger than the burst and never admitted.
    a_request_above_the_burst_is_served: {
        let mut q = quota(RATE);
        assert_eq!(q.check(at(20_000), "one", RATE * 3.0), QuotaCheck::Allowed);
        assert!(matches!(q.check(at(20_100), "one", 100.0), QuotaCheck::Limited(_)));
    }
    // Guards against a limit for an account that the configuration does not limit.
    an_account_without_a_rate_has_no_limit: {
        let mut q = Quota::new(at(0), TOLERANCE);
        assert_eq!(q.check(at(0), "other", 1e12), QuotaCheck::Allowed);
    }
    // Guards against a wrong unit: prompt and output tokens, the default number of tokens, or one
    // per request.
    costs_follow_the_unit: {
        let a = account(1.0);
        assert_eq!(cost(&a, Some((100, 20))), 120.0);
        assert_eq!(cost(&a, None), 200.0);
        assert_eq!(cost(&Account { per_token: false, ..a }, Some((100, 20))), 1.0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    // Guards against any sequence of partitions and restarts that lets the fleet exceed the bound.
    #[test]
    fn no_faults_pass_the_bound(
        demand in 0.5..5.0f64,
        hosts in 2..6usize,
        cuts in prop::collection::vec((0..30u64, 1..8u64, 0..6usize), 0..4),
        restarts in prop::collection::vec((2..28u64, 0..6usize), 0..2),
    ) {
        let mut f = Fleet::new(hosts);
        let units = 400.0;
        let mut owed = 0.0;
        for ms in (0..30_000u64).step_by(10) {
            for (s, h) in &restarts {
                if ms == s * 1000 && *h < hosts {
                    f.hosts[*h] = member(ms, *h, hosts);
                    f.incarnations[*h] += 1;
                }
            }
            if ms % 100 == 0 {
                f.exchange(ms, |a, b| !cuts.iter().any(|(s, d, h)| {
                    (a == *h || b == *h) && ms >= s * 1000 && ms < (s + d) * 1000
                }));
            }
            owed += demand * RATE / 100.0;
            while owed >= units {
                owed -= units;
                let host = (ms * 7919 + owed as u64) as usize % hosts;
                f.send(ms, host, units);
            }
        }
        f.assert_bound();
    }
}
