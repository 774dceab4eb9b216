use std::time::Duration;

use super::Survivor;
use crate::time::Tick;

const SPAN: Duration = Duration::from_secs(8);

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

// A host with a request each second from `from` to `to`.
fn busy(s: &mut Survivor, from: u64, to: u64) {
    (from..=to).step_by(1000).for_each(|t| s.record_request(at(t)));
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a fleet whose last host never loads an adapter again.
    a_busy_host_that_sees_nobody_is_alone: {
        let mut s = Survivor::default();
        busy(&mut s, 0, 9000);
        assert!(!s.is_alone(at(7000), SPAN));
        assert!(s.is_alone(at(9000), SPAN));
    }
    // Pattern: callers come back after a quiet time while a host is cut off. Guards against a host
    // that takes the quiet time for the loss of all others.
    an_idle_time_proves_nothing: {
        let mut s = Survivor::default();
        busy(&mut s, 0, 3000);
        busy(&mut s, 13_000, 15_000);
        assert!(!s.is_alone(at(15_000), SPAN));
        busy(&mut s, 16_000, 22_000);
        assert!(s.is_alone(at(22_000), SPAN));
        assert!(!s.is_alone(at(25_000), SPAN), "idle again");
    }
    // Guards against a host that is cut off and orders beside hosts whose work it sees.
    work_of_others_starts_the_wait_over: {
        let mut s = Survivor::default();
        busy(&mut s, 0, 9000);
        s.record_foreign(at(9000));
        busy(&mut s, 10_000, 17_000);
        assert!(!s.is_alone(at(17_000), SPAN));
        busy(&mut s, 18_000, 18_000);
        assert!(s.is_alone(at(18_000), SPAN));
    }
}
