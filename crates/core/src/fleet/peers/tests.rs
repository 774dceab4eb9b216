use std::{collections::BTreeSet, net::Ipv4Addr, time::Duration};

use super::{Owner, PeerChange, Peers};
use crate::{
    fleet::{
        digest::{Digest, HostState, Member, ReplicaFence},
        sample,
    },
    time::Tick,
};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn ip(i: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i)
}

fn digest(i: u8, incarnation: u64, sequence: u64) -> Digest {
    Digest {
        members: vec![Member { ip: ip(1), alive: true }],
        age_ms: 60_000,
        ..sample::digest(ip(i), incarnation, sequence)
    }
}

// Host 1, which has received digests of hosts 2 to 5.
fn peers(now: Tick) -> Peers {
    let mut p = Peers::new(ip(1), vec![ip(1), ip(2)], at(0));
    digest_all(&mut p, now, 1);
    p
}

fn digest_all(p: &mut Peers, now: Tick, sequence: u64) {
    for i in 2..=5 {
        p.apply_digest(now, &digest(i, 1, sequence));
    }
}

// A replica that host `i` owns while all hosts are alive.
fn owned_by(p: &Peers, now: Tick, i: u8) -> String {
    let wanted = |o| match o {
        Owner::Local { .. } => i == 1,
        Owner::Peer(x) => x == ip(i),
    };
    (0..1000).map(|n| format!("r{n}")).find(|r| wanted(p.owner(now, r))).unwrap()
}

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn zone_of(i: u8) -> &'static str {
    ZONES[usize::from(i) % ZONES.len()]
}

// Host `me` of a fleet of `n` in four failure domains, all of which it has heard.
fn large_fleet(me: u8, n: u8) -> Peers {
    let mut p = Peers::new(ip(me), Vec::new(), at(0));
    for i in (1..=n).filter(|i| *i != me) {
        p.apply_digest(at(0), &Digest { zone: zone_of(i).into(), ..digest(i, 1, 1) });
    }
    p
}

// Hosts that receive a digest of host `me`, and the number of datagrams between domains.
fn spread(fleet: &[Peers], me: u8, sequence: u64, lost: &[u8]) -> (BTreeSet<Ipv4Addr>, usize) {
    let routes = fleet[usize::from(me) - 1].digest_routes(at(100), zone_of(me), sequence, 12);
    let domain = |ip: Ipv4Addr| zone_of(ip.octets()[3]);
    let sent = routes.direct.iter().chain(&routes.relays);
    let crossing = sent.filter(|ip| domain(**ip) != zone_of(me)).count();
    let mut reached: BTreeSet<_> = routes.direct.into_iter().collect();
    for relay in routes.relays.into_iter().filter(|ip| !lost.contains(&ip.octets()[3])) {
        let host = &fleet[usize::from(relay.octets()[3]) - 1];
        reached.insert(relay);
        reached.extend(host.relay_targets(domain(relay), ip(me)));
    }
    reached.retain(|ip| !lost.contains(&ip.octets()[3]));
    (reached, crossing)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a stream that counts as never begun although the hosts that knew it have been
    // lost: a silent, a leaving and a restarted host each have taken along what they kept.
    hosts_that_may_have_forgotten_are_noticed: {
        let span = Duration::from_secs(16);
        let now = at(20_000);
        assert!(peers(now).all_alive_for(now, span));
        assert!(!peers(at(10_000)).all_alive_for(at(10_000), span), "this host is younger");
        assert!(!peers(now).all_alive_for(at(21_500), span), "silent hosts");
        let restarted = Digest { age_ms: 15_000, ..digest(3, 2, 1) };
        let leaving = Digest { state: HostState::Leaving, ..digest(3, 1, 2) };
        for d in [restarted, leaving] {
            let mut p = peers(now);
            p.apply_digest(now, &d);
            assert!(!p.all_alive_for(now, span));
        }
    }
    // Guards against keepers that differ between hosts, or that change with hosts that are not among
    // them.
    all_hosts_choose_the_same_keepers: {
        let fleet: Vec<_> = (1..=12).map(|i| large_fleet(i, 12)).collect();
        for key in 0..50 {
            let keepers = fleet[0].keepers(at(0), key, 3);
            assert!(fleet.iter().all(|p| p.keepers(at(0), key, 3) == keepers));
            let smaller = large_fleet(1, 11).keepers(at(0), key, 3);
            assert!(smaller == keepers || keepers.contains(&ip(12)));
        }
    }
    // Guards against sending callers to a host that has fallen silent.
    a_silent_peer_is_not_offered: {
        let p = peers(at(1000));
        assert_eq!(p.serving(at(1500)).count(), 4);
        assert_eq!(p.serving(at(2300)).count(), 0);
    }
    // Guards against a delayed digest that restores a host's previous process.
    digests_out_of_order_are_ignored: {
        let mut p = peers(at(0));
        assert_eq!(p.apply_digest(at(10), &digest(2, 2, 1)), PeerChange::Restarted);
        assert_eq!(p.apply_digest(at(20), &digest(2, 1, 99)), PeerChange::Stale);
        assert_eq!(p.get(ip(2)).unwrap().incarnation, 2);
        assert_eq!(p.apply_digest(at(30), &digest(2, 2, 1)), PeerChange::Stale);
    }
    // Guards against a fleet that stays split because its seeds are outdated.
    hosts_are_learned_from_peers: {
        let mut p = Peers::new(ip(1), vec![ip(2)], at(0));
        let mut d = digest(2, 1, 1);
        d.members.push(Member { ip: ip(9), alive: true });
        p.apply_digest(at(0), &d);
        assert!(p.digest_targets().contains(&ip(9)));
        assert!(!p.digest_targets().contains(&ip(1)), "a host does not write to itself");
    }
    // Guards against two owners: all members choose the same one.
    hosts_agree_on_owners: {
        let p = peers(at(0));
        let mut q = Peers::new(ip(2), vec![ip(1)], at(0));
        for i in [1, 3, 4, 5] {
            q.apply_digest(at(0), &digest(i, 1, 1));
        }
        for n in 0..200 {
            let r = format!("r{n}");
            let of = |o, me| match o {
                Owner::Local { .. } => ip(me),
                Owner::Peer(x) => x,
            };
            assert_eq!(of(p.owner(at(0), &r), 1), of(q.owner(at(0), &r), 2));
        }
    }
    // Guards against an ownership that changes because of a few lost digests.
    a_silent_owner_keeps_its_replicas: {
        let p = peers(at(0));
        let r = owned_by(&p, at(0), 3);
        assert_eq!(p.owner(at(1900), &r), Owner::Peer(ip(3)));
        let later = p.owner(at(2500), &r);
        assert!(matches!(later, Owner::Peer(_) | Owner::Local { contested: true }), "{later:?}");
    }
    // Guards against an owner that does not notice that its successor no longer receives its
    // digests.
    an_owner_that_is_not_heard_is_contested: {
        let mut p = peers(at(0));
        let r = owned_by(&p, at(0), 1);
        for n in 2..40 {
            for i in 2..=5 {
                let mut d = digest(i, 1, n);
                d.members[0].alive = false;
                p.apply_digest(at(n * 100), &d);
            }
        }
        assert_eq!(p.owner(at(3900), &r), Owner::Local { contested: true });
    }
    // Guards against a leaving host that stays the owner of its replicas.
    a_leaving_peer_gives_up_its_replicas: {
        let mut p = peers(at(0));
        let r = owned_by(&p, at(0), 3);
        let mut d = digest(3, 1, 2);
        d.state = HostState::Leaving;
        assert_eq!(p.apply_digest(at(100), &d), PeerChange::Leaving);
        assert_ne!(p.owner(at(100), &r), Owner::Peer(ip(3)));
    }
    // Pattern: rolling restart of the hosts. Guards against ownership that is contested whenever
    // any host leaves (run kowhai-collate-grown, scenario trouble-2: no loads for 8 s at a
    // handover).
    a_leaving_peer_makes_no_ownership_contested: {
        let mut p = peers(at(0));
        let r = owned_by(&p, at(0), 1);
        let mut d = digest(3, 1, 2);
        d.state = HostState::Leaving;
        p.apply_digest(at(100), &d);
        assert_eq!(p.owner(at(100), &r), Owner::Local { contested: false });
    }
    // Guards against an uncontested ownership of a new process that has received no digest of the
    // other hosts yet.
    an_unheard_seed_makes_ownership_contested: {
        let p = Peers::new(ip(1), vec![ip(2)], at(0));
        assert_eq!(p.owner(at(100), "r"), Owner::Local { contested: true });
        assert_eq!(p.owner(at(40_000), "r"), Owner::Local { contested: false }, "the only survivor");
    }
    // Guards against a restarted owner that waits although no other host sent orders, and against
    // one that continues although another host did.
    a_restarted_owner_asks_its_peers: {
        let mut p = peers(at(0));
        let r = owned_by(&p, at(0), 1);
        assert!(p.resumes_ownership(at(100), &r, 7));
        let mut d = digest(4, 1, 2);
        d.fences = vec![ReplicaFence { replica: 7, fence: 1 }];
        p.apply_digest(at(100), &d);
        assert!(!p.resumes_ownership(at(100), &r, 7));
    }
    // Pattern: rolling restart of a small fleet. Guards against a restarted owner that orders at
    // once after the first digest, although the host that replaced it has not been heard yet: two
    // hosts then order one replica within the lease, the second with a lower token.
    a_restarted_owner_hears_all_members_first: {
        let mut p = Peers::new(ip(1), vec![ip(2)], at(0));
        let mut first = digest(2, 1, 1);
        first.members.clear();
        p.apply_digest(at(0), &first);
        let r = owned_by(&p, at(0), 1);
        assert!(!p.resumes_ownership(at(0), &r, 7), "the members are not known yet");
        let mut second = digest(2, 1, 2);
        second.members.push(Member { ip: ip(3), alive: true });
        p.apply_digest(at(50), &second);
        assert!(!p.resumes_ownership(at(50), &r, 7), "host 3 has not reported its orders");
        let mut third = digest(3, 1, 1);
        third.fences = vec![ReplicaFence { replica: 7, fence: 1 }];
        p.apply_digest(at(60), &third);
        let owned = owned_by(&p, at(60), 1);
        assert!(!p.resumes_ownership(at(60), &owned, 7));
        assert!(p.resumes_ownership(at(60), &owned, 8));
    }
    // Guards against a restarted owner that orders at once while a member that its peers do not hear
    // may only be cut off from them, and still send orders.
    a_member_that_is_not_heard_may_still_order: {
        let resumed = |p: &Peers| {
            (0..1000).filter(|n| p.resumes_ownership(at(0), &format!("r{n}"), 7)).count()
        };
        let mut p = Peers::new(ip(1), vec![ip(2)], at(0));
        p.apply_digest(at(0), &digest(2, 1, 1));
        assert!(resumed(&p) > 0);
        let mut d = digest(2, 1, 2);
        d.members.push(Member { ip: ip(3), alive: false });
        p.apply_digest(at(0), &d);
        assert_eq!(resumed(&p), 0);
    }
    // Guards against orders of a host that was killed right after it sent them and that no live
    // host reports.
    orders_of_silent_and_leaving_peers_are_reported: {
        let mut p = peers(at(0));
        let mut d = digest(4, 1, 2);
        d.fences = vec![ReplicaFence { replica: 7, fence: 1 }];
        p.apply_digest(at(100), &d);
        assert!(p.orphaned_orders(at(1000)).is_empty(), "it reports them itself");
        assert!(p.orphaned_orders(at(1500)).contains(&7));
        assert!(p.orphaned_orders(at(4500)).is_empty(), "the lease has ended");
        let leaving = Digest { state: HostState::Leaving, sequence: 3, ..d };
        p.apply_digest(at(200), &leaving);
        assert!(p.orphaned_orders(at(300)).contains(&7));
    }
    // Guards against orders of a host that was killed and started again, whose new process knows
    // nothing of them: its peers and the owner that it replaced would take the replica for idle.
    orders_of_a_former_process_are_reported: {
        let mut p = peers(at(0));
        let r = owned_by(&p, at(0), 1);
        let fences = vec![ReplicaFence { replica: 7, fence: 1 }];
        p.apply_digest(at(100), &Digest { fences, ..digest(4, 1, 2) });
        p.apply_digest(at(600), &digest(4, 2, 1));
        p.apply_digest(at(700), &digest(4, 2, 2));
        assert!(p.orphaned_orders(at(700)).contains(&7));
        assert!(!p.resumes_ownership(at(700), &r, 7));
        assert!(p.resumes_ownership(at(700), &r, 8));
        assert!(p.orphaned_orders(at(4200)).is_empty(), "the lease has ended");
    }
    // Pattern: hosts are cut off from all others, and the rest goes on. Guards against a replica that
    // nobody owns because the first two owners are cut off, and against one with two claims.
    the_first_host_that_is_reached_claims_a_replica: {
        let mut p = peers(at(0));
        let ranked = |ip: Ipv4Addr, r: &str| super::owner_weight(ip, r);
        let r = (0..1000).map(|n| format!("r{n}")).find(|r| {
            let mut all: Vec<_> = (1..=5).map(ip).collect();
            all.sort_by_key(|ip| std::cmp::Reverse(ranked(*ip, r)));
            all[..2].contains(&ip(4)) && all[..2].contains(&ip(5)) && all[2] == ip(1)
        });
        let r = r.unwrap();
        for i in [2, 3] {
            p.apply_digest(at(2500), &digest(i, 1, 2));
        }
        assert!(!p.is_minority(at(2600)));
        assert_eq!(p.owner(at(2600), &r), Owner::Local { contested: true });
        assert!(matches!(peers(at(0)).owner(at(2600), &r), Owner::Peer(_)), "cut off from all");
    }
    // Guards against two sides of a partition that both act for the fleet.
    at_most_one_side_is_the_majority: {
        for split in 1..31_u32 {
            let on_side = |i: u8, side: bool| (split >> (i - 1) & 1 == 1) == side;
            let majorities = [true, false].map(|side| {
                let here: Vec<_> = (1..=5).filter(|i| on_side(*i, side)).collect();
                let mut p = Peers::new(ip(here[0]), Vec::new(), at(0));
                for i in (1..=5).filter(|i| *i != here[0]) {
                    p.apply_digest(at(0), &digest(i, 1, 1));
                }
                for i in &here[1..] {
                    p.apply_digest(at(2500), &digest(*i, 2, 2));
                }
                !p.is_minority(at(2600))
            });
            assert_ne!(majorities[0], majorities[1], "{split:b}");
        }
        let mut half = Peers::new(ip(2), Vec::new(), at(0));
        half.apply_digest(at(0), &digest(1, 1, 1));
        assert!(half.is_minority(at(2600)), "half of the fleet, without the lowest address");
    }
    // Guards against an interruption of orders at all hosts when a lost one is forgotten.
    a_forgotten_host_isolates_only_those_that_hear_nobody: {
        let mut p = peers(at(0));
        for i in 2..=4 {
            p.apply_digest(at(30_900), &digest(i, 1, 2));
        }
        assert_eq!(p.expire(at(31_000)), [ip(5)]);
        assert!(!p.is_minority(at(31_000)));
        let r = owned_by(&p, at(31_000), 1);
        assert_eq!(p.owner(at(31_000), &r), Owner::Local { contested: false });
        let mut alone = peers(at(0));
        alone.apply_digest(at(10_000), &digest(2, 1, 2));
        alone.expire(at(31_000));
        assert!(alone.is_minority(at(31_000)), "host 2 is only silent");
    }
    // Guards against two claims to one replica when only two hosts do not hear each other: a peer that
    // hears both shows that the owner is alive.
    an_owner_that_others_hear_is_not_replaced: {
        let mut p = peers(at(0));
        let r = owned_by(&p, at(0), 3);
        for n in 2..50 {
            for i in [2, 4, 5] {
                let mut d = digest(i, 1, n);
                d.members.push(Member { ip: ip(3), alive: true });
                p.apply_digest(at(n * 100), &d);
            }
        }
        assert_eq!(p.owner(at(4900), &r), Owner::Peer(ip(3)));
        let own = owned_by(&p, at(4900), 1);
        assert_eq!(p.owner(at(4900), &own), Owner::Local { contested: true });
        assert!(!p.resumes_ownership(at(4900), &own, 7));
    }
    // Pattern: hosts are added to a fleet, or a host restarts after an orderly stop. Guards against
    // a new owner that orders at once while a peer that does not know of it may still send orders.
    a_new_owner_waits_until_its_peers_know_of_it: {
        let mut p = Peers::new(ip(1), vec![ip(2)], at(0));
        let mut d = digest(2, 1, 1);
        d.members[0].alive = false;
        p.apply_digest(at(0), &d);
        let r = owned_by(&p, at(0), 1);
        assert!(!p.resumes_ownership(at(0), &r, 7));
        p.apply_digest(at(100), &digest(2, 1, 2));
        assert!(p.resumes_ownership(at(100), &r, 7));
    }
    // Guards against a leaving host whose next process is taken for known by peers that have heard
    // only the previous one.
    a_leaving_host_is_not_listed_as_alive: {
        let mut p = peers(at(0));
        p.apply_digest(at(10), &Digest { state: HostState::Leaving, ..digest(3, 1, 2) });
        let member = p.members(at(20)).into_iter().find(|m| m.ip == ip(3)).unwrap();
        assert!(!member.alive);
    }
    // Guards against trusting peers that are as new as the host itself and know of no earlier
    // order.
    new_peers_do_not_confirm_ownership: {
        let mut p = Peers::new(ip(1), vec![ip(2)], at(0));
        let mut d = digest(2, 1, 1);
        d.age_ms = 500;
        p.apply_digest(at(0), &d);
        let r = owned_by(&p, at(0), 1);
        assert!(!p.resumes_ownership(at(100), &r, 7));
    }
    // Pattern: a large fleet in several failure domains. Guards against hosts that no relay reaches,
    // and against traffic between domains that grows with the square of the fleet.
    relays_reach_every_host: {
        let fleet: Vec<_> = (1..=40).map(|i| large_fleet(i, 40)).collect();
        for me in 1..=40 {
            for sequence in 0..4 {
                let (reached, crossing) = spread(&fleet, me, sequence, &[]);
                assert_eq!(reached.len(), 39);
                assert_eq!(crossing, ZONES.len() - 1);
            }
        }
    }
    // Guards against a failure domain that hears nothing of a host because one relay is lost and the
    // loss has not been noticed.
    one_lost_relay_delays_a_digest: {
        let fleet: Vec<_> = (1..=40).map(|i| large_fleet(i, 40)).collect();
        for lost in 2..=40 {
            let sequences = 0..3;
            let reached = sequences.flat_map(|s| spread(&fleet, 1, s, &[lost]).0);
            assert_eq!(reached.collect::<BTreeSet<_>>().len(), 38, "host {lost} is lost");
        }
    }
    // Guards against relays in a fleet where a few hosts are all that a domain has.
    small_fleets_and_domains_need_no_relay: {
        let routes = |n| large_fleet(1, n).digest_routes(at(100), zone_of(1), 0, 12);
        assert_eq!((routes(9).direct.len(), routes(9).relays.len()), (8, 0));
        let mut p = large_fleet(1, 40);
        for i in (2..=40).filter(|i| zone_of(*i) == "c" && *i > 6) {
            let leaving = digest(i, 1, 2);
            let d = Digest { zone: "c".into(), state: HostState::Leaving, ..leaving };
            p.apply_digest(at(50), &d);
        }
        let routes = p.digest_routes(at(100), zone_of(1), 0, 12);
        assert_eq!(routes.relays.len(), 2);
        assert_eq!(routes.direct.iter().filter(|ip| zone_of(ip.octets()[3]) == "c").count(), 10);
    }
    // Guards against a partition after which the sides do not find each other again because relays
    // are silent.
    a_silent_domain_is_addressed_directly: {
        let mut p = large_fleet(1, 40);
        for i in (2..=40).filter(|i| zone_of(*i) != "d") {
            p.apply_digest(at(3000), &Digest { zone: zone_of(i).into(), ..digest(i, 1, 2) });
        }
        let routes = p.digest_routes(at(3000), zone_of(1), 0, 12);
        assert_eq!(routes.relays.len(), 2);
        assert_eq!(routes.direct.iter().filter(|ip| zone_of(ip.octets()[3]) == "d").count(), 10);
    }
    // Guards against a table that keeps every host that ever existed.
    lost_peers_are_forgotten: {
        let mut p = peers(at(0));
        assert!(p.expire(at(29_000)).is_empty());
        assert_eq!(p.expire(at(31_000)).len(), 4);
        assert_eq!(p.iter().count(), 0);
    }
    // Guards against a fleet in which no host or several hosts have rank 0.
    every_reader_has_its_own_rank: {
        let ranks = (1..=5u8).map(|me| {
            let mut p = Peers::new(ip(me), Vec::new(), at(0));
            for i in (1..=5).filter(|i| *i != me) {
                p.apply_digest(at(0), &digest(i, 1, 1));
            }
            p.reader_rank(at(10))
        });
        let mut ranks: Vec<_> = ranks.collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3, 4]);
        assert_eq!(peers(at(0)).reader_rank(at(5000)), 0, "a host that hears nobody reads");
    }
}
