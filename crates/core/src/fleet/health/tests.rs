use super::{Health, HealthState, Outcome};
use crate::time::Tick;

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a replica that hangs and keeps its share of the requests.
    two_lost_requests_eject: {
        let mut h = Health::default();
        assert!(!h.record(at(0), Outcome::NoResponse, 0.0));
        assert!(h.record(at(1), Outcome::NoResponse, 0.0));
        assert_eq!(h.state(at(2)), HealthState::Ejected);
    }
    // Guards against a partially failing replica that responds between its failures.
    a_high_share_of_failures_ejects: {
        let mut h = Health::default();
        let mut ejected = false;
        for i in 0..20 {
            let outcome = if i % 2 == 0 { Outcome::Failure } else { Outcome::Success };
            ejected |= h.record(at(i), outcome, 0.0);
        }
        assert!(ejected);
    }
    // Guards against ejection for errors that all replicas of a service return.
    usual_failures_do_not_eject: {
        let mut h = Health::default();
        for i in 0..100 {
            let outcome = if i % 4 == 0 { Outcome::Failure } else { Outcome::Success };
            assert!(!h.record(at(i), outcome, 0.25));
        }
    }
    // Guards against a burst of requests to a replica whose ejection has just ended.
    a_returning_replica_gets_one_probe: {
        let mut h = Health::default();
        h.record(at(0), Outcome::NoResponse, 0.0);
        h.record(at(0), Outcome::NoResponse, 0.0);
        assert_eq!(h.state(at(1600)), HealthState::Probe);
        h.start_probe(at(1600));
        assert_eq!(h.state(at(1700)), HealthState::Ejected);
        assert_eq!(h.state(at(2700)), HealthState::Probe, "a probe without an outcome");
    }
    // Guards against a replica that stays ejected forever after a short fault.
    good_probes_clear_the_record: {
        let mut h = Health::default();
        h.record(at(0), Outcome::NoResponse, 0.0);
        h.record(at(0), Outcome::NoResponse, 0.0);
        for i in 0..3 {
            h.record(at(1600 + i), Outcome::Success, 0.0);
        }
        assert_eq!(h.state(at(1700)), HealthState::Healthy);
    }
    // Guards against a flapping replica that is ejected only briefly each time.
    ejections_grow: {
        let mut h = Health::default();
        h.record(at(0), Outcome::NoResponse, 0.0);
        h.record(at(0), Outcome::NoResponse, 0.0);
        assert!(h.record(at(1600), Outcome::NoResponse, 0.0), "the first failure after a return");
        assert_eq!(h.state(at(1600 + 2900)), HealthState::Ejected);
        assert_eq!(h.state(at(1600 + 3100)), HealthState::Probe);
    }
    // Guards against an ejection because callers left.
    a_neutral_outcome_does_not_eject: {
        let mut h = Health::default();
        for i in 0..50 {
            assert!(!h.record(at(i), Outcome::Neutral, 0.0));
        }
        assert_eq!(h.state(at(60)), HealthState::Healthy);
    }
}
