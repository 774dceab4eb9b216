use std::time::Duration;

use super::{Effect, LEASE_DURATION, Lease, LeaseRequest, RENEW_INTERVAL, Refusal, Setup, Step};
use crate::{
    ids::{Generation, Incarnation, Ordinal},
    time::{Tick, minus_drift},
};

const SECOND: u64 = 1_000_000;

/// Hosts that share one clock and a network without delay.
struct Group {
    now: Tick,
    hosts: Vec<Option<Lease>>,
    events: Vec<(u8, Effect)>,
    last_incarnation: u64,
    version: u64,
}

impl Group {
    fn founded(hosts: u8) -> Self {
        let mut g = Self {
            now: Tick(0),
            hosts: vec![None; usize::from(hosts)],
            events: Vec::new(),
            last_incarnation: 1,
            version: 1,
        };
        for o in 0..hosts {
            g.start(o, Some(Generation(1)));
        }
        g.run(8 * SECOND);
        g
    }

    fn setup(&mut self, ordinal: u8, bootstrap: Option<Generation>) -> Setup {
        self.last_incarnation += 1;
        Setup {
            ordinal: Ordinal(ordinal),
            hosts: self.hosts.len() as u8,
            incarnation: Incarnation(self.last_incarnation),
            bootstrap,
            version: self.version,
        }
    }

    fn start(&mut self, ordinal: u8, bootstrap: Option<Generation>) {
        let setup = self.setup(ordinal, bootstrap);
        self.hosts[usize::from(ordinal)] = Some(Lease::new(setup, self.now));
    }

    fn run(&mut self, us: u64) {
        let end = Tick(self.now.0 + us);
        while self.now < end {
            for o in 0..self.hosts.len() as u8 {
                let mut out = Vec::new();
                if let Some(l) = &mut self.hosts[usize::from(o)] {
                    l.poll(self.now, &mut out);
                }
                self.deliver(o, out);
            }
            self.now = self.now + Duration::from_millis(20);
        }
    }

    fn deliver(&mut self, from: u8, mut out: Vec<Effect>) {
        while let Some(e) = out.pop() {
            let Effect::SendRequest { to, request } = e else {
                self.events.push((from, e));
                continue;
            };
            let Some(peer) = self.hosts.get_mut(usize::from(to.0)).and_then(Option::as_mut) else {
                continue;
            };
            let vote = peer.vote(self.now, &request);
            if let Some(l) = &mut self.hosts[usize::from(from)] {
                l.handle_vote(self.now, to, vote, &mut out);
            }
        }
    }

    fn holds(&self, o: u8) -> bool {
        self.hosts[usize::from(o)].as_ref().is_some_and(|l| l.authority(self.now).is_some())
    }

    fn generation(&self, o: u8) -> Option<Generation> {
        self.hosts[usize::from(o)].as_ref().and_then(Lease::admitted)
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a first start that never completes or leaves a host without a lease.
    a_group_is_founded_by_all: {
        for n in 1..=7 {
            let g = Group::founded(n);
            assert!((0..n).all(|o| g.holds(o)), "{n}");
        }
    }
    // Guards against a replacement that is admitted before the old lease expires, or never.
    a_replacement_waits_for_the_lease: {
        let mut g = Group::founded(5);
        g.start(2, None);
        g.run(2 * SECOND);
        assert!(!g.holds(2));
        g.run(3 * SECOND);
        assert!(g.holds(2));
        assert_eq!(g.generation(2), Some(Generation(2)));
    }
    // Guards against a restarted process that keeps bootstrapping a group that already runs,
    // because `found` is still set in its settings.
    a_restart_with_found_still_set_is_admitted: {
        let mut g = Group::founded(5);
        g.start(2, Some(Generation(1)));
        g.run(10 * SECOND);
        assert!(g.holds(2));
        assert_eq!(g.generation(2), Some(Generation(2)));
    }
    // Guards against a successor that waits for the lease to expire although it was released.
    a_release_admits_the_successor_at_once: {
        let mut g = Group::founded(5);
        let mut out = Vec::new();
        g.hosts[3].as_mut().unwrap().release(g.now, &mut out);
        g.deliver(3, out);
        assert!(!g.holds(3));
        g.start(3, None);
        g.run(SECOND);
        assert!(g.holds(3));
    }
    // Guards against hosts that keep their leases without a majority.
    a_minority_loses_its_leases: {
        let mut g = Group::founded(5);
        for o in [2, 3, 4] {
            g.hosts[o] = None;
        }
        g.run(4 * SECOND);
        assert!(!g.holds(0) && !g.holds(1));
    }
    // Guards against a replaced process that keeps its lease.
    a_replaced_holder_ends: {
        let mut g = Group::founded(5);
        let old = g.hosts[1].take().unwrap();
        g.start(1, None);
        g.run(6 * SECOND);
        assert!(g.holds(1));
        g.hosts[1] = Some(old);
        g.events.clear();
        g.run(SECOND);
        assert!(!g.holds(1));
        assert!(g.events.contains(&(1, Effect::Replaced(Generation(2)))));
    }
    // Guards against counting the vote of a replaced process that does not know it: both sides of a
    // partition would have a majority, one with the old and one with the new process.
    a_replaced_voter_is_not_counted: {
        let mut g = Group::founded(3);
        let old = g.hosts[1].take();
        g.start(1, None);
        g.run(7 * SECOND);
        assert!(g.holds(0) && g.holds(1));
        g.hosts[1] = old;
        g.hosts[2] = None;
        for _ in 0..200 {
            let mut out = Vec::new();
            g.hosts[0].as_mut().unwrap().poll(g.now, &mut out);
            g.deliver(0, out);
            g.now = g.now + Duration::from_millis(20);
        }
        assert!(!g.holds(0));
    }
    // Guards against two candidates of one ordinal that both get the lease or block each other.
    two_candidates_never_share_an_ordinal: {
        let mut g = Group::founded(5);
        g.start(1, None);
        let setup = g.setup(1, None);
        let mut second = Lease::new(setup, g.now);
        let mut winners = 0;
        for _ in 0..300 {
            g.run(20_000);
            let mut out = Vec::new();
            second.poll(g.now, &mut out);
            while let Some(e) = out.pop() {
                if let Effect::SendRequest { to, request } = e {
                    let vote = g.hosts[usize::from(to.0)].as_mut().unwrap().vote(g.now, &request);
                    second.handle_vote(g.now, to, vote, &mut out);
                }
            }
            winners = u8::from(g.holds(1)) + u8::from(second.authority(g.now).is_some());
            assert!(winners < 2);
        }
        assert_eq!(winners, 1);
    }
    // Guards against a host that uses an old configuration for longer than a lease.
    an_older_version_is_refused: {
        let mut g = Group::founded(3);
        for o in [0, 1] {
            g.hosts[o].as_mut().unwrap().configure(g.now, 2, 3);
        }
        g.run(SECOND);
        let behind = |e: &(u8, Effect)| matches!(e, (2, Effect::OutdatedConfig { version: 2, .. }));
        assert!(g.events.iter().any(behind));
        g.run(3 * SECOND);
        assert!(g.holds(0) && g.holds(1) && !g.holds(2));
        g.hosts[2].as_mut().unwrap().configure(g.now, 2, 3);
        g.run(SECOND);
        assert!(g.holds(2));
    }
    // Guards against a late vote of an earlier round that extends a lease.
    a_vote_of_an_old_round_is_ignored: {
        let mut g = Group::founded(3);
        let mut out = Vec::new();
        g.now = g.now + RENEW_INTERVAL;
        let (a, rest) = g.hosts.split_at_mut(1);
        let a = a[0].as_mut().unwrap();
        a.poll(g.now, &mut out);
        let Some(Effect::SendRequest { request, .. }) = out.pop() else { panic!("no round") };
        let vote = rest[0].as_mut().unwrap().vote(g.now, &request);
        out.clear();
        let late = g.now + Duration::from_secs(4);
        a.poll(late, &mut out);
        a.handle_vote(late, Ordinal(1), vote, &mut out);
        assert!(a.authority(late).is_none());
    }
    // Guards against a lease that starts when the votes arrive: it would outlast the grants.
    a_lease_is_counted_from_its_request: {
        let mut g = Group::founded(3);
        g.now = g.now + RENEW_INTERVAL;
        let (sent, mut out) = (g.now, Vec::new());
        g.hosts[0].as_mut().unwrap().poll(sent, &mut out);
        g.now = g.now + Duration::from_millis(400);
        g.deliver(0, out);
        let until = g.hosts[0].as_ref().unwrap().authority(g.now).unwrap().until;
        assert_eq!(until, sent + minus_drift(LEASE_DURATION));
    }
    // Guards against one generation that is granted to two processes, one after the other.
    a_generation_is_granted_to_one_process: {
        let mut g = Group::founded(3);
        g.now = g.now + Duration::from_secs(4);
        let mut q = LeaseRequest {
            ordinal: Ordinal(1),
            incarnation: Incarnation(98),
            generation: Generation(2),
            round: 1,
            step: Step::Admit,
            version: 1,
        };
        let voter = g.hosts[0].as_mut().unwrap();
        assert_eq!(voter.vote(g.now, &q).refusal, None);
        g.now = g.now + Duration::from_secs(4);
        q.incarnation = Incarnation(99);
        assert_eq!(voter.vote(g.now, &q).refusal, Some(Refusal::Replaced));
    }
    // Guards against an older configuration that gets a majority again. A new process is admitted
    // before the voters switch to a new version, so its own vote must not count in the next round.
    a_new_process_confirms_its_configuration: {
        let mut g = Group::founded(3);
        let (mut out, mut asks) = (Vec::new(), Vec::new());
        g.hosts[1] = None;
        g.now = g.now + Duration::from_secs(4);
        let setup = g.setup(1, None);
        let mut new = Lease::new(setup, g.now);
        new.poll(g.now, &mut out);
        for step in [Step::Query, Step::Admit, Step::Renew] {
            asks.clear();
            asks.append(&mut out);
            if step == Step::Renew {
                g.hosts[0].as_mut().unwrap().configure(g.now, 2, 3);
            }
            for e in &asks {
                let Effect::SendRequest { to, request } = e else { continue };
                assert_eq!(request.step, step);
                let vote = g.hosts[usize::from(to.0)].as_mut().unwrap().vote(g.now, request);
                new.handle_vote(g.now, *to, vote, &mut out);
            }
        }
        assert_eq!(new.admitted(), Some(Generation(2)));
        assert!(new.authority(g.now).is_none());
        assert!(out.contains(&Effect::OutdatedConfig { from: Ordinal(0), version: 2 }));
    }
    // Guards against a new voter that grants a lease while a grant of its predecessor is valid.
    a_new_voter_is_quarantined: {
        let mut g = Group::founded(3);
        g.start(2, None);
        g.run(4 * SECOND);
        let q = LeaseRequest {
            ordinal: Ordinal(1),
            incarnation: Incarnation(99),
            generation: Generation(0),
            round: 1,
            step: Step::Query,
            version: 1,
        };
        let new = g.hosts[2].as_mut().unwrap();
        assert!(new.authority(g.now).is_some());
        assert_eq!(new.vote(g.now, &q).refusal, Some(Refusal::Quarantined));
    }
}
