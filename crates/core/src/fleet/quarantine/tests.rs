use std::{net::Ipv4Addr, time::Duration};

use proptest::prelude::*;

use super::{HOLD_IDLE, HoldChange, LOSS_MEMORY, Quarantine, ReleaseReason};
use crate::{fleet::digest::LossReport, time::Tick};

/// Block in all requests, and a block that ends replicas.
const SYSTEM: u64 = 1;
const BAD: u64 = 0xbad;

fn at(ms: u64) -> Tick {
    Tick(10_000_000_000 + ms * 1000)
}

fn ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (i >> 8) as u8, i as u8 + 1)
}

fn held(q: &Quarantine) -> Vec<u64> {
    q.held().collect()
}

// Serves requests that contain none of the blocks under test.
fn serve_others(q: &mut Quarantine, ms: u64) {
    for n in 0..3 {
        q.record_served(at(ms), &[0x1000 + n]);
    }
}

// Replicas that ended one after the other, 300 ms apart, each with one request at its start.
fn lose(q: &mut Quarantine, from: u64, prompts: &[&[u64]], begun: bool) {
    for (i, blocks) in prompts.iter().enumerate() {
        let n = from + i as u64;
        q.record_loss(at(n * 300), n as u32, blocks.to_vec(), begun);
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a hold of the blocks that sound requests share with the crashing ones.
    the_block_that_all_ends_share_is_held: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[SYSTEM, BAD], &[SYSTEM, BAD]], true);
        q.record_served(at(400), &[SYSTEM, 5]);
        serve_others(&mut q, 700);
        assert_eq!(held(&q), [BAD]);
        assert_eq!(q.check(at(800), &[SYSTEM, BAD]), Some(BAD));
        assert_eq!(q.check(at(800), &[SYSTEM, 5]), None);
    }
    // Guards against a shared block that is held because no sound request ended in between.
    a_block_that_was_served_before_is_not_held_for_its_neighbour: {
        let mut q = Quarantine::default();
        q.record_served(at(0), &[SYSTEM, 5]);
        lose(&mut q, 1, &[&[SYSTEM, BAD], &[SYSTEM, BAD], &[SYSTEM, BAD], &[SYSTEM, BAD]], true);
        serve_others(&mut q, 1500);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against a block that is never found because its responses do not begin before the end.
    ends_without_a_begun_response_count_too: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[BAD, 7], &[BAD, 8], &[BAD, 9]], false);
        serve_others(&mut q, 1000);
        assert!(held(&q).is_empty());
        lose(&mut q, 4, &[&[BAD, 10]], false);
        serve_others(&mut q, 1300);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against a block that escapes behind later blocks of the prompts.
    the_first_block_may_be_the_cause: {
        let mut q = Quarantine::default();
        serve_others(&mut q, 0);
        lose(&mut q, 0, &[&[BAD, 2, 3], &[BAD, 4, 5], &[BAD, 6, 7]], true);
        serve_others(&mut q, 1000);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against a block that stays held after another one has turned out to be the cause.
    a_neighbour_is_released_when_the_cause_is_found: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[BAD, 2], &[BAD, 2]], true);
        serve_others(&mut q, 700);
        assert_eq!(held(&q), [2]);
        lose(&mut q, 3, &[&[BAD, 3], &[BAD, 4]], true);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against requests that are refused because they waited at replicas that another one ended.
    requests_that_waited_beside_the_cause_are_not_held: {
        let mut q = Quarantine::default();
        for n in 0..6 {
            q.record_loss(at(n * 300), n as u32, vec![SYSTEM, 2], false);
            q.record_loss(at(n * 300 + 1), n as u32, vec![SYSTEM, BAD], true);
        }
        serve_others(&mut q, 2000);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against a request without a prompt that ends replica after replica.
    a_request_is_held_after_three_ends: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[BAD], &[BAD]], false);
        serve_others(&mut q, 700);
        assert!(held(&q).is_empty());
        assert!(q.is_doubtful(BAD));
        lose(&mut q, 3, &[&[BAD]], false);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against sound requests that are refused because they ran beside the cause at a few
    // replicas which run many requests each.
    neighbours_of_a_request_are_not_held: {
        let mut q = Quarantine::default();
        for n in 0..3u64 {
            for other in 0..40 {
                q.record_loss(at(n * 300), n as u32, vec![0x5000 + n * 100 + other], false);
            }
            q.record_loss(at(n * 300 + 1), n as u32, vec![BAD], false);
            // A caller that sends the same request all the time.
            q.record_loss(at(n * 300 + 2), n as u32, vec![7], false);
            q.record_served(at(n * 300 + 100), &[7]);
        }
        serve_others(&mut q, 1000);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against a request that stays doubtful, or is held, although it was served since.
    a_response_clears_a_request: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[7], &[7]], false);
        q.record_served(at(700), &[7]);
        assert!(!q.is_doubtful(7));
        lose(&mut q, 3, &[&[7], &[7]], false);
        serve_others(&mut q, 2000);
        assert!(held(&q).is_empty());
        assert!(q.is_doubtful(7));
    }
    // Guards against a peer that holds a request which another host has served in between.
    a_response_at_one_host_clears_the_request_at_all: {
        let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
        lose(&mut a, 0, &[&[7], &[7]], false);
        a.record_served(at(700), &[7]);
        let r = a.report(at(701), ip(0), 1).unwrap();
        b.apply(at(702), &r);
        assert!(!b.is_doubtful(7));
        serve_others(&mut b, 710);
        lose(&mut b, 3, &[&[7]], false);
        assert!(held(&b).is_empty());
    }
    // Guards against a hold of what all requests share while the whole service fails.
    nothing_is_held_while_nothing_is_served: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[SYSTEM, 2], &[SYSTEM, 3], &[SYSTEM, 4], &[SYSTEM, 5]], true);
        assert!(held(&q).is_empty());
    }
    // Guards against a hold after replicas of one rack have ended together.
    replicas_that_end_together_count_once: {
        let mut q = Quarantine::default();
        for n in 0..8 {
            q.record_loss(at(n), n as u32, vec![SYSTEM, 2], true);
        }
        serve_others(&mut q, 100);
        assert!(held(&q).is_empty());
    }
    // Guards against a frequent block that is held on a day with many unrelated ends.
    frequent_blocks_survive_unrelated_ends: {
        let mut q = Quarantine::default();
        for n in 0..60 {
            q.record_loss(at(n * 1000), n as u32, vec![SYSTEM, 2, 100 + n], false);
            q.record_served(at(n * 1000 + 500), &[SYSTEM, 2, 200 + n]);
        }
        assert!(held(&q).is_empty());
    }
    // Guards against a hold that outlives the proof that its block is sound.
    a_response_releases_its_block: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[SYSTEM, 2], &[SYSTEM, 2]], true);
        serve_others(&mut q, 700);
        assert_eq!(held(&q), [2]);
        let changes = q.record_served(at(900), &[SYSTEM, 2]);
        let released = HoldChange::Released { block: 2, reason: ReleaseReason::Served };
        assert_eq!(changes, [released]);
    }
    // Guards against a hold that ends by the clock while requests with its block still come.
    a_hold_lasts_while_its_requests_come: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[BAD], &[BAD]], true);
        serve_others(&mut q, 700);
        let idle = HOLD_IDLE.as_millis() as u64;
        let mut ms = 1000;
        while ms < 5 * idle {
            assert_eq!(q.check(at(ms), &[BAD]), Some(BAD), "at {ms} ms");
            assert!(q.expire(at(ms)).is_empty());
            ms += LOSS_MEMORY.as_millis() as u64;
        }
        assert_eq!(q.expire(at(ms + idle)).len(), 1);
        assert!(held(&q).is_empty());
    }
    // Guards against a block that the operators have released and that is held again.
    operators_release_a_block: {
        let mut q = Quarantine::default();
        lose(&mut q, 0, &[&[BAD], &[BAD]], true);
        serve_others(&mut q, 700);
        let released = HoldChange::Released { block: BAD, reason: ReleaseReason::Operator };
        assert_eq!(q.set_released(at(800), &[BAD]), [released]);
        lose(&mut q, 5, &[&[BAD], &[BAD]], true);
        assert!(held(&q).is_empty());
        q.set_released(at(3000), &[]);
        assert_eq!(held(&q), [BAD]);
    }
    // Guards against a host that has just started and passes on what its peers hold back.
    a_started_host_holds_what_its_peers_hold: {
        let mut old = Quarantine::default();
        lose(&mut old, 0, &[&[SYSTEM, BAD], &[SYSTEM, BAD]], true);
        serve_others(&mut old, 700);
        let mut new = Quarantine::default();
        let report = old.introduction(at(800), ip(0), 1).unwrap();
        new.apply(at(801), &report);
        assert_eq!(held(&new), [BAD]);
    }
    // Guards against an old report that is delivered after a newer one.
    an_overtaken_report_is_ignored: {
        let mut a = Quarantine::default();
        lose(&mut a, 0, &[&[BAD], &[BAD]], true);
        serve_others(&mut a, 700);
        let old = a.introduction(at(800), ip(0), 1).unwrap();
        let new = a.introduction(at(900), ip(0), 1).unwrap();
        let mut b = Quarantine::default();
        b.apply(at(901), &LossReport { losses: Vec::new(), held: Vec::new(), ..new });
        b.apply(at(902), &old);
        assert!(held(&b).is_empty());
    }
}

// Hosts that report to each other with loss, repetition and delay.
struct Fleet {
    hosts: Vec<Quarantine>,
    // Time of arrival, receiver and report.
    sent: Vec<(u64, usize, LossReport)>,
    seed: u64,
}

impl Fleet {
    fn new(n: usize, seed: u64) -> Self {
        let hosts = (0..n).map(|_| Quarantine::default()).collect();
        Self { hosts, sent: Vec::new(), seed }
    }

    // Number below `n`.
    fn draw(&mut self, n: u64) -> u64 {
        self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.seed >> 33) % n
    }

    fn exchange(&mut self, ms: u64) {
        for from in 0..self.hosts.len() {
            let Some(r) = self.hosts[from].report(at(ms), ip(from), 1) else { continue };
            for to in (0..self.hosts.len()).filter(|t| *t != from) {
                for _ in 0..[0, 1, 1, 1, 1, 1, 1, 2][self.draw(8) as usize] {
                    let arrives = ms + 1 + self.draw(200);
                    self.sent.push((arrives, to, r.clone()));
                }
            }
        }
        let (due, rest) = std::mem::take(&mut self.sent).into_iter().partition(|s| s.0 <= ms);
        self.sent = rest;
        let mut due: Vec<_> = due;
        due.sort_by_key(|s| s.0);
        for (_, to, r) in due {
            self.hosts[to].apply(at(ms), &r);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    // Guards against hosts of a fleet that know the block too late, or hold a sound one, while
    // replicas also end for other reasons and reports are lost, repeated and late.
    #[test]
    fn all_hosts_hold_the_block_soon(n in prop::sample::select(vec![5_usize, 30, 78]), seed: u64) {
        let mut f = Fleet::new(n, seed);
        let mut ends = Vec::new();
        let mut replica = 0;
        for step in 0..160_u64 {
            let ms = step * 50;
            for _ in 0..3 {
                let host = f.draw(n as u64) as usize;
                let subject = 10 + f.draw(20);
                f.hosts[host].record_served(at(ms), &[SYSTEM, subject]);
            }
            if step % 7 == 3 {
                let host = f.draw(n as u64) as usize;
                if f.hosts[host].check(at(ms), &[SYSTEM, BAD]).is_none() {
                    replica += 1;
                    ends.push(ms);
                    f.hosts[host].record_loss(at(ms), replica, vec![SYSTEM, BAD], true);
                }
            }
            if step % 40 == 11 {
                replica += 1;
                for _ in 0..4 {
                    let host = f.draw(n as u64) as usize;
                    let subject = 10 + f.draw(20);
                    f.hosts[host].record_loss(at(ms), replica, vec![SYSTEM, subject], false);
                }
            }
            f.exchange(ms);
        }
        let late = ends.iter().filter(|ms| ends.len() > 4 && **ms > ends[4] + 3000).count();
        prop_assert!(late <= 3, "{late} ends more than 3 s after the fifth of {}", ends.len());
        let busy: Vec<_> = f.hosts.iter().map(held).collect();
        for h in busy {
            prop_assert!(h.iter().all(|b| *b == BAD), "held {h:?}");
        }
    }
}

// Guards against evidence that takes ever more memory or makes reports that fit into no datagram.
#[test]
fn evidence_is_bounded() {
    let mut q = Quarantine::default();
    for n in 0..20_000_u64 {
        let blocks = (0..16).map(|b| n * 16 + b).collect::<Vec<_>>();
        q.record_served(at(n), &blocks);
        q.record_loss(at(n), n as u32, blocks, n % 2 == 0);
    }
    assert!(q.losses.len() <= super::MAX_LOSSES);
    assert!(q.served.len() <= super::MAX_SERVED);
    let r = q.report(at(20_000), ip(0), 1).unwrap();
    let bytes = postcard::to_stdvec(&r).unwrap().len();
    assert!(bytes < 60_000, "{bytes} bytes");
    q.expire(at(20_000) + LOSS_MEMORY + Duration::from_secs(1));
    assert!(q.losses.is_empty());
}
