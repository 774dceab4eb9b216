use std::time::Duration;

use super::{Knowledge, Mark, Pulse};
use crate::time::Tick;

const POLL: Duration = Duration::from_millis(500);

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn knows(ms: u64, hash: u64) -> Knowledge {
    let mut k = Knowledge::default();
    k.asks(at(ms));
    k.took(at(ms), hash);
    k
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against calls that grow with the fleet.
    a_told_host_does_not_read: {
        let mut k = knows(0, 5);
        for ms in (100..10_000).step_by(100) {
            k.told(at(ms), Mark { hash: 5, age: 300 });
            assert!(!k.due(at(ms), 1, POLL), "at {ms} ms");
        }
    }
    // Guards against keys that go on working because a peer's read proves an older state.
    another_state_does_not_renew_the_age: {
        let mut k = knows(0, 5);
        assert!(!k.told(at(1000), Mark { hash: 6, age: 10 }));
        assert_eq!(k.read(), Some(at(0)));
        assert!(k.due(at(1200), 1, POLL));
    }
    // Guards against an age that is younger than the read.
    the_age_counts_from_the_read: {
        let mut k = knows(0, 5);
        k.told(at(1000), Mark { hash: 5, age: 400 });
        assert!(k.read().unwrap() <= at(600));
    }
    // Guards against reads on every digest of a peer that lags behind.
    an_older_state_is_no_news: {
        let mut k = knows(1000, 6);
        k.told(at(1100), Mark { hash: 5, age: 900 });
        assert!(!k.due(at(1150), 1, POLL) && !k.behind());
    }
    // Guards against a host that waits for a reader that is cut off.
    a_host_that_hears_nothing_reads: {
        let k = knows(0, 5);
        assert!(!k.due(at(750), 1, POLL));
        assert!(k.due(at(850), 1, POLL));
        assert!(k.due(at(1250), 900, POLL));
    }
    // Guards against a fleet that reads at once when its reader is lost: the substitute's read is
    // known to all before they read themselves.
    substitutes_read_one_after_another: {
        let k = knows(0, 5);
        let first = |rank| (0..2000).find(|ms| k.due(at(*ms), rank, POLL)).unwrap();
        assert_eq!(first(0), 500);
        assert!(first(1) + 100 <= first(2) && first(2) + 100 <= first(3));
        assert_eq!(first(6), first(29));
    }
    // Guards against changes in force too late after the loss of the reader: three reads and the
    // longest wait fit into the bound of two seconds.
    a_lost_reader_keeps_the_bound: {
        let k = knows(0, 5);
        let all = (0..2000).find(|ms| k.due(at(*ms), 29, POLL)).unwrap();
        assert!(all <= 1500, "{all}");
    }
    // Guards against a read at every host for a change that the reader sends along.
    a_change_that_is_sent_is_not_read: {
        let mut k = knows(0, 5);
        k.told(at(400), Mark { hash: 6, age: 10 });
        assert!(k.behind() && !k.due(at(450), 1, POLL));
        assert_eq!(k.changed(at(460), 4, Mark { hash: 6, age: 70 }), None);
        assert_eq!(k.changed(at(460), 5, Mark { hash: 6, age: 70 }), Some(at(360)));
        assert!(!k.behind() && !k.due(at(700), 1, POLL));
        assert_eq!(k.mark(at(460)), Some(Mark { hash: 6, age: 100 }));
    }
    // Guards against a slow read that puts back what a peer's later read has replaced, so that a
    // leaving replica gets work again.
    an_overtaken_read_is_told_apart: {
        let mut k = knows(0, 5);
        k.asks(at(500));
        k.changed(at(900), 5, Mark { hash: 6, age: 50 });
        assert!(k.overtaken(at(500), 5));
        assert!(!k.overtaken(at(500), 6) && !k.overtaken(at(900), 7));
    }
    // Guards against keys that work again after a pause, since datagrams that waited meanwhile are
    // taken for new ones.
    nothing_is_proved_by_datagrams_of_a_pause: {
        let mut p = Pulse::default();
        for ms in (0..1000).step_by(50) {
            assert_eq!(p.beat(at(ms)), None);
            assert!(p.prompt(at(ms)));
        }
        assert_eq!(p.beat(at(3950)), Some(Duration::from_millis(3000)));
        assert_eq!(p.beat(at(3951)), None);
        assert!(!p.prompt(at(3951)) && !p.prompt(at(4400)));
        assert!(p.prompt(at(4450)));
    }
    // Guards against a change that was lost on the way and that nobody asks for.
    a_change_that_was_lost_is_read: {
        let mut k = knows(0, 5);
        k.told(at(400), Mark { hash: 6, age: 10 });
        k.told(at(500), Mark { hash: 6, age: 110 });
        assert!(k.due(at(560), 29, POLL));
    }
    // Guards against calls in quick succession to a store that turns this host away.
    a_failed_read_is_not_repeated_at_once: {
        let mut k = knows(0, 5);
        k.told(at(400), Mark { hash: 6, age: 10 });
        k.asks(at(600));
        k.failed();
        assert!(!k.due(at(900), 0, POLL));
        assert!(k.due(at(1100), 0, POLL));
    }
    // Guards against a second read while one is under way, and against none after a failure.
    one_read_at_a_time: {
        let mut k = Knowledge::default();
        assert!(k.due(at(0), 0, POLL));
        k.asks(at(0));
        assert!(!k.due(at(5000), 0, POLL));
        k.failed();
        assert!(k.due(at(5000), 0, POLL));
    }
}
