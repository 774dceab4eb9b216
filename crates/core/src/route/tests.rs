use std::time::Duration;

use arcstr::ArcStr;

use super::{GrantedPin, Outcome, Report, Requirements, RouteDecision, Router, Spec};
use crate::{ids::Incarnation, placement::AdapterVersion, rules::Class, time::Tick};

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn spec(name: &str) -> Spec {
    Spec {
        name: ArcStr::from(name),
        model: ArcStr::from("m"),
        batch: 4,
        reserved: 0,
        fencing: true,
        leaving: false,
        controlled: true,
    }
}

fn target(name: &str) -> AdapterVersion {
    AdapterVersion { adapter: ArcStr::from(name), version: ArcStr::from("1") }
}

fn report(engine: &str, running: u32, resident: &[(&str, u32)]) -> Report {
    let resident = resident.iter().map(|(n, r)| (ArcStr::from(*n), *r)).collect();
    Report { engine: ArcStr::from(engine), boot: 1, running, waiting: 0, resident }
}

fn pick(r: &Router, now: Tick, t: &AdapterVersion, random: u64) -> RouteDecision {
    let model = ArcStr::from("m");
    let need = Requirements {
        model: &model,
        target: t,
        class: Class::Interactive,
        deadline: now + Duration::from_secs(60),
        avoid: &[],
        prefix: None,
    };
    r.pick(now, &need, random)
}

fn fleet(n: usize) -> Router {
    let mut r = Router::new(Incarnation(1));
    r.configure((0..n).map(|i| spec(&format!("e{i}"))).collect());
    r
}

fn grant(r: &mut Router, ms: u64, id: u64) {
    let (engine, target, instance) = (ArcStr::from("e0"), target("a"), ArcStr::from("a:1"));
    let (sent, duration) = (at(ms), Duration::from_secs(150));
    let g = GrantedPin { engine, target, instance, id, sent, duration };
    assert_eq!(r.add_pin(at(ms), g), None);
}

fn engine(c: RouteDecision) -> ArcStr {
    match c {
        RouteDecision::Run { engine, .. } | RouteDecision::Pin { engine, .. } => engine,
        c => panic!("{c:?}"),
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against hosts that load the same adapter on different engines.
    hosts_agree_on_the_engine_for_a_cold_adapter: {
        let a = fleet(20);
        for i in 0..50 {
            let t = target(&format!("a{i}"));
            assert_eq!(pick(&a, at(0), &t, 1), pick(&fleet(20), at(5), &t, u64::MAX));
        }
    }
    // Guards against hosts with the same outdated view that all choose the same replica.
    hosts_with_the_same_view_spread_over_replicas: {
        let mut r = fleet(2);
        r.report(at(0), &report("e0", 1, &[("a:1", 0)]));
        r.report(at(0), &report("e1", 2, &[("a:1", 0)]));
        let mut random = 1u64;
        let mut busier = 0;
        for _ in 0..1000 {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            busier += u32::from(engine(pick(&r, at(1), &target("a"), random)) == "e1");
        }
        assert!((150..350).contains(&busier), "{busier}");
    }
    // Guards against new requests on an engine that is being taken out of service, also if this
    // host holds a pin on it.
    a_leaving_engine_gets_no_new_requests: {
        let mut r = fleet(1);
        r.report(at(0), &report("e0", 0, &[("a:1", 0)]));
        grant(&mut r, 0, 1);
        assert!(matches!(pick(&r, at(1), &target("a"), 1), RouteDecision::Run { .. }));
        r.configure(vec![Spec { leaving: true, ..spec("e0") }]);
        assert_eq!(pick(&r, at(2), &target("a"), 1), RouteDecision::Unavailable);
    }
    // Guards against a request that runs for longer than its pin lasts.
    a_pin_that_ends_before_the_deadline_is_not_used: {
        let mut r = fleet(1);
        r.report(at(0), &report("e0", 0, &[("a:1", 0)]));
        grant(&mut r, 0, 1);
        assert!(matches!(pick(&r, at(80_000), &target("a"), 1), RouteDecision::Run { .. }));
        assert!(matches!(pick(&r, at(90_000), &target("a"), 1), RouteDecision::Pin { load: false, .. }));
    }
    // Guards against releasing a pin while a request still runs that started under a dropped pin of
    // the same instance.
    a_pin_is_not_idle_while_older_requests_run: {
        let mut r = fleet(1);
        let (e, t, i) = (ArcStr::from("e0"), target("a"), ArcStr::from("a:1"));
        grant(&mut r, 0, 1);
        r.request_started(at(1), &e, &t);
        r.drop_pin(at(2), &e, &t);
        grant(&mut r, 3, 2);
        r.request_started(at(4), &e, &t);
        r.request_ended(at(5), &e, &t, &i, Outcome::Success);
        let mut out = Vec::new();
        r.release_idle(at(10_000), false, &mut out);
        assert!(out.is_empty());
        r.request_ended(at(10_000), &e, &t, &i, Outcome::Success);
        r.release_idle(at(12_000), false, &mut out);
        assert_eq!((out[0].id, out[0].uses), (2, 2));
    }
    // Guards against using a pin whose grant arrives after a pin with a higher id was released. The
    // controlling host then released both.
    a_pin_below_a_released_one_is_not_used: {
        let mut r = fleet(1);
        grant(&mut r, 0, 2);
        let mut out = Vec::new();
        r.release_idle(at(2_000), false, &mut out);
        let (engine, target, instance) = (ArcStr::from("e0"), target("a"), ArcStr::from("a:1"));
        let (sent, duration) = (at(0), Duration::from_secs(150));
        let g = GrantedPin { engine, target, instance, id: 1, sent, duration };
        assert!(r.add_pin(at(2_001), g).is_some());
        grant(&mut r, 2_002, 3);
    }
    // Guards against counting a pin from its answer: the controlling host counts from before that.
    a_pin_is_counted_from_its_request_and_less_the_drift: {
        let mut r = fleet(1);
        r.report(at(0), &report("e0", 0, &[("a:1", 0)]));
        let (engine, target, instance) = (ArcStr::from("e0"), target("a"), ArcStr::from("a:1"));
        let (sent, duration) = (at(0), Duration::from_secs(150));
        let g = GrantedPin { engine, target: target.clone(), instance, id: 1, sent, duration };
        assert_eq!(r.add_pin(at(60_000), g), None);
        // The pin ends after 150 s less 1% for drift; the requests take 60 s.
        assert!(matches!(pick(&r, at(88_400), &target, 1), RouteDecision::Run { .. }));
        assert!(matches!(pick(&r, at(88_600), &target, 1), RouteDecision::Pin { .. }));
    }
    // Guards against a request that waits indefinitely because the only replica of its adapter is on
    // an engine that popular adapters keep full.
    a_request_that_waits_for_a_full_engine_gets_another_replica: {
        let mut r = fleet(2);
        r.report(at(0), &report("e0", 4, &[("a:1", 0), ("b:1", 4)]));
        r.report(at(0), &report("e1", 1, &[]));
        let (model, target) = (ArcStr::from("m"), target("a"));
        assert_eq!(pick(&r, at(1), &target, 1), RouteDecision::Wait);
        let need = Requirements {
            model: &model,
            target: &target,
            class: Class::Interactive,
            deadline: at(60_000),
            avoid: &[],
            prefix: None,
        };
        assert_eq!(r.extra_replica(at(1), &need, Duration::ZERO), None);
        let s = r.extra_replica(at(501), &need, Duration::from_millis(500)).unwrap();
        assert!(s.engine == "e1" && s.urgent);
    }
    // Guards against evicting an adapter while its requests wait for a slot on its busy engine. In
    // deployment B, hosts loaded 95 adapters 235 times in 85 s.
    a_pin_that_requests_wait_for_is_not_idle: {
        let mut r = fleet(1);
        grant(&mut r, 0, 1);
        let mut out = Vec::new();
        r.keep_pins(at(900), &[target("a")].into());
        r.release_idle(at(1500), false, &mut out);
        assert_eq!(out, []);
        r.release_idle(at(1901), false, &mut out);
        assert_eq!(out.len(), 1);
    }
    // Guards against ejecting all replicas of an adapter.
    at_most_half_of_the_replicas_are_ejected: {
        let mut r = fleet(3);
        for i in 0..3 {
            r.report(at(0), &report(&format!("e{i}"), 0, &[("a:1", 0)]));
        }
        for (i, ms) in [(0, 10), (1, 20), (2, 30)] {
            for _ in 0..5 {
                let e = ArcStr::from(format!("e{i}"));
                r.request_ended(at(ms), &e, &target("a"), &ArcStr::from("a:1"), Outcome::Failure);
            }
        }
        let seen: std::collections::BTreeSet<ArcStr> =
            (0..64u64).map(|i| engine(pick(&r, at(40), &target("a"), i * 0x1234_5678_9abc))).collect();
        assert_eq!(seen.into_iter().collect::<Vec<_>>(), ["e0", "e1"]);
    }
}
