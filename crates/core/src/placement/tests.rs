mod fleet;

use std::time::Duration;

use arcstr::ArcStr;
use proptest::prelude::*;

use super::{
    AdapterVersion, Effect, Event, FENCE_INSTANCE, LoadResult, PinAnswer, PinRelease, PinRequest,
    Placement, Reason, Report, Spec, UnloadResult,
};
use crate::{
    ids::{Generation, Incarnation},
    rules::Class,
    time::Tick,
};

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn target(name: &str) -> AdapterVersion {
    AdapterVersion { adapter: ArcStr::from(name), version: ArcStr::from("1") }
}

fn pin(id: u64, adapter: &str) -> Event {
    Event::Pin(PinRequest {
        host: Incarnation(7),
        id,
        engine: ArcStr::from("e"),
        model: ArcStr::from("m"),
        target: target(adapter),
        class: Class::Interactive,
        wait: Duration::from_secs(60),
        requests: 1,
    })
}

fn unpin(id: u64, instance: &str) -> Event {
    let (host, engine, instance) = (Incarnation(7), ArcStr::from("e"), ArcStr::from(instance));
    Event::Unpin(PinRelease { host, id, engine, instance, uses: 1 })
}

fn report(boot: u64, resident: &[(&str, u32)]) -> Event {
    let resident = resident.iter().map(|(n, r)| (ArcStr::from(*n), *r)).collect();
    Event::Report(Report { engine: ArcStr::from("e"), boot, resident })
}

struct Fixture {
    placement: Placement,
    now: Tick,
}

impl Fixture {
    fn new(fencing: bool) -> Self {
        let mut fixture = Self { placement: Placement::new(), now: at(0) };
        fixture.send(Event::MaxLoads(4));
        let (name, model) = (ArcStr::from("e"), ArcStr::from("m"));
        fixture.send(Event::Configure(vec![Spec {
            name,
            model,
            slots: 1,
            fencing,
            leaving: false,
        }]));
        fixture.renew_lease(3);
        fixture
    }

    fn renew_lease(&mut self, generation: u64) {
        let until = at(100_000_000);
        self.send(Event::LeaseHeld { generation: Generation(generation), until });
    }

    fn send(&mut self, e: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.placement.handle(self.now, e, &mut out);
        out
    }

    // Reports the engine and answers the command that raises its fencing token.
    fn start(&mut self, resident: &[(&str, u32)]) {
        for e in self.send(report(1, resident)) {
            let Effect::Unload { command, .. } = e else { panic!("{e:?}") };
            self.send(Event::UnloadEnded { command, result: UnloadResult::Unloaded });
        }
    }

    // Requests a pin, grants the load permit if it is requested and returns the last effects.
    fn load(&mut self, id: u64, adapter: &str) -> Vec<Effect> {
        let mut out = self.send(pin(id, adapter));
        if out == [Effect::RequestPermit] {
            out = self.send(Event::Permit);
        }
        out
    }
}

fn answer(out: &[Effect]) -> Option<&PinAnswer> {
    out.iter().find_map(|e| match e {
        Effect::Answer { answer, .. } => Some(answer),
        _ => None,
    })
}

fn loading(out: &[Effect]) -> Option<(u64, ArcStr)> {
    out.iter().find_map(|e| match e {
        Effect::Load { command, instance, .. } => Some((*command, instance.clone())),
        _ => None,
    })
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against granting a pin before the instance is loaded.
    a_pin_is_answered_when_the_load_has_ended: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        let out = fixture.load(1, "a");
        let (command, instance) = loading(&out).unwrap();
        assert_eq!(instance, "a:1:g3");
        assert_eq!(answer(&out), None);
        let out = fixture.send(Event::LoadEnded { command, result: LoadResult::Loaded, random: 0 });
        assert!(matches!(answer(&out), Some(PinAnswer::Pinned { .. })));
    }
    // Guards against evicting a pinned instance, also after the late release of an earlier pin of
    // the same host.
    a_pinned_instance_is_not_evicted: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        let (command, _) = loading(&fixture.load(1, "a")).unwrap();
        fixture.send(Event::LoadEnded { command, result: LoadResult::Loaded, random: 0 });
        fixture.send(pin(2, "a"));
        fixture.send(unpin(1, "a:1:g3"));
        let full = PinAnswer::Refused { reason: Reason::Full, elsewhere: true };
        assert_eq!(answer(&fixture.load(3, "b")), Some(&full));
        fixture.send(unpin(2, "a:1:g3"));
        let out = fixture.load(4, "b");
        assert!(matches!(&out[0], Effect::Unload { instance, .. } if instance == "a:1:g3"));
    }
    // Guards against a simulation in which too little happens for its safety checks to mean
    // anything.
    the_simulation_runs_evicts_and_fails: {
        let runs: Vec<_> = (0..8).map(|seed| fleet::Simulation::new(seed).run(1200)).collect();
        let sum = |f: fn(&fleet::Stats) -> u32| runs.iter().map(f).sum::<u32>();
        assert!(sum(|s| s.requests_run) > 4000, "{runs:?}");
        assert!(sum(|s| s.evictions) > 80 && sum(|s| s.loads) > 400, "{runs:?}");
        assert!(sum(|s| s.restarts) > 50 && sum(|s| s.holders) > 30, "{runs:?}");
        assert!(sum(|s| s.late_commands) > 50, "{runs:?}");
    }
    // Guards against full engines that evict, and so load, nothing for 150 s (the duration of a pin)
    // after the first start of a group, when no earlier holder can have granted pins.
    a_first_start_evicts_what_it_loaded_itself: {
        let mut fixture = Fixture::new(true);
        fixture.send(Event::FirstGeneration(Generation(4)));
        fixture.renew_lease(4);
        fixture.start(&[]);
        let (command, _) = loading(&fixture.load(1, "a")).unwrap();
        fixture.send(Event::LoadEnded { command, result: LoadResult::Loaded, random: 0 });
        fixture.now = at(1000);
        fixture.send(unpin(1, "a:1"));
        let out = fixture.load(2, "b");
        assert!(matches!(&out[0], Effect::Unload { instance, .. } if instance == "a:1"), "{out:?}");
    }
    // Guards against requests of the `status` class that wait for loads of adapters of drafts
    // because those were requested earlier.
    status_adapters_are_loaded_first: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        fixture.send(pin(1, "draft"));
        fixture.now = at(10);
        let Event::Pin(mut r) = pin(2, "status") else { unreachable!() };
        r.class = Class::Status;
        fixture.send(Event::Pin(r));
        let out = fixture.send(Event::Permit);
        assert_eq!(loading(&out).unwrap().1, "status:1:g3", "{out:?}");
    }
    // Guards against drafts that evict `status` adapters because they are more numerous. In
    // deployment B, this raised the p99 of `status` requests to 13 s.
    more_drafts_do_not_evict_a_status_adapter: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        let Event::Pin(mut r) = pin(1, "status") else { unreachable!() };
        r.class = Class::Status;
        fixture.send(Event::Pin(r));
        let (command, _) = loading(&fixture.send(Event::Permit)).unwrap();
        fixture.send(Event::LoadEnded { command, result: LoadResult::Loaded, random: 0 });
        fixture.now = at(1000);
        fixture.send(unpin(1, "status:1:g3"));
        // A prefetch evicts only a less popular instance.
        for id in 2..6 {
            let Event::Pin(mut r) = pin(id, "draft") else { unreachable!() };
            r.wait = Duration::from_millis(1);
            fixture.send(Event::Pin(r));
            fixture.now = fixture.now + Duration::from_millis(2);
            fixture.send(Event::Poll);
        }
        let Event::Pin(mut r) = pin(9, "draft") else { unreachable!() };
        r.requests = 0;
        let out = fixture.send(Event::Pin(r));
        assert!(matches!(answer(&out), Some(PinAnswer::Refused { .. })), "{out:?}");
    }
    // Guards against evicting an instance on which an earlier holder may have granted a pin.
    a_new_holder_evicts_nothing_before_old_pins_have_ended: {
        let mut fixture = Fixture::new(true);
        fixture.start(&[("a:1", 0)]);
        assert!(matches!(answer(&fixture.load(1, "b")), Some(PinAnswer::Refused { .. })));
        fixture.now = at(160_000);
        let out = fixture.load(2, "b");
        assert!(matches!(&out[0], Effect::Unload { instance, .. } if instance == "a:1"));
    }
    // Guards against a delayed unload of an earlier holder that the engine carries out on a pinned
    // instance because it has not seen the new fencing token yet.
    nothing_is_pinned_before_the_fence_is_raised: {
        let mut fixture = Fixture::new(true);
        let out = fixture.send(report(1, &[("a:1", 0)]));
        let Effect::Unload { command, fence: 3, .. } = out[0] else { panic!("{out:?}") };
        assert_eq!(answer(&fixture.send(pin(1, "a"))), None);
        let out = fixture.send(Event::UnloadEnded { command, result: UnloadResult::Unloaded });
        assert!(matches!(answer(&out), Some(PinAnswer::Pinned { .. })));
    }
    // Guards against carrying out a delayed command of an earlier holder after a restart, in which
    // the engine lost its fencing token.
    the_fence_is_raised_again_after_a_restart: {
        let mut fixture = Fixture::new(true);
        fixture.start(&[("a:1", 0)]);
        let out = fixture.send(report(2, &[("a:1", 0)]));
        assert!(matches!(&out[0], Effect::Unload { instance, .. } if *instance == FENCE_INSTANCE));
        assert_eq!(answer(&fixture.send(pin(1, "a"))), None);
    }
    // Guards against pinning an instance that is loaded again while an earlier unload of the same
    // name may still arrive.
    a_name_is_not_loaded_while_its_unload_is_unanswered: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        let (command, _) = loading(&fixture.load(1, "a")).unwrap();
        fixture.send(Event::LoadEnded { command, result: LoadResult::Loaded, random: 0 });
        fixture.send(unpin(1, "a:1:g3"));
        let out = fixture.load(2, "b");
        assert!(matches!(&out[0], Effect::Unload { instance, .. } if instance == "a:1:g3"));
        fixture.send(report(2, &[]));
        fixture.send(Event::ProcessEnded(Incarnation(7)));
        assert_eq!(fixture.load(3, "a"), []);
        fixture.send(Event::Permit);
        assert_eq!(fixture.send(Event::Poll), []);
    }
    // Guards against a pin that expires on the controlling host while a host with a slower clock
    // still uses it.
    a_pin_is_kept_for_its_duration_and_the_drift: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        let (command, _) = loading(&fixture.load(1, "a")).unwrap();
        fixture.send(Event::LoadEnded { command, result: LoadResult::Loaded, random: 0 });
        fixture.now = at(151_000);
        assert!(matches!(answer(&fixture.load(2, "b")), Some(PinAnswer::Refused { .. })));
        fixture.now = at(151_600);
        assert!(matches!(&fixture.load(3, "b")[0], Effect::Unload { .. }));
    }
    // Guards against a host that keeps requesting pins on an engine on which loads fail.
    failed_loads_end_in_a_refusal_that_allows_other_engines: {
        let mut fixture = Fixture::new(false);
        fixture.start(&[]);
        let mut out = fixture.load(1, "a");
        for _ in 0..2 {
            let (command, _) = loading(&out).unwrap();
            out = fixture.send(Event::LoadEnded { command, result: LoadResult::Failed, random: 9 });
            assert_eq!(loading(&out), None);
            if answer(&out).is_some() {
                break;
            }
            fixture.now = fixture.now + Duration::from_secs(1);
            out = fixture.send(Event::Poll);
            if out == [Effect::RequestPermit] {
                out = fixture.send(Event::Permit);
            }
        }
        let failing = PinAnswer::Refused { reason: Reason::Failing, elsewhere: true };
        assert_eq!(answer(&out), Some(&failing));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 0, ..ProptestConfig::with_cases(32) })]

    // Guards against unloading an instance in use, running a request on another version, and more
    // loads than permitted, while messages are lost, delayed and repeated, processes pause and are
    // replaced, commands of earlier holders arrive, engines restart and loads fail.
    #[test]
    fn safety_holds_under_faults(seed in any::<u64>()) {
        let stats = fleet::Simulation::new(seed).run(1200);
        prop_assert!(stats.violations.is_empty(), "{:?}", stats.violations);
    }
}
