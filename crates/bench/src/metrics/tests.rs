use std::time::Duration;

use yuccawing_core::rules::Class;

use super::{Decision, Sample, batch_efficiency, check_refusals, load_stalls};
use crate::{checker::AccountLimits, client::Outcome, fleet::JournalEntry, trace::Arrival};

fn sample(mark: &str, sent_us: u64, end_us: u64) -> Sample {
    let arrival = Arrival {
        at: Duration::ZERO,
        account: 0,
        host: 0,
        class: Class::Interactive,
        adapter: 0,
        version: 0,
        prompt: 10,
        tokens: 10,
        max_tokens: 20,
        deadline: Duration::ZERO,
        plain: None,
    };
    let outcome = Outcome {
        mark: mark.into(),
        sent_us,
        end_us,
        status: Some(200),
        complete: true,
        ..Outcome::default()
    };
    Sample { arrival, host: 0, prompt: 20, outcome }
}

fn entry(at_us: u64, kind: &str, mark: &str) -> JournalEntry {
    JournalEntry {
        at_us,
        kind: kind.into(),
        request_id: Some(mark.into()),
        instance: "a0:1".into(),
        prompt: mark.into(),
        ..JournalEntry::default()
    }
}

fn decision(at_us: u64, limited: bool) -> Decision {
    Decision { at_us, end_us: at_us + 1, reserved: 10, used: 10, limited }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against stalls that are counted although the instance was loaded before the request
    // was sent.
    only_loads_that_end_after_the_sending_are_stalls: {
        let j = vec![
            entry(0, "load_begin", ""),
            entry(300_000, "load", ""),
            entry(301_000, "request", "early"),
            entry(500_000, "load", ""),
            entry(501_000, "request", "late"),
        ];
        let s = [sample("early", 100_000, 900_000), sample("late", 400_000, 900_000)];
        let out = load_stalls(&s, &[("e0".to_owned(), j)].into(), (0, 1_000_000));
        assert_eq!((out.count, out.loads), (1, 1));
        assert_eq!((out.p50_ms, out.seconds_per_1000), (200.0, 100.0));
    }
    // Guards against idle slots that lower the efficiency while no request waits.
    efficiency_counts_only_while_work_waits: {
        let j = vec![
            entry(0, "request", "a"), entry(0, "begin", "a"),
            entry(1_000_000, "end", "a"),
            entry(1_000_000, "request", "b"), entry(1_000_000, "begin", "b"),
            entry(2_000_000, "end", "b"),
        ];
        let s = [sample("a", 0, 1_000_000), sample("b", 490_000, 2_000_000)];
        let out = batch_efficiency(&s, &[("e0".to_owned(), j)].into(), 2, (0, 4_000_000)).unwrap();
        assert_eq!((out.efficiency, out.waiting_s), (0.5, 0.5));
    }
    // Guards against a reference that misses a wrongful refusal or counts a rightful one.
    a_refusal_is_wrongful_only_with_room: {
        let l = AccountLimits { rate: 10, burst: 20 };
        let d = [
            decision(500_000, true),
            decision(1_000_000, false),
            decision(1_500_000, true),
            decision(2_100_000, true),
        ];
        let out = check_refusals(&d, l, (0, 0));
        assert_eq!((out.refusals.refused, out.refusals.wrongful), (3, 1));
        assert_eq!(out.wrongful, [2_100_000]);
        assert_eq!(check_refusals(&d, l, (0, 2_000_000)).refusals.refused, 1);
    }
}
