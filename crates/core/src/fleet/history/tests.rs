use std::{net::Ipv4Addr, time::Duration};

use proptest::prelude::*;

use super::{EraChange, EraReport, History, ItemChange, Position, REWRITE_TIME};
use crate::{fleet::order::fencing_token, time::Tick};

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn pos(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn report(era: u64, age_ms: Option<u64>, version: u64) -> EraReport {
    EraReport { ip: PEER, incarnation: 1, era, age_ms, version }
}

// History of a host that runs since long before `at(0)` and has read era 1.
fn running() -> History {
    let mut h = History::new(Tick(0));
    h.observe(at(0), 1);
    h
}

fn is_current(h: &History, ms: u64, version: u64) -> bool {
    h.proves_current(at(ms), version, |_| true)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a change of a later era that is skipped because its revision is lower.
    a_later_era_is_newer_whatever_its_revision: {
        let mut h = running();
        assert_eq!(h.observe_item("a", pos(1, 171)), ItemChange::New);
        assert_eq!(h.observe_item("a", pos(1, 171)), ItemChange::Applied);
        assert_eq!(h.observe_item("a", pos(1, 170)), ItemChange::Outdated(pos(1, 171)));
        assert_eq!(h.observe_item("a", pos(2, 69)), ItemChange::New);
        assert_eq!(h.observe_item("a", pos(1, 200)), ItemChange::Outdated(pos(2, 69)));
    }
    // Guards against a read that is counted as proof before what was lost is written again, which
    // would renew a withdrawn key.
    a_read_after_a_restore_proves_nothing_at_first: {
        let mut h = running();
        assert!(is_current(&h, 900, 3));
        assert_eq!(h.observe(at(1000), 2), EraChange::Restored(1));
        assert!(!is_current(&h, 1000, 3));
        assert!(is_current(&h, 1000 + REWRITE_TIME.as_millis() as u64, 3));
    }
    // Guards against refusals after a restore although the operators have written everything again.
    an_unchanged_version_at_another_revision_was_written_again: {
        let mut h = running();
        h.observe(at(1000), 2);
        h.note_rewrite(pos(1, 171), pos(2, 171));
        assert!(!is_current(&h, 1000, 3), "the copy itself");
        h.note_rewrite(pos(1, 171), pos(2, 32));
        assert!(is_current(&h, 1000, 3));
        h.observe(at(1500), 3);
        assert!(!is_current(&h, 1500, 3), "the next restore");
    }
    // Guards against a response of an earlier era that arrives late.
    an_earlier_era_is_outdated: {
        let mut h = running();
        h.observe(at(0), 3);
        assert_eq!(h.observe(at(1), 2), EraChange::Outdated);
        assert_eq!(h.apply(at(1), &report(2, Some(0), 1)), EraChange::Outdated);
        assert_eq!(h.era(), Some(3));
    }
    // Guards against a started host that takes the restored copy for current.
    a_started_host_learns_of_the_restore_from_its_peers: {
        let mut h = History::new(at(0));
        h.observe(at(50), 2);
        assert!(!is_current(&h, 50, 1), "no peer has reported yet");
        h.apply(at(60), &report(2, Some(500), 3));
        assert!(!is_current(&h, 1400, 3), "restored at -440 ms");
        assert!(is_current(&h, 1560, 3));
        assert!(!is_current(&h, 1560, 1), "the peer has a later version");
        h.remove_peer(PEER);
        assert!(is_current(&h, 1560, 1));
    }
    // Guards against a host that waits for peers that do not run.
    a_host_alone_serves_soon: {
        let mut h = History::new(at(0));
        h.observe(at(50), 2);
        assert!(is_current(&h, 500, 1));
        h.apply(at(600), &report(2, None, 3));
        assert!(h.proves_current(at(600), 1, |_| false), "the peer has ended");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write,
    // Goes back by so many writes.
    Restore(usize),
    // Reads at a host; the response arrives after so many further steps.
    Read(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Write),
        1 => (1..6usize).prop_map(Step::Restore),
        4 => (0..4usize).prop_map(Step::Read),
    ]
}

proptest! {
    // Guards against writes that are missed, or undone by an older one, when restores repeat
    // revisions and responses arrive late or twice.
    #[test]
    fn the_newest_write_is_applied(steps in prop::collection::vec(step(), 1..80)) {
        let mut h = running();
        let (mut era, mut log) = (1, vec![0u64]);
        let mut pending: Vec<(usize, Position, u64)> = Vec::new();
        let (mut applied, mut written, mut newest) = (0, 0, pos(0, 0));
        for (n, s) in steps.iter().chain([&Step::Read(0)]).enumerate() {
            match *s {
                Step::Write => {
                    written += 1;
                    log.push(written);
                }
                Step::Restore(lost) => {
                    log.truncate((log.len().saturating_sub(lost)).max(1));
                    era += 1;
                }
                Step::Read(delay) => {
                    let content = log[log.len() - 1];
                    pending.push((n + delay, pos(era, log.len() as u64), content));
                }
            }
            let due: Vec<_> = pending.iter().filter(|(when, ..)| *when <= n).cloned().collect();
            pending.retain(|(when, ..)| *when > n);
            for (_, position, content) in due.iter().chain(&due) {
                if h.observe(at(n as u64), position.era) == EraChange::Outdated {
                    continue;
                }
                if h.observe_item("a", *position) == ItemChange::New {
                    prop_assert!(*position > newest);
                    (applied, newest) = (*content, *position);
                }
            }
        }
        prop_assert_eq!(applied, log[log.len() - 1]);
    }

    // Guards against fencing tokens that fall when a restore takes the revision back.
    #[test]
    fn tokens_rise_across_restores(
        era in 1..1000u64, revision in 0..1_000_000u64, lost in 0..1_000_000u64, host in 0..250u8,
    ) {
        let ip = |n| Ipv4Addr::new(10, 0, 0, n);
        let before = fencing_token(pos(era, revision + lost).count(), 0, ip(host));
        let after = fencing_token(pos(era + 1, revision + 1).count(), 0, ip(1));
        prop_assert!(after > before || lost >= 1 << 20);
    }

    // Guards against ages of peers that make a restore look older or younger than it is at the host
    // that saw it first.
    #[test]
    fn the_earliest_sight_counts(ages in prop::collection::vec(0..5000u64, 1..10)) {
        let mut h = running();
        h.observe(at(10_000), 2);
        let mut first = 10_000;
        for (n, age) in ages.iter().enumerate() {
            let now = 10_000 + n as u64 * 100;
            h.apply(at(now), &report(2, Some(*age), 1));
            first = first.min(now.saturating_sub(*age));
        }
        prop_assert_eq!(h.restored_at(), Some(at(first)));
        prop_assert!(h.restored_within(at(first + 10), Duration::from_millis(20)));
    }
}

cases! {
    // Guards against seconds of refusals after the loss of all hosts, when no peer can tell more.
    a_fleet_that_lost_all_hosts_does_not_wait_for_peers: {
        let mut h = History::new(at(0));
        h.observe(at(10), 4);
        assert!(!is_current(&h, 10, 1));
        assert!(is_current(&h, 200, 1));
    }
}
