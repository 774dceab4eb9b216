mod model;

use std::time::Duration;

use super::{Freshness, SnapshotMark, StallDetector};
use crate::{fleet::listing::UNREAD_AGE_MS, time::Tick};

const POLL: Duration = Duration::from_millis(500);

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn copy(ms: u64, hash: u64) -> Freshness {
    let mut f = Freshness::default();
    f.start_read(at(ms));
    f.finish_read(at(ms), hash);
    f
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a number of reads that grows with the fleet.
    a_confirmed_copy_is_not_read_again: {
        let mut f = copy(0, 5);
        for ms in (100..10_000).step_by(100) {
            f.observe(at(ms), SnapshotMark { hash: 5, age_ms: 300 }, Some(at(ms)));
            assert!(!f.read_due(at(ms), 1, POLL), "at {ms} ms");
        }
    }
    // Guards against revoked keys that stay valid because a peer's read of another state renews the
    // age of the copy.
    another_copy_does_not_renew_the_age: {
        let mut f = copy(0, 5);
        assert_eq!(f.observe(at(1000), SnapshotMark { hash: 6, age_ms: 10 }, Some(at(1000))), None);
        assert_eq!(f.read_at(), Some(at(0)));
        assert!(f.read_due(at(1200), 1, POLL));
    }
    // Guards against a peer that takes the age of an earlier copy for that of one which a restored
    // store has shown.
    an_unproved_copy_is_not_announced: {
        let mut f = copy(0, 5);
        f.finish_unproved(at(1000), 6, true);
        assert_eq!((f.mark(at(1100), POLL), f.read_at()), (None, Some(at(0))));
        f.start_read(at(1500));
        f.finish_read(at(1500), 6);
        assert_eq!(f.mark(at(1600), POLL), Some(SnapshotMark { hash: 6, age_ms: 100 }));
    }
    // Guards against many reads of each host while no read proves anything.
    an_unproved_copy_is_read_once_per_interval: {
        let mut f = Freshness::default();
        f.start_read(at(0));
        f.finish_unproved(at(10), 6, true);
        assert!(!f.read_due(at(450), 0, POLL));
        assert!(f.read_due(at(500), 0, POLL));
    }
    // Guards against a decision that waits for a read for a whole interval, and against reads at
    // every tick while several wait.
    a_wanted_read_is_due_once: {
        let mut f = copy(0, 5);
        f.want_read();
        assert!(!f.read_due(at(50), 3, POLL));
        assert!(f.read_due(at(150), 3, POLL));
        f.start_read(at(150));
        f.finish_read(at(150), 5);
        assert!(!f.read_due(at(300), 3, POLL));
    }
    // Guards against an age that is lower than that of the read.
    the_age_counts_from_the_read: {
        let mut f = copy(0, 5);
        let mark = SnapshotMark { hash: 5, age_ms: 400 };
        let read = f.observe(at(1000), mark, Some(at(1000))).unwrap();
        assert!(read <= at(600) && read >= at(590));
        assert_eq!(f.read_at(), Some(read));
    }
    // Pattern: the store rejects a host whose digests arrive late, over a busy link or at a busy
    // process. Guards against withdrawn keys that stay in use because the wait of a digest lowers the
    // age that it states.
    a_wait_does_not_lower_the_age: {
        let mut f = copy(0, 5);
        // Stamped at 300 ms and handled at 2300 ms.
        let mark = SnapshotMark { hash: 5, age_ms: 100 };
        assert!(f.observe(at(2300), mark, Some(at(300))).unwrap() <= at(200));
        assert!(f.read_at().unwrap() <= at(200));
    }
    // Guards against a copy that is confirmed by a digest of unknown age.
    a_mark_without_a_bound_confirms_nothing: {
        let mut f = copy(0, 5);
        assert_eq!(f.observe(at(1000), SnapshotMark { hash: 5, age_ms: 10 }, None), None);
        assert_eq!(f.read_at(), Some(at(0)));
        // It still tells of a newer copy.
        f.observe(at(1000), SnapshotMark { hash: 6, age_ms: 10 }, None);
        assert!(f.is_behind());
    }
    // Pattern: two hosts that the store rejects, each paused for a moment at times. Guards against
    // withdrawn keys that stay in use because each takes the other's digest, which has waited, for a
    // younger read than its own.
    ages_of_peers_are_not_passed_on: {
        let (mut a, mut b) = (copy(0, 5), copy(0, 5));
        for ms in (0..20_000).step_by(400) {
            // Each digest waits for 200 ms, during a pause that is too short to be noticed.
            let sent = a.mark(at(ms), POLL);
            sent.into_iter().for_each(|m| _ = b.observe(at(ms + 200), m, Some(at(ms))));
            let sent = b.mark(at(ms + 200), POLL);
            sent.into_iter().for_each(|m| _ = a.observe(at(ms + 400), m, Some(at(ms + 200))));
        }
        assert_eq!((a.read_at(), b.read_at()), (Some(at(0)), Some(at(0))));
    }
    // Guards against a read at every digest of a peer whose copy is older.
    an_older_copy_triggers_no_read: {
        let mut f = copy(1000, 6);
        f.observe(at(1100), SnapshotMark { hash: 5, age_ms: 900 }, Some(at(1100)));
        assert!(!f.read_due(at(1150), 1, POLL) && !f.is_behind());
    }
    // Guards against a host that waits for a reader that it cannot reach.
    a_host_that_hears_nothing_reads: {
        let f = copy(0, 5);
        assert!(!f.read_due(at(750), 1, POLL));
        assert!(f.read_due(at(850), 1, POLL));
        assert!(f.read_due(at(1250), 900, POLL));
    }
    // Guards against simultaneous reads of all hosts when the reader is lost: the others learn of
    // the first backup's read before they read.
    backups_read_one_after_another: {
        let f = copy(0, 5);
        let first = |rank| (0..2000).find(|ms| f.read_due(at(*ms), rank, POLL)).unwrap();
        assert_eq!(first(0), 500);
        assert!(first(1) + 100 <= first(2) && first(2) + 100 <= first(3));
        assert_eq!(first(6), first(29));
    }
    // Guards against changes that take effect too late after the loss of the reader: three reads
    // and the longest wait fit into the bound of two seconds.
    a_lost_reader_keeps_the_bound: {
        let f = copy(0, 5);
        let all = (0..2000).find(|ms| f.read_due(at(*ms), 29, POLL)).unwrap();
        assert!(all <= 1500, "{all}");
    }
    // Guards against a read at every host for a change that the reader distributes.
    a_change_that_is_sent_is_not_read: {
        let mut f = copy(0, 5);
        f.observe(at(400), SnapshotMark { hash: 6, age_ms: 10 }, Some(at(400)));
        assert!(f.is_behind() && !f.read_due(at(450), 1, POLL));
        let to = SnapshotMark { hash: 6, age_ms: 70 };
        assert_eq!(f.apply_delta(at(460), 4, to, at(460)), None);
        let read = f.apply_delta(at(460), 5, to, at(460)).unwrap();
        assert!(read <= at(390) && read >= at(388));
        assert!(!f.is_behind() && !f.read_due(at(700), 1, POLL));
        assert_eq!(f.read_at(), Some(read));
        // The age came from a peer, so it is not passed on.
        assert_eq!(f.mark(at(460), POLL), Some(SnapshotMark { hash: 6, age_ms: 460 }));
    }
    // Guards against a change that has waited and takes the copy back to an earlier state, while the age
    // stays that of the later read: the store shows the base of the change again.
    a_change_that_is_older_than_the_copy_is_not_applied: {
        let mut f = copy(1000, 5);
        let late = SnapshotMark { hash: 6, age_ms: 20 };
        assert_eq!(f.apply_delta(at(1500), 5, late, at(600)), None);
        let part = SnapshotMark { hash: 6, age_ms: UNREAD_AGE_MS };
        assert_eq!(f.apply_delta(at(1500), 5, part, at(600)), None);
        assert!(f.apply_delta(at(1500), 5, late, at(1450)).is_some());
    }
    // Guards against an own read that reverts a peer's change because the time of the peer's read is
    // known as a lower bound only.
    a_read_that_may_be_overtaken_is_not_applied: {
        let mut f = copy(0, 5);
        f.start_read(at(500));
        // Stamped after 300 ms, and at 890 ms at the latest.
        f.apply_delta(at(900), 5, SnapshotMark { hash: 6, age_ms: 10 }, at(300));
        assert!(f.is_overtaken(at(500), 5));
        assert!(!f.is_overtaken(at(900), 5));
    }
    // Guards against a slow read that reverts a peer's later change, so that a leaving replica gets
    // requests again.
    an_overtaken_read_is_detected: {
        let mut f = copy(0, 5);
        f.start_read(at(500));
        f.apply_delta(at(900), 5, SnapshotMark { hash: 6, age_ms: 50 }, at(900));
        assert!(f.is_overtaken(at(500), 5));
        assert!(!f.is_overtaken(at(500), 6) && !f.is_overtaken(at(900), 7));
    }
    // Guards against revoked keys that become valid after a pause of the process, because datagrams
    // that arrived during the pause are treated as new.
    datagrams_from_a_pause_are_not_current: {
        let mut s = StallDetector::default();
        for ms in (0..1000).step_by(50) {
            assert_eq!(s.tick(at(ms)), None);
            assert!(s.is_current(at(ms)));
        }
        assert_eq!(s.tick(at(3950)), Some(Duration::from_millis(3000)));
        assert_eq!(s.tick(at(3951)), None);
        assert!(!s.is_current(at(3951)) && !s.is_current(at(4400)));
        assert!(s.is_current(at(4450)));
    }
    // Guards against a change whose datagram was lost and that is never read.
    a_change_that_was_lost_is_read: {
        let mut f = copy(0, 5);
        f.observe(at(400), SnapshotMark { hash: 6, age_ms: 10 }, Some(at(400)));
        f.observe(at(500), SnapshotMark { hash: 6, age_ms: 110 }, Some(at(500)));
        assert!(f.read_due(at(560), 29, POLL));
    }
    // Guards against rapid retries at a store that rejects this host's reads.
    a_failed_read_is_retried_after_an_interval: {
        let mut f = copy(0, 5);
        f.observe(at(400), SnapshotMark { hash: 6, age_ms: 10 }, Some(at(400)));
        f.start_read(at(600));
        f.fail_read();
        assert!(!f.read_due(at(900), 0, POLL));
        assert!(f.read_due(at(1100), 0, POLL));
    }
    // Guards against a second read while one is in progress, and against none after a failure.
    one_read_at_a_time: {
        let mut f = Freshness::default();
        assert!(f.read_due(at(0), 0, POLL));
        f.start_read(at(0));
        assert!(!f.read_due(at(5000), 0, POLL));
        f.fail_read();
        assert!(f.read_due(at(5000), 0, POLL));
    }
}
