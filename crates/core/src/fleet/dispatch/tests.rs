use std::{net::Ipv4Addr, time::Duration};

use super::{Assignment, DispatchDecision, Dispatcher, Refusal, prefill_ms};
use crate::{
    fleet::{
        config::{
            EngineSpec, FleetConfig, ModelSpec, NewestVersion, ReplicaEntry, RouteKind, Service,
        },
        digest::{Digest, EngineState, HostState, ReplicaLoad},
        hash32,
        health::Outcome,
        replicas::ReplicaKey,
        report::Resident,
        request::{InferenceSpec, PrefixBlock, ReplicaRequest},
    },
    time::Tick,
};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn resident(name: &str) -> Resident {
    Resident { artifact: name.into(), version: 1 }
}

// Engines with the model and the named adapters resident, all of them orderable.
fn engines(adapters: &[&[&str]]) -> Dispatcher {
    let spec = EngineSpec {
        slots: 64,
        kv_tokens: 200_000,
        adapter_slots: 2,
        capacity_mb: 1000.0,
        models: vec![ModelSpec { name: "m".into(), weights_mb: 900.0, adapter_mb: 10.0 }],
    };
    let service = |name: &str, engine| Service {
        name: name.into(),
        health_path: None,
        max_connections: None,
        engine,
    };
    let mut d = Dispatcher::new("a".into());
    let services = vec![service("engines", Some(spec)), service("plain", None)];
    d.configure(&FleetConfig { services, ..FleetConfig::default() });
    let entry = |id: String, service: &str, residents| ReplicaEntry {
        address: "10.0.0.9:80".parse().unwrap(),
        id: id.into(),
        service: service.into(),
        zone: "a".into(),
        slots: 6,
        started_ms: 1,
        leaving: false,
        remaining: None,
        residents,
        software: "v1".into(),
    };
    let mut entries: Vec<_> = adapters
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
        r.orderable = true;
    }
    d
}

fn request(id: &str, adapter: &str, prompt: u32) -> ReplicaRequest {
    // A prefix that no other request shares.
    let prefix = vec![PrefixBlock { id: u64::from(hash32(&[id])), tokens: prompt }];
    let inference = InferenceSpec {
        artifact: adapter.into(),
        prompt_tokens: prompt,
        output_tokens: 50,
        prefix,
    };
    ReplicaRequest {
        id: id.into(),
        service: "engines".into(),
        inference: Some(inference),
        kind: RouteKind::Stream { resumable: true },
        slo_deadline: at(1000),
        deadline: at(6000),
        excluded: Vec::new(),
        attempts: 0,
        fingerprint: 0,
        software: None,
    }
}

fn plain(id: &str) -> ReplicaRequest {
    ReplicaRequest {
        service: "plain".into(),
        inference: None,
        kind: RouteKind::Safe,
        ..request(id, "", 0)
    }
}

fn assign(d: &mut Dispatcher, a: &ReplicaRequest) -> Assignment {
    match d.choose(at(0), a) {
        DispatchDecision::Assigned(g) => *g,
        refused @ DispatchDecision::Refused { .. } => panic!("{refused:?}"),
    }
}

fn refusal(d: &mut Dispatcher, a: &ReplicaRequest) -> (Refusal, Duration) {
    match d.choose(at(0), a) {
        DispatchDecision::Refused { reason, retry_after } => (reason, retry_after),
        DispatchDecision::Assigned(g) => panic!("{g:?}"),
    }
}

fn key(d: &Dispatcher, id: &str) -> ReplicaKey {
    d.replicas.iter().find(|(_, r)| r.id == id).unwrap().0
}

fn digest(loads: Vec<ReplicaLoad>, engines: Vec<EngineState>) -> Digest {
    Digest {
        ip: Ipv4Addr::new(10, 0, 0, 2),
        front: "10.0.0.2:80".parse().unwrap(),
        zone: "a".into(),
        incarnation: 1,
        sequence: 1,
        state: HostState::Serving,
        members: Vec::new(),
        age_ms: 60_000,
        revision: 0,
        fences: Vec::new(),
        operator: None,
        listing: None,
        accounts: Vec::new(),
        loads,
        cached: Vec::new(),
        engines,
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Pattern: prompts of a thousand blocks, many a second. Guards against a digest that does not fit
    // into a datagram, whose sender the peers take for silent.
    many_blocks_fit_into_a_digest: {
        let mut d = engines(&[&["m/a1"]]);
        for _ in 0..2 {
            for n in 0..6 {
                let mut r = request(&format!("r{n}"), "m/a1", 1000);
                let blocks = (0..1000).map(|i| PrefixBlock { id: n * 1000 + i, tokens: 1 });
                r.inference.as_mut().unwrap().prefix = blocks.collect();
                assign(&mut d, &r);
            }
            let (_, cached) = d.digest_entries();
            let bytes = postcard::to_stdvec(&cached).unwrap().len();
            assert!(!cached.is_empty() && bytes < 40_000, "{bytes}");
        }
    }
    // Pattern: some replicas in need. Guards against requests beyond the limit that a replica names
    // while another one has room.
    a_replica_whose_limit_is_used_up_is_passed_over: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let e0 = key(&d, "e0");
        d.observe_limit(at(0), e0, at(0), Some(2.0));
        d.replicas.get_mut(e0).unwrap().limit.set_sender(true);
        for i in 0..5 {
            assert_eq!(assign(&mut d, &request(&format!("r{i}"), "m/a1", 800)).id, "e1");
        }
    }
    // Pattern: all replicas in need. Guards against requests that wait for what no replica takes,
    // and against a time to return at which nothing has changed.
    requests_beyond_all_limits_return_when_one_may_be_sent: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        for id in ["e0", "e1"] {
            let k = key(&d, id);
            d.observe_limit(at(0), k, at(0), Some(0.8));
            d.replicas.get_mut(k).unwrap().limit.set_sender(true);
        }
        let (reason, wait) = refusal(&mut d, &request("r", "m/a1", 800));
        assert_eq!(reason, Refusal::Limited);
        assert_eq!(wait, Duration::from_secs(1));
    }
    // Pattern: a fleet with more hosts than a limited replica takes requests a second. Guards
    // against hosts that all use the same request of its limit.
    other_hosts_send_nothing_to_a_limited_replica: {
        let mut d = engines(&[&["m/a1"]]);
        let e0 = key(&d, "e0");
        d.observe_limit(at(0), e0, at(0), Some(50.0));
        match d.choose(at(5000), &request("r", "m/a1", 800)) {
            DispatchDecision::Refused { reason, .. } => assert_eq!(reason, Refusal::Limited),
            DispatchDecision::Assigned(g) => panic!("{g:?}"),
        }
    }
    // Pattern: many rarely used adapters. Guards against a load of an adapter that another engine
    // holds already.
    a_resident_adapter_is_used: {
        let mut d = engines(&[&["m/a1"], &[], &[]]);
        for i in 0..5 {
            let g = assign(&mut d, &request(&format!("r{i}"), "m/a1", 800));
            assert_eq!((g.id.as_str(), g.required_load), ("e0", None));
        }
    }
    // Pattern: one popular adapter. Guards against a queue at its only engine that delays every
    // request.
    a_hot_adapter_gets_another_copy: {
        let mut d = engines(&[&["m/a1"], &[], &[]]);
        let assignments: Vec<_> =
            (0..12).map(|i| assign(&mut d, &request(&format!("r{i}"), "m/a1", 9000))).collect();
        assert!(assignments.iter().any(|g| g.required_load.is_some()));
        let first = assignments.iter().position(|g| g.required_load.is_some()).unwrap();
        assert!(first >= 2, "only when its engine would be late");
    }
    // Pattern: many concurrent loads in a large fleet. Guards against a popular adapter that gets
    // no second copy because loads at other engines are assumed to slow down its own.
    loads_elsewhere_do_not_keep_a_hot_adapter_at_one_engine: {
        let mut adapters: Vec<&[&str]> = vec![&["m/a1"]];
        adapters.resize(90, &[]);
        let mut d = engines(&adapters);
        let states = d.replicas.iter().filter(|(_, r)| r.service == "engines" && r.id != "e0");
        let states = states.map(|(_, r)| EngineState {
            replica: r.id_hash,
            orderable: true,
            alive: true,
            loading: 1,
            residents: vec![resident("m")],
        });
        let states = states.collect();
        d.apply_digest(at(0), &digest(Vec::new(), states));
        let assignments: Vec<_> =
            (0..6).map(|i| assign(&mut d, &request(&format!("r{i}"), "m/a1", 9000))).collect();
        assert!(assignments.iter().any(|g| g.required_load.is_some()));
    }
    // Pattern: rare adapters asked for at several hosts at once in a large fleet, each host busy
    // elsewhere. Guards against hosts that load one adapter at different engines before they learn
    // of each other's loads.
    hosts_choose_the_same_engine_for_a_rare_adapter: {
        let adapters: Vec<&[&str]> = vec![&[]; 78];
        let mut hosts: Vec<_> = (0..20).map(|_| engines(&adapters)).collect();
        let mut copies = 0;
        for a in 0..40 {
            let adapter = format!("m/a{a}");
            let mut chosen = std::collections::BTreeSet::new();
            for (h, d) in hosts.iter_mut().enumerate() {
                // Each host has a prompt of its own at some engine.
                let own = format!("m/own{h}-{a}");
                let busy = assign(d, &request(&own, &own, 3000));
                let rare = assign(d, &request(&format!("{h}-{a}"), &adapter, 800));
                for attempt in [busy.attempt, rare.attempt] {
                    d.finish(at(0), attempt, Outcome::Neutral);
                }
                chosen.insert(rare.id);
            }
            copies += chosen.len();
        }
        assert!(copies <= 40 * 2, "{copies} loads of 40 adapters");
    }
    // Pattern: several requests for one adapter while it is loading. Guards against a second load at
    // another engine.
    requests_share_a_load: {
        let mut d = engines(&[&[], &[], &[]]);
        let first = assign(&mut d, &request("r1", "m/a1", 2000));
        let second = assign(&mut d, &request("r2", "m/a1", 2000));
        assert!(first.required_load.is_some());
        assert_eq!(second.id, first.id);
    }
    // Pattern: prompts of very different lengths. Guards against a short prompt that waits behind a
    // long one.
    short_prompts_avoid_long_ones: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let long = assign(&mut d, &request("long", "m/a1", 39_000));
        for i in 0..6 {
            assert_ne!(assign(&mut d, &request(&format!("s{i}"), "m/a1", 600)).id, long.id);
        }
    }
    // Pattern: several hosts see one idle engine. Guards against all of them choosing it.
    peers_requests_count: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let replica = d.replicas.get(key(&d, "e0")).unwrap().id_hash;
        let load = ReplicaLoad {
            replica,
            prefill_ms: 700,
            inflight: 3,
            kv_thousands: 20,
            artifacts: Vec::new(),
        };
        d.apply_digest(at(0), &digest(vec![load], Vec::new()));
        assert_eq!(assign(&mut d, &request("r", "m/a1", 800)).id, "e1");
        d.remove_peer(Ipv4Addr::new(10, 0, 0, 2));
        assert_eq!(d.replicas.get(key(&d, "e0")).unwrap().total_load().inflight, 0);
    }
    // Pattern: a request with the same prompt. Guards against a second prefill of a shared prefix.
    a_cached_prompt_outweighs_a_longer_queue: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let first = assign(&mut d, &request("r1", "m/a1", 9000));
        d.record_first(at(250), first.attempt);
        d.finish(at(400), first.attempt, Outcome::Success);
        let again = ReplicaRequest { id: "r2".into(), ..request("r1", "m/a1", 9000) };
        assert_eq!(assign(&mut d, &again).id, first.id);
    }
    // Pattern: all adapter slots in use. Guards against a wait for a slot that does not become
    // free, and against a refusal that asks for more than a third of the caller's time.
    a_request_without_a_free_slot_is_refused: {
        let mut d = engines(&[&["m/a1", "m/a2"]]);
        assign(&mut d, &request("r1", "m/a1", 800));
        assign(&mut d, &request("r2", "m/a2", 800));
        let (reason, retry_after) = refusal(&mut d, &request("r3", "m/a3", 800));
        assert_eq!(reason, Refusal::NoAdapterSlot);
        assert!(retry_after > Duration::ZERO && retry_after <= Duration::from_secs(2));
        assign(&mut d, &request("r4", "m/a1", 800));
    }
    // Guards against slots that count as free although requests of peers use their adapters.
    slots_used_by_peers_count: {
        let mut d = engines(&[&["m/a1", "m/a2"]]);
        let replica = d.replicas.get(key(&d, "e0")).unwrap().id_hash;
        let artifacts = vec![hash32(&["m/a1"]), hash32(&["m/a2"])];
        let load =
            ReplicaLoad { replica, prefill_ms: 0, inflight: 2, kv_thousands: 2, artifacts };
        d.apply_digest(at(0), &digest(vec![load], Vec::new()));
        assert!(d.in_use(key(&d, "e0"), "m/a1"));
        assert_eq!(refusal(&mut d, &request("r", "m/a3", 800)).0, Refusal::NoAdapterSlot);
    }
    // Guards against a load that no reachable host may order.
    an_engine_without_an_owner_loads_nothing: {
        let mut d = engines(&[&["m/a1"]]);
        let k = key(&d, "e0");
        d.replicas.get_mut(k).unwrap().orderable = false;
        assert_eq!(refusal(&mut d, &request("r", "m/a3", 800)).0, Refusal::NoAdapterSlot);
        assert_eq!(assign(&mut d, &request("r", "m/a1", 800)).required_load, None);
    }
    // Pattern: all hosts were lost and callers need adapters that no engine holds. Guards against
    // callers that use up their only retry while nobody may order a load yet, and against all of
    // them retrying at the same time.
    callers_return_when_engines_have_owners: {
        let mut d = engines(&[&["m/a1"], &[]]);
        for (_, r) in d.replicas.iter_mut() {
            r.orderable = false;
        }
        let requests = (0..40).map(|i| ReplicaRequest {
            deadline: at(12_000),
            ..request(&format!("r{i}"), "m/a3", 800)
        });
        let mut waits: Vec<_> = requests.map(|a| refusal(&mut d, &a).1.as_millis()).collect();
        waits.sort_unstable();
        assert!(waits[0] >= 1800 && waits[39] <= 3000, "{waits:?}");
        assert!(waits[39] - waits[0] > 600, "{waits:?}");
    }
    // Pattern: a load at an engine with a queue. Guards against an estimate in which the load
    // overlaps with the prefill of earlier requests: the request joins the queue after its load.
    a_load_and_a_queue_add_up: {
        let mut d = engines(&[&[]]);
        let first = assign(&mut d, &request("r1", "m/a1", 20_000));
        let second = assign(&mut d, &request("r2", "m/a2", 20_000));
        assert!(second.required_load.is_some());
        let read = Duration::from_millis(prefill_ms(20_000, 20_000) as u64);
        assert!(second.expected_latency >= first.expected_latency + read, "{second:?}");
    }
    // Guards against a request that runs on an older version than the newest announced one.
    an_old_version_is_not_used: {
        let mut d = engines(&[&["m/a1"]]);
        let mark = NewestVersion { artifact: "m/a1".into(), version: 2 };
        assert_eq!(d.versions.raise(at(0), vec![mark.clone()]).len(), 1);
        let g = assign(&mut d, &request("r", "m/a1", 800));
        assert_eq!(g.required_load, Some(Resident { artifact: "m/a1".into(), version: 2 }));
        assert_eq!(g.version, Some(2));
        assert!(
            d.versions.raise(at(0), vec![NewestVersion { version: 1, ..mark }]).is_empty(),
            "versions never fall"
        );
    }
    // Guards against a wait for a response that cannot meet the deadline.
    a_request_that_would_be_late_is_refused: {
        let mut d = engines(&[&["m/a1"]]);
        for i in 0..8 {
            assign(&mut d, &request(&format!("r{i}"), "m/a1", 20_000));
        }
        assert_eq!(refusal(&mut d, &request("last", "m/a1", 30_000)).0, Refusal::Late);
    }
    // Guards against a request that is sent to the same replica twice.
    a_tried_replica_is_not_chosen_again: {
        let mut d = engines(&[]);
        let mut a = plain("r");
        for _ in 0..3 {
            let g = assign(&mut d, &a);
            assert!(!a.excluded.contains(&g.replica));
            a.excluded.push(g.replica);
        }
        assert_eq!(refusal(&mut d, &a).0, Refusal::NoReplica);
    }
    // Guards against ejections that leave a service without replicas.
    at_most_half_of_a_service_is_ejected: {
        let mut d = engines(&[]);
        for id in ["p0", "p1", "p2"] {
            let k = key(&d, id);
            d.record_outcome(at(0), k, Outcome::NoResponse);
            d.record_outcome(at(0), k, Outcome::NoResponse);
        }
        assign(&mut d, &plain("r"));
    }
    // Guards against probing a bad replica with requests that may run only once.
    only_idempotent_requests_probe_an_ejected_replica: {
        let mut d = engines(&[]);
        let k = key(&d, "p0");
        d.record_outcome(at(0), k, Outcome::NoResponse);
        d.record_outcome(at(0), k, Outcome::NoResponse);
        let once = ReplicaRequest {
            kind: RouteKind::Unsafe,
            slo_deadline: at(3000),
            deadline: at(9000),
            ..plain("once")
        };
        for i in 0..20 {
            let a = ReplicaRequest { id: format!("o{i}").into(), ..once.clone() };
            let DispatchDecision::Assigned(g) = d.choose(at(1600), &a) else { panic!() };
            assert_ne!(g.id, "p0");
        }
    }
    // Guards against counters that keep ended requests, so that an engine seems full forever.
    ended_requests_leave_no_load: {
        let mut d = engines(&[&["m/a1"]]);
        let runs: Vec<_> =
            (0..5).map(|i| assign(&mut d, &request(&format!("r{i}"), "m/a1", 700)).attempt).collect();
        for (i, r) in runs.into_iter().enumerate() {
            if i % 2 == 0 {
                d.record_first(at(50), r);
            }
            d.finish(at(90), r, Outcome::Neutral);
            d.finish(at(91), r, Outcome::Neutral);
        }
        let local = d.replicas.get(key(&d, "e0")).unwrap().local;
        assert_eq!((local.prefill_ms, local.inflight, local.kv_tokens), (0.0, 0, 0));
        assert!(d.digest_entries().0.is_empty());
    }
    // Guards against a replica that has become slow and is still treated as a fast one.
    a_slow_replica_is_expected_to_be_slow: {
        let mut d = engines(&[&["m/a1"], &["m/a1"]]);
        let k = key(&d, "e0");
        for i in 0..12 {
            let mut a = request(&format!("r{i}"), "m/a1", 4000);
            a.excluded = vec![key(&d, "e1")];
            let g = assign(&mut d, &a);
            d.record_first(at(800), g.attempt);
            d.finish(at(900), g.attempt, Outcome::Success);
        }
        assert!(d.replicas.get(k).unwrap().slowdown > 2.0);
        assert_eq!(assign(&mut d, &request("r", "m/a1", 4000)).id, "e1");
    }
    // Guards against a prefill time that differs from the platform's figures: 9,190 tokens take 237
    // ms, plus about 30 ms for their length.
    prefill_times_follow_the_data_sheet: {
        let ms = prefill_ms(9190, 9190);
        assert!((260.0..276.0).contains(&ms), "{ms}");
        assert!(prefill_ms(2890, 9190) < 0.5 * ms);
        assert_eq!(prefill_ms(0, 9190), 0.0);
    }
    // Guards against requests for an engine that its owner's digest reports as dead.
    an_engine_that_its_owner_reports_dead_is_not_used: {
        let mut d = engines(&[&["m/a1"]]);
        let replica = d.replicas.get(key(&d, "e0")).unwrap().id_hash;
        let residents = vec![resident("m"), resident("m/a1")];
        let e = EngineState { replica, orderable: true, alive: false, loading: 0, residents };
        d.apply_digest(at(0), &digest(Vec::new(), vec![e]));
        assert_eq!(refusal(&mut d, &request("r", "m/a1", 800)).0, Refusal::NoReplica);
    }
}
