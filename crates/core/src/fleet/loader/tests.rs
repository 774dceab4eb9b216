mod network;

use super::{LoadStatus, Loader, Step};
use crate::{
    fleet::{
        config::{EngineSpec, ModelSpec},
        load_time::MAX_TRANSFERS,
        order::{OrderResponse, Verb},
        report::{Report, Resident},
    },
    time::Tick,
};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn spec(slots: u32) -> EngineSpec {
    let models = vec![ModelSpec { name: "m".into(), weights_mb: 900.0, adapter_mb: 10.0 }];
    EngineSpec { slots: 64, kv_tokens: 1000, adapter_slots: slots, capacity_mb: 1000.0, models }
}

fn adapter(n: u32) -> Resident {
    Resident { artifact: format!("m/a{n}").into(), version: 1 }
}

// A report of an engine that has accepted `order_count` orders.
fn report(order_count: u64, adapters: &[u32]) -> Report {
    let model = Resident { artifact: "m".into(), version: 1 };
    let residents = adapters.iter().map(|n| adapter(*n)).chain([model]).collect();
    Report { residents, order_count, ..Report::default() }
}

// An engine that holds `adapters`, none of them used recently.
fn loader(adapters: &[u32]) -> Loader {
    let mut l = Loader::default();
    l.apply_report(at(0), &report(0, adapters));
    l
}

fn request(l: &mut Loader, ms: u64, n: u32, slots: usize, used: &[u32]) -> LoadStatus {
    l.request_load(at(ms), adapter(n), slots, |a| used.iter().any(|u| adapter(*u).artifact == a))
}

fn next(l: &mut Loader, ms: u64, slots: u32, used: &[u32]) -> Option<Step> {
    l.next_step(at(ms), &spec(slots), MAX_TRANSFERS, |a| {
        used.iter().any(|u| adapter(*u).artifact == a)
    })
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against orders to an engine whose resident artifacts are unknown, which may crash it.
    nothing_is_ordered_before_a_report: {
        let mut l = Loader::default();
        assert_eq!(request(&mut l, 0, 1, 8, &[]), LoadStatus::Queued);
        assert_eq!(next(&mut l, 0, 8, &[]), None);
    }
    // Guards against a replica that restarts without a model and stays so.
    an_empty_engine_gets_its_model: {
        let mut l = Loader::default();
        l.apply_report(at(0), &Report::default());
        let step = next(&mut l, 10, 8, &[]).unwrap();
        assert_eq!((step.verb, step.resident.artifact.as_str()), (Verb::Load, "m"));
        l.record_sent(at(10), &step);
        l.record_response(at(20), &step, Some(OrderResponse::Accepted));
        assert_eq!(next(&mut l, 500, 8, &[]), None, "its load is under way");
    }
    // Guards against more adapters than slots, which crashes the engine.
    a_full_engine_makes_room_first: {
        let mut l = loader(&[1, 2]);
        l.record_use(at(100), &adapter(1).artifact);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        assert_eq!(step, Step { verb: Verb::Unload, resident: adapter(2) }, "least recently used");
        l.record_sent(at(1000), &step);
        assert_eq!(next(&mut l, 1001, 2, &[]), None, "one order at a time");
        l.record_response(at(1005), &step, Some(OrderResponse::Done));
        assert_eq!(next(&mut l, 1006, 2, &[]).unwrap().verb, Verb::Load);
    }
    // Pattern: adapters so large that the memory is full before the slots are. Guards against an order
    // that the memory does not hold, which crashes the engine.
    a_full_memory_makes_room_first: {
        // 100 MB are left beside the model, and there are eight slots.
        let large = |adapter_mb| {
            let mut out = spec(8);
            out.models[0].adapter_mb = adapter_mb;
            out
        };
        let models = || ["m", "m/a1"].into_iter();
        let limits = [0.0, 10.0, 12.5, 40.0, 50.0, 101.0].map(|mb| large(mb).adapter_limit(models()));
        assert_eq!(limits, [8, 8, 8, 2, 2, 0]);
        assert_eq!(spec(3).adapter_limit(models()), 3);
        let mut l = loader(&[1, 2]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = l.next_step(at(1000), &large(40.0), MAX_TRANSFERS, |_| false).unwrap();
        assert_eq!(step.verb, Verb::Unload);
        let step = l.next_step(at(1000), &large(30.0), MAX_TRANSFERS, |_| false).unwrap();
        assert_eq!(step.verb, Verb::Load);
    }
    // Guards against the eviction of an adapter in use, or of one that a peer may just have chosen.
    adapters_in_use_stay: {
        let mut l = loader(&[1, 2]);
        request(&mut l, 1000, 3, 2, &[2]);
        l.record_use(at(900), &adapter(1).artifact);
        assert_eq!(next(&mut l, 1000, 2, &[2]), None);
        assert_eq!(next(&mut l, 1300, 2, &[2]).unwrap().resident, adapter(1));
    }
    // Pattern: several hosts choose one engine at the same time. Guards against queued loads that
    // wait until running requests end.
    a_load_beyond_the_slots_is_refused: {
        let mut l = loader(&[1, 2]);
        assert_eq!(request(&mut l, 1000, 3, 2, &[1]), LoadStatus::Queued);
        assert_eq!(request(&mut l, 1000, 4, 2, &[1]), LoadStatus::Refused);
        assert_eq!(request(&mut l, 1000, 3, 2, &[1]), LoadStatus::Queued, "requested again");
        assert_eq!(request(&mut l, 1000, 1, 2, &[1]), LoadStatus::Loaded);
    }
    // Guards against an order that is sent while an unload still waits for running requests: the
    // engine would block it, and the adapter still takes its slot.
    a_waiting_unload_keeps_its_slot: {
        let mut l = loader(&[1, 2]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1005), &step, Some(OrderResponse::Accepted));
        assert_eq!(next(&mut l, 1100, 2, &[]), None);
        assert!(!l.is_resident(&step.resident), "no new request may count on it");
        l.apply_report(at(1800), &report(1, &[2]));
        assert_eq!(next(&mut l, 1900, 2, &[]).unwrap().verb, Verb::Load);
    }
    // Guards against a report from before an order that reverts its effect.
    a_lagging_report_does_not_undo_a_load: {
        let mut l = loader(&[]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1005), &step, Some(OrderResponse::Accepted));
        l.finish_load(at(1050), &adapter(3));
        l.apply_report(at(1100), &report(0, &[]));
        assert!(l.is_resident(&adapter(3)));
        l.apply_report(at(2000), &report(2, &[]));
        assert!(!l.is_resident(&adapter(3)), "it was unloaded since");
    }
    // Guards against exceeding the slots because a load ordered by an earlier owner is not counted.
    loads_of_earlier_owners_take_slots: {
        let mut l = Loader::default();
        let mut r = report(1, &[1]);
        r.transferring = vec![adapter(9)];
        l.apply_report(at(0), &r);
        request(&mut l, 1000, 3, 2, &[1]);
        assert_eq!(next(&mut l, 1000, 2, &[1]), None);
    }
    // Guards against repeating orders without a pause at an engine that is busy.
    a_conflict_is_followed_by_a_pause: {
        let mut l = loader(&[]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1005), &step, Some(OrderResponse::Conflict));
        l.apply_report(at(1004), &report(0, &[]));
        assert_eq!(next(&mut l, 1100, 2, &[]), None, "the report was requested before the conflict");
        l.apply_report(at(1006), &report(1, &[]));
        assert_eq!(next(&mut l, 1010, 2, &[]), None);
        assert_eq!(next(&mut l, 1100, 2, &[]).unwrap(), step, "it is retried");
        assert_eq!(l.expected_count(), Some(1), "with the count of the report");
    }
    // Guards against an order that an engine executes in another state than the one it was decided
    // on, for example late or beside an order of another host.
    every_order_names_the_count: {
        let mut l = loader(&[]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        assert_eq!(l.expected_count(), Some(0));
        l.record_sent(at(1000), &step);
        assert_eq!(l.expected_count(), None, "one order at a time");
        l.record_response(at(1005), &step, Some(OrderResponse::Accepted));
        assert_eq!(l.expected_count(), Some(1));
        l.record_check_sent();
        assert_eq!(l.expected_count(), None, "a repeated order is one as well");
        l.record_check(at(1010), &adapter(3), Some(OrderResponse::Accepted));
        assert_eq!(l.expected_count(), Some(1), "it changes nothing");
        l.apply_report(at(1020), &report(0, &[]));
        assert_eq!(l.expected_count(), Some(1), "an older report");
        l.apply_report(at(1030), &report(4, &[]));
        assert_eq!(l.expected_count(), Some(4), "another host has sent orders");
    }
    // Guards against orders that go on after a lost response, when it is open what the engine holds.
    a_lost_response_waits_for_a_report: {
        let mut l = loader(&[1]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1300), &step, None);
        assert!(l.needs_report());
        assert_eq!(next(&mut l, 1400, 2, &[]), None);
        let mut r = report(1, &[1]);
        r.transferring = vec![adapter(3)];
        l.apply_report(at(1400), &r);
        assert_eq!(next(&mut l, 1410, 2, &[]).unwrap(), step, "to learn when the load ends");
        assert_eq!(l.expected_count(), Some(1));
        l.record_sent(at(1410), &step);
        l.record_response(at(1420), &step, Some(OrderResponse::Accepted));
        assert_eq!(l.expected_count(), Some(1), "the load was under way");
    }
    // Guards against an engine that gets no orders any more after the response to an unload is lost.
    an_unload_without_a_response_does_not_block_orders: {
        let mut l = loader(&[1, 2]);
        request(&mut l, 1000, 3, 2, &[]);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1300), &step, None);
        l.apply_report(at(1400), &report(0, &[1, 2]));
        assert_eq!(next(&mut l, 1410, 2, &[]).unwrap().verb, Verb::Unload);
    }
    // Guards against a lost response that lets a second load exceed the slots.
    an_unanswered_load_counts_as_under_way: {
        let mut l = loader(&[1]);
        request(&mut l, 1000, 3, 2, &[1]);
        let step = next(&mut l, 1000, 2, &[1]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1300), &step, None);
        assert_eq!(request(&mut l, 1400, 4, 2, &[1]), LoadStatus::Refused);
    }
    // Guards against unloading another adapter when a new version replaces an old one that no request
    // uses.
    a_newer_version_takes_the_slot_of_the_old_one: {
        let mut l = loader(&[1, 2]);
        let newer = Resident { version: 2, ..adapter(1) };
        assert_eq!(l.request_load(at(1000), newer.clone(), 2, |_| false), LoadStatus::Queued);
        let unload = next(&mut l, 1400, 2, &[]).unwrap();
        assert_eq!(unload, Step { verb: Verb::Unload, resident: adapter(1) });
        l.record_sent(at(1400), &unload);
        l.record_response(at(1405), &unload, Some(OrderResponse::Done));
        let step = next(&mut l, 1410, 2, &[]).unwrap();
        assert_eq!(step, Step { verb: Verb::Load, resident: newer.clone() });
        l.record_sent(at(1410), &step);
        assert!(!l.is_resident(&adapter(1)), "the old version is not offered any more");
        l.finish_load(at(1500), &newer);
        assert!(l.is_resident(&newer));
    }
    // Guards against a load beside a replacement: the old version stays until the runs that use it
    // have ended, and the new one takes a slot of its own meanwhile (soak, seed 404: a seventh adapter
    // beside a11@1 and a11@4).
    a_replacement_takes_a_slot_of_its_own: {
        let mut l = loader(&[1]);
        let newer = Resident { version: 2, ..adapter(1) };
        l.request_load(at(1000), newer, 2, |_| false);
        let step = next(&mut l, 1000, 2, &[1]).unwrap();
        assert_eq!(step.verb, Verb::Load);
        l.record_sent(at(1000), &step);
        l.record_response(at(1005), &step, Some(OrderResponse::Accepted));
        request(&mut l, 1010, 3, 2, &[]);
        assert_eq!(next(&mut l, 1020, 2, &[1]), None);
        let mut r = report(1, &[1]);
        r.transferring = vec![Resident { version: 2, ..adapter(1) }];
        l.apply_report(at(1300), &r);
        assert_eq!(next(&mut l, 1310, 2, &[1]), None, "as the report shows");
    }
    // Guards against a load that is taken for ended, and ordered again, because it names no version
    // while the report does.
    a_load_of_the_newest_version_is_found_in_the_report: {
        let mut l = loader(&[]);
        let newest = Resident { version: 0, ..adapter(3) };
        l.request_load(at(1000), newest.clone(), 2, |_| false);
        let step = next(&mut l, 1000, 2, &[]).unwrap();
        l.record_sent(at(1000), &step);
        l.record_response(at(1005), &step, Some(OrderResponse::Accepted));
        let mut r = report(1, &[]);
        r.transferring = vec![adapter(3)];
        l.apply_report(at(1100), &r);
        assert!(l.is_loading(&newest));
        assert_eq!(l.request_load(at(1110), newest, 2, |_| false), LoadStatus::Queued);
        assert_eq!(next(&mut l, 1120, 2, &[]), None, "it is under way");
        request(&mut l, 1130, 4, 2, &[]);
        assert_eq!(next(&mut l, 1140, 2, &[]).unwrap().resident, adapter(4), "one slot is taken");
    }
    // Guards against more transfers than an engine accepts.
    four_adapters_are_in_transit_at_most: {
        let mut l = loader(&[]);
        for n in 0..6 {
            request(&mut l, 1000, n, 8, &[]);
        }
        for _ in 0..4 {
            let step = next(&mut l, 1000, 8, &[]).unwrap();
            l.record_sent(at(1000), &step);
            l.record_response(at(1000), &step, Some(OrderResponse::Accepted));
        }
        assert_eq!(next(&mut l, 1001, 8, &[]), None);
    }
}
