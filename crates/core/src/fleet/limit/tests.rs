use std::{net::Ipv4Addr, time::Duration};

use proptest::prelude::*;

use super::{LimitChange, MAX_SENDERS, SendLimit, SendState};
use crate::{fleet::digest::NamedLimit, time::Tick};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i as u8 + 1)
}

fn limited(rate: f64) -> SendLimit {
    let mut l = SendLimit::default();
    l.set_sender(true);
    l.observe(at(0), at(0), Some(rate));
    l
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against requests beyond the rate, and against a replica that gets none at all.
    requests_follow_the_rate: {
        let mut l = limited(2.0);
        assert_eq!(l.state(at(100)), SendState::Wait(Duration::from_millis(300)));
        assert_eq!(l.state(at(400)), SendState::Free);
        l.record_send(at(400));
        assert_eq!(l.state(at(500)), SendState::Wait(Duration::from_millis(300)));
    }
    // Guards against tokens that pile up while nothing is sent.
    unused_tokens_are_not_kept: {
        let mut l = limited(2.0);
        l.record_send(at(60_000));
        l.record_send(at(60_000));
        assert_ne!(l.state(at(60_000)), SendState::Free);
    }
    // Guards against a limit that ends with a response to a request that was sent before it.
    an_overtaken_response_does_not_lift_a_limit: {
        let mut l = limited(2.0);
        l.observe(at(100), at(50), Some(1.0));
        assert_eq!(l.observe(at(200), at(90), None), None);
        assert!(l.is_limited());
        assert_eq!(l.observe(at(300), at(150), None), Some(LimitChange::Lifted));
        assert_eq!(l.state(at(300)), SendState::Free);
    }
    // Guards against a limit of zero whose end no response can tell.
    a_limit_of_zero_lets_a_request_through_now_and_then: {
        let l = limited(0.0);
        assert_eq!(l.state(at(10_001)), SendState::Free);
    }
    // Guards against requests of peers that are counted twice or not at all.
    requests_of_peers_count_once: {
        let mut l = limited(1.0);
        let report = |sent| NamedLimit { replica: 1, limit_milli: Some(1000), age_ms: 0, sent };
        l.apply(at(1000), ip(1), 1, &report(7), None);
        l.apply(at(1000), ip(1), 1, &report(8), None);
        l.apply(at(1001), ip(1), 1, &report(7), None);
        l.apply(at(1002), ip(1), 1, &report(8), None);
        assert_eq!(l.state(at(2500)), SendState::Free);
        l.apply(at(2500), ip(1), 1, &report(10), None);
        assert_ne!(l.state(at(2500)), SendState::Free);
        // A restarted peer counts from zero.
        l.apply(at(5000), ip(1), 2, &report(1), None);
        assert_eq!(l.state(at(5000)), SendState::Free);
    }
    // Guards against a host that does not learn of a limit, or of its end, from its peers.
    a_limit_and_its_end_are_learned_from_peers: {
        let mut a = limited(2.0);
        let mut b = SendLimit::default();
        b.set_sender(true);
        assert_eq!(b.apply(at(10), ip(0), 1, &a.entry(at(10), 1).unwrap(), Some(at(8))), Some(LimitChange::Named(2.0)));
        a.observe(at(500), at(400), None);
        assert_eq!(b.apply(at(510), ip(0), 1, &a.entry(at(510), 1).unwrap(), Some(at(508))), Some(LimitChange::Lifted));
        assert!(a.entry(at(6000), 1).is_none());
    }
    // Guards against a replica that gets more than it takes because a report of the end of its limit has
    // waited, and lifts the limit that it has named again since.
    a_late_report_lifts_no_newer_limit: {
        let mut l = limited(2.0);
        l.observe(at(3000), at(2900), Some(2.0));
        let ended = NamedLimit { replica: 1, limit_milli: None, age_ms: 10, sent: 0 };
        assert_eq!(l.apply(at(4000), ip(1), 1, &ended, Some(at(1000))), None);
        assert!(l.entry(at(4000), 1).unwrap().limit_milli.is_some());
        assert_eq!(l.apply(at(4000), ip(1), 1, &ended, Some(at(3900))), Some(LimitChange::Lifted));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // Guards against hosts that together exceed a limit while all of them have more requests than
    // it allows and reports are late and lost, and against a replica that stays idle meanwhile.
    #[test]
    fn hosts_together_keep_the_limit(
        n in 1..=MAX_SENDERS,
        rate in prop::sample::select(vec![0.2, 0.5, 1.2, 2.0, 6.0, 30.0]),
        delay in 1_u64..60,
        lost in 0_u64..10,
        mut seed: u64,
    ) {
        let mut draw = |n: u64| {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (seed >> 33) % n
        };
        let mut hosts: Vec<_> = (0..n).map(|_| limited(rate)).collect();
        let mut reports: Vec<(u64, usize, usize, NamedLimit)> = Vec::new();
        let mut sent = Vec::new();
        for ms in (0..60_000).step_by(5) {
            let (due, rest): (Vec<_>, Vec<_>) = reports.into_iter().partition(|r| r.0 <= ms);
            reports = rest;
            for (_, from, to, l) in due {
                hosts[to].apply(at(ms), ip(from), 1, &l, None);
            }
            for (from, host) in hosts.iter_mut().enumerate() {
                let repeats = ms % 1000 == 5 * from as u64;
                let sends = host.state(at(ms)) == SendState::Free;
                if sends {
                    host.record_send(at(ms));
                    host.observe(at(ms), at(ms), Some(rate));
                    sent.push(ms);
                }
                let entry = host.entry(at(ms), 1).unwrap();
                for to in (0..n).filter(|t| *t != from && (sends || repeats)) {
                    if draw(100) >= lost {
                        reports.push((ms + 1 + draw(delay), from, to, entry));
                    }
                }
            }
        }
        let allowed = 1.5 * rate.max(0.1) * 4.0 + 5.0;
        for t in &sent {
            let window = sent.iter().filter(|x| **x >= *t && **x < t + 4000).count();
            prop_assert!(window as f64 <= allowed, "{window} in 4 s, {allowed} allowed");
        }
        prop_assert!(sent.len() as f64 >= 0.7 * rate * 60.0 - 2.0, "{} in 60 s", sent.len());
    }
}

cases! {
    // Guards against a pause that an overtaken, shorter one ends early.
    the_latest_end_of_a_pause_counts: {
        let mut l = SendLimit::default();
        assert_eq!(l.pause(at(0), Duration::from_secs(2)), Some(Duration::from_secs(2)));
        assert_eq!(l.pause(at(500), Duration::from_secs(1)), None);
        assert_eq!(l.state(at(1700)), SendState::Wait(Duration::from_millis(300)));
        assert_eq!(l.state(at(2000)), SendState::Free);
    }
    // Guards against a pause that ends with a limit, or a limit that ends with a pause.
    a_pause_and_a_limit_hold_both: {
        let mut l = limited(2.0);
        l.pause(at(0), Duration::from_millis(200));
        assert_eq!(l.state(at(100)), SendState::Wait(Duration::from_millis(100)));
        assert_eq!(l.state(at(300)), SendState::Wait(Duration::from_millis(100)));
    }
}

proptest! {
    // Guards against a request within any pause, in whatever order the responses arrive, and against
    // a replica that is never used again.
    #[test]
    fn no_request_within_a_pause(asked in prop::collection::vec((0..5000u64, 0..4000u64), 1..20)) {
        let mut l = SendLimit::default();
        for (from, time) in &asked {
            l.pause(at(*from), Duration::from_millis(*time));
        }
        for ms in (0..10_000).step_by(50) {
            let paused = asked.iter().any(|(from, time)| ms >= *from && ms < from + time);
            prop_assert!(!paused || l.state(at(ms)) != SendState::Free);
        }
        prop_assert_eq!(l.state(at(9001)), SendState::Free);
    }
}
