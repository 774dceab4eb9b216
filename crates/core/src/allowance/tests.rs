mod faults;
pub(crate) mod fleet;
mod waste;

use std::time::Duration;

use super::{
    Allowance, BorrowAnswer, BorrowRequest, Grant, LoanItem, OutgoingBorrow, ReserveOutcome,
};
use crate::{
    ArcStr,
    bucket::Limits,
    ids::{Generation, Ordinal},
    lease::Authority,
    time::Tick,
};

const ACCOUNT: ArcStr = arcstr::literal!("a");

/// Hosts that share one clock and a network without delay and whose leases never expire.
struct Group {
    now: Tick,
    hosts: Vec<Allowance>,
}

impl Group {
    fn new(hosts: u8, limits: Limits) -> Self {
        let now = Tick(1_000_000);
        let mut all: Vec<_> = (0..hosts).map(|o| Allowance::new(Ordinal(o))).collect();
        for a in &mut all {
            a.configure(now, [(ACCOUNT, limits)]);
        }
        let mut g = Self { now, hosts: all };
        g.exchange();
        g
    }

    fn authority(&self) -> Option<Authority> {
        let until = self.now + Duration::from_secs(3);
        Some(Authority { until, generation: Generation(1), parts: self.hosts.len() as u8 })
    }

    fn reserve(&mut self, o: usize, tokens: u64) -> Option<Grant> {
        let authority = self.authority();
        for _ in 0..20 {
            match self.hosts[o].reserve(self.now, authority, &ACCOUNT, tokens) {
                ReserveOutcome::Granted(g) => return Some(g),
                ReserveOutcome::Pending => {
                    self.exchange();
                    self.now = self.now + Duration::from_millis(20);
                }
                ReserveOutcome::Refused { .. } | ReserveOutcome::NoAuthority => return None,
            }
        }
        panic!("the search does not end");
    }

    fn exchange(&mut self) {
        let authority = self.authority();
        let peers: Vec<_> = (0..self.hosts.len() as u8).map(Ordinal).collect();
        for i in 0..self.hosts.len() {
            let mut out = Vec::new();
            self.hosts[i].poll(self.now, authority, &peers, &mut out);
            for OutgoingBorrow { to, request } in out {
                let to_index = usize::from(to.0);
                let from = Ordinal(i as u8);
                let answer = self.hosts[to_index].lend(self.now, authority, from, &request);
                self.hosts[i].handle_answer(self.now, to, answer);
            }
        }
    }
}

fn request(id: u64) -> BorrowRequest {
    let ask = LoanItem { account: ACCOUNT, need: 1000, want: 1000, level: 0, room: 1000 };
    BorrowRequest { generation: Generation(1), id, asks: vec![ask] }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against refusing a request above the host's own share although the group has tokens.
    a_request_above_the_own_share_is_served_by_loans: {
        let mut g = Group::new(5, Limits { rate: 100, burst: 1000 });
        g.now = g.now + Duration::from_secs(20);
        assert!(g.reserve(0, 990).is_some());
        assert!(g.reserve(1, 100).is_none());
    }
    // Guards against shares of a small rate that are rounded to 0.
    a_small_rate_can_be_used_on_one_host: {
        let mut g = Group::new(5, Limits { rate: 4, burst: 4 });
        let (mut granted, begin) = (0, g.now);
        for _ in 0..500 {
            g.now = g.now + Duration::from_millis(100);
            granted += u64::from(g.reserve(2, 1).is_some());
        }
        let allowed = 4 * g.now.since(begin).as_secs();
        assert!(granted <= allowed + 8 && granted * 10 >= allowed * 9, "{granted} of {allowed}");
    }
    // Guards against loans that have not ended when the lender's successor starts.
    a_loan_ends_with_the_lease: {
        let mut g = Group::new(3, Limits { rate: 100, burst: 1000 });
        g.now = g.now + Duration::from_secs(5);
        let until = g.now + Duration::from_millis(40);
        let a = Authority { until, ..g.authority().unwrap() };
        let answer = g.hosts[1].lend(g.now, Some(a), Ordinal(0), &request(1));
        assert!(answer.loans[0].tokens > 0 && answer.loans[0].room > 0);
        assert!(answer.lasts <= 40_000 && answer.keeps <= 40_000);
        assert_eq!(g.hosts[1].lend(until, Some(a), Ordinal(0), &request(2)).loans, []);
    }
    // Guards against duplicate messages: a repeated request that gets a second loan, and a repeated
    // answer that adds its tokens twice.
    a_repeated_message_changes_nothing: {
        let mut g = Group::new(3, Limits { rate: 100, burst: 1000 });
        g.now = g.now + Duration::from_secs(20);
        let a = g.authority();
        let first = g.hosts[1].lend(g.now, a, Ordinal(0), &request(1));
        assert!(!first.loans.is_empty());
        assert_eq!(g.hosts[1].lend(g.now, a, Ordinal(0), &request(1)).loans, []);
        // Host 0 has no pending request, so it must ignore this answer.
        g.hosts[0].handle_answer(g.now, Ordinal(1), first);
        assert_eq!(g.hosts[0].report(g.now, a)[0].taken, 0);
    }
    // Guards against adding the tokens of an answer that arrives after the loan's end, when the
    // lender counts them again.
    a_late_answer_is_ignored: {
        for (lease, late, taken) in [(3000, 60, true), (3000, 99, false), (40, 60, false)] {
            let mut g = Group::new(3, Limits { rate: 100, burst: 1000 });
            g.now = g.now + Duration::from_secs(20);
            let a = g.authority();
            assert!(matches!(g.hosts[0].reserve(g.now, a, &ACCOUNT, 330), ReserveOutcome::Granted(_)));
            assert!(matches!(g.hosts[0].reserve(g.now, a, &ACCOUNT, 200), ReserveOutcome::Pending));
            let mut out = Vec::new();
            g.hosts[0].poll(g.now, a, &[Ordinal(1)], &mut out);
            let until = g.now + Duration::from_millis(lease);
            let lender = a.map(|a| Authority { until, ..a });
            let answer: BorrowAnswer = g.hosts[1].lend(g.now, lender, Ordinal(0), &out[0].request);
            g.now = g.now + Duration::from_millis(late);
            g.hosts[0].handle_answer(g.now, Ordinal(1), answer);
            assert_eq!(g.hosts[0].report(g.now, a)[0].available > 100, taken, "{late} of {lease}");
        }
    }
    // Guards against a refund to a bucket that was created after the reservation.
    settling_after_a_reset_is_ignored: {
        let mut g = Group::new(1, Limits { rate: 100, burst: 1000 });
        g.now = g.now + Duration::from_secs(20);
        let grant = g.reserve(0, 900).unwrap();
        let a = Authority { generation: Generation(2), ..g.authority().unwrap() };
        let h = &mut g.hosts[0];
        assert!(matches!(h.reserve(g.now, Some(a), &ACCOUNT, 1), ReserveOutcome::Refused { .. }));
        h.settle(g.now, grant, 0);
        assert!(matches!(h.reserve(g.now, Some(a), &ACCOUNT, 1), ReserveOutcome::Refused { .. }));
    }
}
