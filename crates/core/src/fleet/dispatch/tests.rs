use std::{net::Ipv4Addr, time::Duration};

use super::{Choice, Dispatcher, Grant, Refusal, reading_ms};
use crate::{
    fleet::{
        ask::{Ask, Demand, Part},
        digest::{Digest, Engine, Load, State},
        hash32,
        health::Outcome,
        inventory::{EngineSpec, Entry, Inventory, Kind, ModelSpec, Service, VersionMark},
        replicas::ReplicaKey,
        report::Resident,
    },
    time::Tick,
};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn resident(name: &str) -> Resident {
    Resident { artifact: name.into(), version: 1 }
}

// Engines that hold the model and the named adapters, all of them open to orders.
fn engines(held: &[&[&str]]) -> Dispatcher {
    let spec = EngineSpec {
        slots: 64,
        memory: 200_000,
        places: 2,
        capacity: 1000.0,
        models: vec![ModelSpec { name: "m".into(), size: 900.0 }],
    };
    let service =
        |name: &str, engine| Service { name: name.into(), health: None, connections: None, engine };
    let mut d = Dispatcher::new("a".into());
    let services = vec![service("engines", Some(spec)), service("plain", None)];
    d.configure(&Inventory { services, ..Inventory::default() });
    let entry = |id: String, service: &str, residents| Entry {
        address: "10.0.0.9:80".parse().unwrap(),
        id: id.into(),
        service: service.into(),
        zone: "a".into(),
        slots: 6,
        born: 1,
        leaving: false,
        remaining: None,
        residents,
    };
    let mut entries: Vec<_> = held
        .iter()
        .enumerate()
        .map(|(i, names)| {
            let residents = names.iter().map(|n| resident(n)).chain([resident("m")]).collect();
            entry(format!("e{i}"), "engines", residents)
        })
        .collect();
    entries.extend((0..3).map(|i| entry(format!("p{i}"), "plain", Vec::new())));
    d.replicas.sync(at(0), at(0), entries, Duration::from_secs(2));
    for (_, r) in d.replicas.iter_mut() {
        r.held = true;
    }
    d
}

fn ask(id: &str, adapter: &str, prompt: u32) -> Ask {
    // A prompt of its own.
    let parts = vec![Part { id: u64::from(hash32(&[id])), tokens: prompt }];
    let demand = Demand { artifact: adapter.into(), prompt, output: 50, parts };
    Ask {
        id: id.into(),
        service: "engines".into(),
        demand: Some(demand),
        kind: Kind::Stream { resumable: true },
        aim: at(1000),
        deadline: at(6000),
        tried: Vec::new(),
        sent: 0,
    }
}

fn plain(id: &str) -> Ask {
    Ask { service: "plain".into(), demand: None, kind: Kind::Safe, ..ask(id, "", 0) }
}

fn grant(d: &mut Dispatcher, a: &Ask) -> Grant {
    match d.choose(at(0), a) {
        Choice::Granted(g) => *g,
        refused @ Choice::Refused { .. } => panic!("{refused:?}"),
    }
}

fn refusal(d: &mut Dispatcher, a: &Ask) -> (Refusal, Duration) {
    match d.choose(at(0), a) {
        Choice::Refused { reason, retry } => (reason, retry),
        Choice::Granted(g) => panic!("{g:?}"),
    }
}

fn key(d: &Dispatcher, id: &str) -> ReplicaKey {
    d.replicas.iter().find(|(_, r)| r.id == id).unwrap().0
}

fn digest(loads: Vec<Load>, engines: Vec<Engine>) -> Digest {
    Digest {
        ip: Ipv4Addr::new(10, 0, 0, 2),
        front: "10.0.0.2:80".parse().unwrap(),
        zone: "a".into(),
        life: 1,
        number: 1,
        state: State::Serving,
        members: Vec::new(),
        age: 60_000,
        revision: 0,
        ordered: Vec::new(),
        operator: None,
        listing: None,
        accounts: Vec::new(),
        loads,
        kept: Vec::new(),
        engines,
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Pattern: many rare adapters. Guards against a load of what another engine holds.
    a_resident_adapter_is_used: {
        let mut d = engines(&[&["m/a1"], &[], &[]]);
        for i in 0..5 {
            let g = grant(&mut d, &ask(&format!("r{i}"), "m/a1", 800));
            assert_eq!((g.id.as_str(), g.load), ("e0", None));
        }
    }
    // Pattern: one hot adapter. Guards against a queue at its only engine that makes all late.
    a_hot_adapter_gets_another_copy: {
        let mut d = engines(&[&["m/a1"], &[], &[]]);
        let grants: Vec<_> =
            (0..12).map(|i| grant(&mut d, &ask(&format!("r{i}"), "m/a1", 9000))).collect();
        assert!(grants.iter().any(|g| g.load.is_some()));
        let first = grants.iter().position(|g| g.load.is_some()).unwrap();
        assert!(first >= 2, "not while its engine is in time");
    }
    // Pattern: many loads at once in a large fleet. Guards against a hot adapter that gets no copy
    // because loads elsewhere are believed to slow down its own.
    loads_elsewhere_do_not_keep_a_hot_adapter_at_one_engine: {
        let mut held: Vec<&[&str]> = vec![&["m/a1"]];
        held.resize(90, &[]);
        let mut d = engines(&held);
        let told = d.replicas.iter().filter(|(_, r)| r.service == "engines" && r.id != "e0");
        let told = told.map(|(_, r)| Engine {
            replica: r.hash,
            held: true,
            alive: true,
            loading: 1,
            residents: vec![resident("m")],
        });
        let told = told.collect();
        d.heard(at(0), &digest(Vec::new(), told));
        let grants: Vec<_> =
            (0..6).map(|i| grant(&mut d, &ask(&format!("r{i}"), "m/a1", 9000))).collect();
        assert!(grants.iter().any(|g| g.load.is_some()));
    }
    // Pattern: prompts of very different lengths. Guards against a short one behind a long one.
    short_prompts_avoid_long_ones: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let long = grant(&mut d, &ask("long", "m/a1", 39_000));
        for i in 0..6 {
            assert_ne!(grant(&mut d, &ask(&format!("s{i}"), "m/a1", 600)).id, long.id);
        }
    }
    // Pattern: several hosts see one idle engine. Guards against all of them choosing it.
    peers_requests_count: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let replica = d.replicas.get(key(&d, "e0")).unwrap().hash;
        let load = Load { replica, reading: 700, runs: 3, memory: 20, uses: Vec::new() };
        d.heard(at(0), &digest(vec![load], Vec::new()));
        assert_eq!(grant(&mut d, &ask("r", "m/a1", 800)).id, "e1");
        d.silent(Ipv4Addr::new(10, 0, 0, 2));
        assert_eq!(d.replicas.get(key(&d, "e0")).unwrap().total().runs, 0);
    }
    // Pattern: a subject asked for again. Guards against a second reading of a shared prompt.
    a_kept_prompt_is_worth_a_longer_queue: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let first = grant(&mut d, &ask("r1", "m/a1", 9000));
        d.first(at(250), first.run);
        d.end(at(400), first.run, Outcome::Good);
        let again = Ask { id: "r2".into(), ..ask("r1", "m/a1", 9000) };
        assert_eq!(grant(&mut d, &again).id, first.id);
    }
    // Pattern: all places in use. Guards against a wait for a place that nobody gives up, and a
    // refusal beyond a third of the caller's time.
    no_place_is_refused_at_once: {
        let mut d = engines(&[&["m/a1", "m/a2"]]);
        grant(&mut d, &ask("r1", "m/a1", 800));
        grant(&mut d, &ask("r2", "m/a2", 800));
        let (reason, retry) = refusal(&mut d, &ask("r3", "m/a3", 800));
        assert_eq!(reason, Refusal::NoPlace);
        assert!(retry > Duration::ZERO && retry <= Duration::from_secs(2));
        grant(&mut d, &ask("r4", "m/a1", 800));
    }
    // Guards against places that peers use and this host does not know of.
    places_of_peers_count: {
        let mut d = engines(&[&["m/a1", "m/a2"]]);
        let replica = d.replicas.get(key(&d, "e0")).unwrap().hash;
        let uses = vec![hash32(&["m/a1"]), hash32(&["m/a2"])];
        let load = Load { replica, reading: 0, runs: 2, memory: 2, uses };
        d.heard(at(0), &digest(vec![load], Vec::new()));
        assert!(d.in_use(key(&d, "e0"), "m/a1"));
        assert_eq!(refusal(&mut d, &ask("r", "m/a3", 800)).0, Refusal::NoPlace);
    }
    // Guards against a load that no reachable host may order.
    an_engine_without_an_owner_loads_nothing: {
        let mut d = engines(&[&["m/a1"]]);
        let k = key(&d, "e0");
        d.replicas.get_mut(k).unwrap().held = false;
        assert_eq!(refusal(&mut d, &ask("r", "m/a3", 800)).0, Refusal::NoPlace);
        assert_eq!(grant(&mut d, &ask("r", "m/a1", 800)).load, None);
    }
    // Pattern: all hosts were lost and callers ask for adapters that no engine holds. Guards against
    // callers that spend their one return while nobody may order a load yet, and against all of
    // them returning at once.
    callers_return_when_engines_have_owners: {
        let mut d = engines(&[&["m/a1"], &[]]);
        for (_, r) in d.replicas.iter_mut() {
            r.held = false;
        }
        let asks = (0..40).map(|i| Ask { deadline: at(12_000), ..ask(&format!("r{i}"), "m/a3", 800) });
        let mut backs: Vec<_> = asks.map(|a| refusal(&mut d, &a).1.as_millis()).collect();
        backs.sort_unstable();
        assert!(backs[0] >= 1800 && backs[39] <= 3000, "{backs:?}");
        assert!(backs[39] - backs[0] > 600, "{backs:?}");
    }
    // Pattern: a load and a queue. Guards against a load that is believed to run beside the reading
    // of what was admitted before: the request queues when the load has ended.
    a_load_and_a_queue_add_up: {
        let mut d = engines(&[&[]]);
        let first = grant(&mut d, &ask("r1", "m/a1", 20_000));
        let second = grant(&mut d, &ask("r2", "m/a2", 20_000));
        assert!(second.load.is_some());
        let read = Duration::from_millis(reading_ms(20_000, 20_000) as u64);
        assert!(second.expected >= first.expected + read, "{second:?}");
    }
    // Guards against a request on an older version than the newest one that was announced.
    an_old_version_is_not_used: {
        let mut d = engines(&[&["m/a1"]]);
        let mark = VersionMark { artifact: "m/a1".into(), version: 2 };
        assert_eq!(d.versions(vec![mark.clone()]).len(), 1);
        let g = grant(&mut d, &ask("r", "m/a1", 800));
        assert_eq!(g.load, Some(Resident { artifact: "m/a1".into(), version: 2 }));
        assert_eq!(g.version, Some(2));
        assert!(d.versions(vec![VersionMark { version: 1, ..mark }]).is_empty(), "never back");
    }
    // Guards against a wait for an answer that must be late.
    what_cannot_be_in_time_is_refused: {
        let mut d = engines(&[&["m/a1"]]);
        for i in 0..8 {
            grant(&mut d, &ask(&format!("r{i}"), "m/a1", 20_000));
        }
        assert_eq!(refusal(&mut d, &ask("last", "m/a1", 30_000)).0, Refusal::Late);
    }
    // Guards against a replica that is tried twice by one request.
    a_tried_replica_is_not_chosen_again: {
        let mut d = engines(&[]);
        let mut a = plain("r");
        for _ in 0..3 {
            let g = grant(&mut d, &a);
            assert!(!a.tried.contains(&g.replica));
            a.tried.push(g.replica);
        }
        assert_eq!(refusal(&mut d, &a).0, Refusal::NoReplica);
    }
    // Guards against ejections that leave a service without replicas.
    at_most_half_of_a_service_is_ejected: {
        let mut d = engines(&[]);
        for id in ["p0", "p1", "p2"] {
            let k = key(&d, id);
            d.record(at(0), k, Outcome::Lost);
            d.record(at(0), k, Outcome::Lost);
        }
        grant(&mut d, &plain("r"));
    }
    // Guards against requests that may run once as probes of a bad replica.
    an_ejected_replica_is_probed_by_what_may_be_repeated: {
        let mut d = engines(&[]);
        let k = key(&d, "p0");
        d.record(at(0), k, Outcome::Lost);
        d.record(at(0), k, Outcome::Lost);
        let once = Ask { kind: Kind::Unsafe, aim: at(3000), deadline: at(9000), ..plain("once") };
        for i in 0..20 {
            let a = Ask { id: format!("o{i}").into(), ..once.clone() };
            let Choice::Granted(g) = d.choose(at(1600), &a) else { panic!() };
            assert_ne!(g.id, "p0");
        }
    }
    // Guards against counts of ended requests that stay and turn an engine away for ever.
    ended_requests_leave_nothing: {
        let mut d = engines(&[&["m/a1"]]);
        let runs: Vec<_> =
            (0..5).map(|i| grant(&mut d, &ask(&format!("r{i}"), "m/a1", 700)).run).collect();
        for (i, r) in runs.into_iter().enumerate() {
            if i % 2 == 0 {
                d.first(at(50), r);
            }
            d.end(at(90), r, Outcome::Neutral);
            d.end(at(91), r, Outcome::Neutral);
        }
        let own = d.replicas.get(key(&d, "e0")).unwrap().own;
        assert_eq!((own.reading, own.runs, own.memory), (0.0, 0, 0));
        assert!(d.tell().0.is_empty());
    }
    // Guards against a replica that has turned slow and is taken for a fast one.
    a_slow_replica_is_expected_to_be_slow: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let k = key(&d, "e0");
        for i in 0..12 {
            let mut a = ask(&format!("r{i}"), "m/a1", 4000);
            a.tried = vec![key(&d, "e1")];
            let g = grant(&mut d, &a);
            d.first(at(800), g.run);
            d.end(at(900), g.run, Outcome::Good);
        }
        assert!(d.replicas.get(k).unwrap().pace > 2.0);
        assert_eq!(grant(&mut d, &ask("r", "m/a1", 4000)).id, "e1");
    }
    // Guards against a reading time that differs from the platform's figures: 9,190 tokens take
    // 237 ms and about 30 ms for their length.
    reading_times_follow_the_data_sheet: {
        let ms = reading_ms(9190, 9190);
        assert!((260.0..276.0).contains(&ms), "{ms}");
        assert!(reading_ms(2890, 9190) < 0.5 * ms);
        assert_eq!(reading_ms(0, 9190), 0.0);
    }
    // Guards against engines that a peer's digest marks as dead and that get work at once.
    an_engine_that_its_owner_calls_dead_is_left_out: {
        let mut d = engines(&[&["m/a1"]]);
        let replica = d.replicas.get(key(&d, "e0")).unwrap().hash;
        let residents = vec![resident("m"), resident("m/a1")];
        let e = Engine { replica, held: true, alive: false, loading: 0, residents };
        d.heard(at(0), &digest(Vec::new(), vec![e]));
        assert_eq!(refusal(&mut d, &ask("r", "m/a1", 800)).0, Refusal::NoReplica);
    }
}
