use proptest::prelude::*;

use super::{
    Addresses, Effect, Event, Host, HostList, ListedState, Membership, PeerStatus, ProcessInfo,
    READERS_PER_DOMAIN, Setup, Upstream,
};
use crate::{
    ArcStr,
    ids::{Incarnation, Ordinal},
    rules::Rules,
    time::Tick,
};

fn name(i: u8) -> ArcStr {
    format!("h{i}").into()
}

fn member(i: u8) -> Membership {
    Membership::new(Setup {
        name: name(i),
        ordinal: Ordinal(i),
        group: "".into(),
        domain: domain(i),
        http: "127.0.0.1:8080".into(),
        incarnation: Incarnation(1),
        weight: 1,
    })
}

fn domain(i: u8) -> ArcStr {
    format!("d{}", i % 3).into()
}

fn host(i: u8, state: ListedState) -> Host {
    Host {
        name: name(i),
        ordinal: Ordinal(i),
        group: "".into(),
        domain: domain(i),
        http: format!("127.0.0.1:{}", 1000 + u16::from(i)).as_str().into(),
        peer: format!("127.0.0.1:{}", 2000 + u16::from(i)).as_str().into(),
        state,
    }
}

fn list(generation: u64, hosts: u8) -> HostList {
    let hosts = (0..hosts).map(|i| host(i, ListedState::Live)).collect();
    let upstreams = vec![Upstream { name: "e0".into(), state: ListedState::Live }];
    HostList { generation, hosts, upstreams }
}

fn about(incarnation: u64) -> ProcessInfo {
    ProcessInfo { incarnation: Incarnation(incarnation), leaving: false, lease: true, weight: 1 }
}

fn send(m: &mut Membership, at: u64, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    m.handle(Tick(at), event, &mut out);
    out
}

fn answer(m: &mut Membership, at: u64, i: u8, about: ProcessInfo) {
    send(m, at, Event::Answered { peer: name(i), sent: Tick(at), about });
}

fn status(m: &Membership, at: u64, i: u8) -> PeerStatus {
    m.status(Tick(at), &name(i)).unwrap()
}

fn names(a: &Addresses) -> Vec<&str> {
    a.hosts.iter().map(|h| h.name.as_str()).collect()
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against an older host list from a stale platform service that replaces a newer one.
    an_old_list_never_replaces_a_newer_one: {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(7, 4)));
        for generation in [6, 7] {
            send(&mut m, 1, Event::List(list(generation, 2)));
            assert_eq!(m.peers(Tick(1)).count(), 3);
        }
        send(&mut m, 2, Event::List(list(8, 2)));
        assert_eq!(m.peers(Tick(2)).count(), 1);
    }
    // Guards against a peer that stays alive because of a new host list or a late probe answer.
    a_peer_ages_from_the_probe_it_answered: {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(1, 2)));
        assert_eq!(status(&m, 0, 1), PeerStatus::Suspect);
        answer(&mut m, 100, 1, about(5));
        assert_eq!(status(&m, 1_500_099, 1), PeerStatus::Alive);
        assert_eq!(status(&m, 1_500_100, 1), PeerStatus::Suspect);
        assert_eq!(status(&m, 3_000_100, 1), PeerStatus::Lost);
        let late = Event::Answered { peer: name(1), sent: Tick(50), about: about(4) };
        send(&mut m, 1_500_060, late);
        assert_eq!(status(&m, 1_500_060, 1), PeerStatus::Alive);
        let found = m.addresses(Tick(1_500_060), false).hosts;
        assert_eq!(found[0].incarnation, Incarnation(5).to_string());
    }
    // Guards against new calls to a leaving process because a later host list says it is live.
    a_leaving_process_never_returns_but_its_successor_does: {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(1, 2)));
        answer(&mut m, 0, 1, ProcessInfo { leaving: true, ..about(5) });
        answer(&mut m, 1, 1, about(5));
        send(&mut m, 2, Event::List(list(2, 2)));
        assert_eq!(status(&m, 2, 1), PeerStatus::Leaving);
        answer(&mut m, 3, 1, about(6));
        assert_eq!(status(&m, 3, 1), PeerStatus::Alive);
    }
    // Guards against using a process again that was marked as leaving, after a list without the
    // mark or without the host.
    a_mark_of_the_list_stays_with_the_process: {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(1, 2)));
        answer(&mut m, 0, 1, about(5));
        let mut marked = list(2, 2);
        marked.hosts[1].state = ListedState::Leaving;
        send(&mut m, 1, Event::List(marked));
        send(&mut m, 2, Event::List(list(3, 1)));
        send(&mut m, 3, Event::List(list(4, 2)));
        answer(&mut m, 4, 1, about(5));
        assert_eq!(status(&m, 4, 1), PeerStatus::Leaving);
        answer(&mut m, 5, 1, about(6));
        assert_eq!(status(&m, 5, 1), PeerStatus::Alive);
    }
    // Guards against a replacement that never serves because it takes its predecessor's mark in an
    // outdated host list for its own.
    a_mark_in_the_first_list_ends_with_a_newer_list: {
        let mut m = member(0);
        let mut marked = list(1, 2);
        marked.hosts[0].state = ListedState::Leaving;
        send(&mut m, 0, Event::List(marked));
        assert!(m.is_leaving());
        send(&mut m, 1, Event::List(list(2, 2)));
        assert!(!m.is_leaving());
    }
    // Guards against new work for a leaving engine, and against refusing its restarted process.
    a_leaving_upstream_returns_only_as_a_new_process: {
        let mut m = member(0);
        let boot = |b: &str| Event::UpstreamReported { upstream: "e0".into(), boot: b.into() };
        send(&mut m, 0, Event::List(list(1, 1)));
        send(&mut m, 0, boot("x"));
        let mut marked = list(2, 1);
        marked.upstreams[0].state = ListedState::Leaving;
        let out = send(&mut m, 1, Event::List(marked));
        assert_eq!(out, [Effect::UpstreamChanged { upstream: "e0".into(), leaving: true }]);
        send(&mut m, 2, boot("y"));
        assert!(m.is_upstream_leaving("e0"));
        send(&mut m, 3, boot("x"));
        send(&mut m, 3, Event::List(list(3, 1)));
        assert!(m.is_upstream_leaving("e0"));
        let out = send(&mut m, 4, boot("y"));
        assert_eq!(out, [Effect::UpstreamChanged { upstream: "e0".into(), leaving: false }]);
    }
    // Guards against losing an upstream's mark when the host list drops it but the rules name it.
    a_dropped_upstream_stays_leaving: {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(1, 1)));
        let mut marked = list(2, 1);
        marked.upstreams[0].state = ListedState::Leaving;
        send(&mut m, 1, Event::List(marked));
        send(&mut m, 2, Event::List(HostList { upstreams: vec![], ..list(3, 1) }));
        let text = "hosts = 1\n[upstreams.e0]\nkind = \"plain\"\naddr = \"127.0.0.1:1\"\n\
                    domain = \"a\"\nlimit = 1\n";
        m.configure(&Rules::parse("r.toml", text).unwrap());
        assert_eq!(m.leaving_upstreams().count(), 1);
        m.configure(&Rules::default());
        assert_eq!(m.leaving_upstreams().count(), 0);
    }
    // Guards against probing every host of a large fleet, or no host outside the group.
    the_group_and_three_others_are_probed: {
        let mut m = member(0);
        let mut l = list(1, 3);
        for i in 3..100 {
            l.hosts.push(Host { group: "far".into(), ..host(i, ListedState::Live) });
        }
        send(&mut m, 0, Event::List(l));
        let out = send(&mut m, 0, Event::Tick);
        assert_eq!(out.len(), 2 + super::MAX_OUTSIDE_PEERS);
        assert!(send(&mut m, 499_999, Event::Tick).is_empty());
        let probes = |e: &Effect| matches!(e, Effect::Probe { .. });
        assert_eq!(send(&mut m, 500_000, Event::Tick).into_iter().filter(probes).count(), 5);
    }
    // Guards against more readers than the configuration service allows, and against a domain
    // without a reader after its readers are lost.
    two_hosts_per_domain_read_the_service: {
        let mut all: Vec<_> = (0..15).map(member).collect();
        for m in &mut all {
            send(m, 0, Event::List(list(1, 15)));
        }
        let readers = |all: &[Membership], at| -> Vec<usize> {
            (0..15).filter(|i| all[*i].is_reader(Tick(at))).collect()
        };
        let before = readers(&all, 0);
        for d in 0..3 {
            assert_eq!(before.iter().filter(|i| *i % 3 == d).count(), READERS_PER_DOMAIN);
        }
        for m in &mut all {
            for i in (0..15).filter(|i| !before.contains(&usize::from(*i))) {
                answer(m, 2_000_000, i, about(1));
            }
        }
        let after = readers(&all, 3_100_000);
        assert_eq!(after.iter().filter(|i| !before.contains(*i)).count(), 3 * READERS_PER_DOMAIN);
    }
    // Guards against an address lookup that names hosts which refuse requests.
    the_look_up_names_hosts_that_serve: {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(1, 5)));
        answer(&mut m, 1_000_000, 1, about(1));
        answer(&mut m, 1_000_000, 2, ProcessInfo { lease: false, ..about(1) });
        answer(&mut m, 1_000_000, 3, ProcessInfo { leaving: true, ..about(1) });
        answer(&mut m, 0, 4, about(1));
        let now = Tick(1_600_000);
        assert_eq!(names(&m.addresses(now, true)), ["h0", "h1"]);
        assert_eq!(names(&m.addresses(now, false)), ["h1"]);
        send(&mut m, 1_600_000, Event::ShutdownStarted);
        assert_eq!(names(&m.addresses(now, true)), ["h1"]);
        assert!(m.process_info(true).leaving);
    }
    // Guards against sending messages to a lost host while its replacement answers.
    the_best_host_of_an_ordinal_comes_first: {
        let mut m = member(0);
        let mut l = list(1, 2);
        l.hosts.push(Host { ordinal: Ordinal(1), ..host(9, ListedState::Live) });
        send(&mut m, 0, Event::List(l));
        answer(&mut m, 10, 9, about(1));
        let found = m.hosts_with_ordinal(Tick(10), Ordinal(1));
        assert_eq!((found.len(), &found[0].0.name), (2, &name(9)));
    }
    // Guards against accepting a host list with an invalid address or a duplicate name.
    a_bad_list_is_rejected_as_a_whole: {
        let mut m = member(0);
        let mut twice = list(1, 2);
        twice.hosts[1].name = name(0);
        let mut address = list(1, 2);
        address.hosts[1].peer = "nowhere".into();
        for l in [twice, address] {
            let out = send(&mut m, 0, Event::List(l));
            assert!(matches!(out[..], [Effect::Rejected(_)]));
        }
        assert_eq!(m.generation(), None);
    }
}

fn step() -> impl Strategy<Value = (u8, u8, u64)> {
    (0..6u8, 0..3u8, 0..4u64)
}

proptest! {
    // Guards against using a process again that was seen as leaving, for any order of lists,
    // answers and restarts. A mark that is older than the process does not count.
    #[test]
    fn no_process_returns_from_leaving(steps in prop::collection::vec(step(), 1..60)) {
        let mut m = member(0);
        send(&mut m, 0, Event::List(list(1, 4)));
        let mut current = [0u64; 4];
        let mut left = std::collections::BTreeSet::new();
        let mut marked = 0;
        for (t, (what, i, inc)) in steps.into_iter().enumerate() {
            let (i, t) = (i + 1, t as u64 + 1);
            let slot = usize::from(i);
            match what {
                0 | 1 => {
                    let mut l = list(t + 1, 4);
                    l.hosts[slot].state = ListedState::Leaving;
                    send(&mut m, t, Event::List(l));
                    // A repeated mark may refer to an earlier process.
                    if marked != i && current[slot] > 0 {
                        left.insert((i, current[slot]));
                    }
                    marked = i;
                }
                2 => {
                    send(&mut m, t, Event::List(list(t + 1, 4)));
                    marked = 0;
                }
                3 => {
                    answer(&mut m, t, i, ProcessInfo { leaving: true, ..about(inc.max(current[slot])) });
                    current[slot] = inc.max(current[slot]);
                    left.insert((i, current[slot]));
                }
                _ => {
                    current[slot] = inc.max(current[slot]);
                    answer(&mut m, t, i, about(current[slot]));
                }
            }
            for i in 1..4u8 {
                if left.contains(&(i, current[usize::from(i)])) {
                    prop_assert_eq!(status(&m, t, i), PeerStatus::Leaving);
                }
            }
        }
    }
    // Guards against a panic on a host list with arbitrary bytes, names or addresses.
    #[test]
    fn any_bytes_are_read_as_a_list_without_panic(
        bytes in any::<Vec<u8>>(), texts: [String; 4], generation: u64,
    ) {
        let _ = HostList::read(&bytes);
        let [a, b, c, d] = texts.map(ArcStr::from);
        let odd = Host { name: a, domain: b, http: c, peer: d, ..host(1, ListedState::Live) };
        let l = HostList { generation, hosts: vec![odd], upstreams: vec![] };
        prop_assert!(HostList::read(&serde_json::to_vec(&l).unwrap()).is_err());
    }
}
