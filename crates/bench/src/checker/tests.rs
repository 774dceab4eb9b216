use proptest::prelude::*;

use super::{
    AccountLimits, CallRecord, CompletionRecord, Evidence, Guarantee, KeyRecord, TimeSpan,
    TokenGrant, largest_excess,
};
use crate::{
    client::{Executed, Outcome},
    fleet::JournalEntry,
};

fn largest_excess_naive(grants: &[TokenGrant], rate: u64, burst: u64) -> i128 {
    let mut largest = 0;
    for a in grants {
        for b in grants.iter().filter(|b| b.until_us >= a.from_us) {
            let inside =
                grants.iter().filter(|u| u.from_us >= a.from_us && u.until_us <= b.until_us);
            let sum: u64 = inside.map(|u| u.tokens).sum();
            let allowed = i128::from(burst) * 1_000_000
                + i128::from(b.until_us - a.from_us) * i128::from(rate);
            largest = largest.max(i128::from(sum) * 1_000_000 - allowed);
        }
    }
    largest
}

prop_compose! {
    fn a_grant()(
        from_us in 0..3_000_000u64, wait in 0..400_000u64, tokens in 1..50u64,
    ) -> TokenGrant {
        TokenGrant { from_us, until_us: from_us + wait, tokens }
    }
}

proptest! {
    // Guards against violations that the segment tree search misses or invents: compares it with a
    // search over all pairs of start and end.
    #[test]
    fn the_search_agrees_with_all_pairs(
        grants in prop::collection::vec(a_grant(), 0..40), rate in 0..100u64, burst in 0..200u64,
    ) {
        let over = largest_excess_naive(&grants, rate, burst);
        let found = largest_excess(&grants, rate, burst);
        prop_assert_eq!(found.is_some(), over > 0);
        if let Some(f) = found {
            let allowed = i128::from(burst) * 1_000_000
                + i128::from(f.until_us - f.from_us) * i128::from(rate);
            prop_assert_eq!(i128::from(f.tokens) * 1_000_000 - allowed, over);
        }
    }
}

/// One completion request and one call, both correct.
fn clean_evidence() -> Evidence {
    let outcome = Outcome {
        sent_us: 10_000_000,
        end_us: 11_000_000,
        status: Some(200),
        text: "a0:1#0 a0:1#1 ".into(),
        complete: true,
        ..Outcome::default()
    };
    let request = JournalEntry {
        at_us: 10_100_000,
        kind: "request".into(),
        request_id: Some("r".into()),
        instance: "a0:1".into(),
        prompt: "m1 hello".into(),
        ..JournalEntry::default()
    };
    let end = JournalEntry {
        at_us: 11_000_000,
        kind: "end".into(),
        tokens: 2,
        prompt_tokens: 2,
        ..request.clone()
    };
    let call = JournalEntry {
        at_us: 10_100_000,
        kind: "call".into(),
        body: "c1".into(),
        ..JournalEntry::default()
    };
    Evidence {
        asked: vec![CompletionRecord {
            mark: "m1".into(),
            host: "h0".into(),
            key: Some("secret".into()),
            adapter: "a0".into(),
            versions: vec!["1".into()],
            tokens: 2,
            outcome: outcome.clone(),
        }],
        called: vec![CallRecord {
            mark: "c1".into(),
            key: Some("secret".into()),
            outcomes: vec![outcome],
            ..CallRecord::default()
        }],
        engines: [("e0".to_owned(), vec![request, end])].into(),
        plain: [("p0".to_owned(), vec![call])].into(),
        keys: vec![KeyRecord {
            key: "secret".into(),
            account: "press".into(),
            from_us: 0,
            until_us: None,
        }],
        limits: [("press".to_owned(), AccountLimits { rate: 1, burst: 4 })].into(),
        ..Evidence::default()
    }
}

fn found(f: impl FnOnce(&mut Evidence)) -> Vec<Guarantee> {
    let mut e = clean_evidence();
    f(&mut e);
    e.check().into_iter().map(|v| v.guarantee).collect()
}

macro_rules! cases {
    ($($name:ident: $want:expr, $f:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(found($f), $want); })*
    };
}

// Guards against a checker that misses the violation or reports others with it.
cases! {
    a_clean_run_has_no_violation: [], |_| {};
    another_version_is_p1: [Guarantee::P1], |e| {
        e.asked[0].versions = vec!["2".into()];
        e.asked[0].outcome.status = None;
    };
    an_eviction_in_use_is_p2: [Guarantee::P2], |e| {
        let kind = "unload".into();
        e.engines.get_mut("e0").unwrap().push(JournalEntry {
            kind, in_use: true, ..JournalEntry::default()
        });
    };
    a_run_without_a_key_is_p3: [Guarantee::P3], |e| e.asked[0].key = None;
    a_run_long_after_a_revocation_is_p3: [Guarantee::P3; 2], |e| {
        e.keys[0].until_us = Some(1_000_000);
    };
    a_key_at_an_upstream_is_p3: [Guarantee::P3], |e| {
        e.plain.get_mut("p0").unwrap()[0].header_values = "x\nBearer secret".into();
    };
    more_than_rate_and_burst_is_p4: [Guarantee::P4], |e| {
        e.limits.insert("press".into(), AccountLimits { rate: 1, burst: 3 });
    };
    a_wrong_text_is_p5: [Guarantee::P5], |e| e.asked[0].outcome.text = "a0:1#0 a0:1#2 ".into();
    a_part_without_an_error_is_p5: [Guarantee::P5], |e| {
        e.asked[0].outcome.text = "a0:1#0 ".into();
        e.asked[0].outcome.complete = false;
    };
    a_false_not_run_is_p6: [Guarantee::P6], |e| {
        let o = &mut e.asked[0].outcome;
        (o.status, o.complete, o.run) = (Some(503), false, Some(Executed::NotRun));
    };
    two_runs_of_a_call_are_p7: [Guarantee::P7], |e| {
        let j = e.plain.get_mut("p0").unwrap();
        j.push(j[0].clone());
    };
    work_for_a_leaving_upstream_is_p8: [Guarantee::P8], |e| {
        e.leaving.push(("e0".into(), TimeSpan { from_us: 1_000_000, until_us: None }));
    };
    a_request_cut_off_by_a_shutdown_is_p9: [Guarantee::P9], |e| {
        e.stopped.push(("h0".into(), 10_500_000));
        let o = &mut e.asked[0].outcome;
        (o.complete, o.run) = (false, Some(Executed::Ran));
    };
    a_refused_key_that_is_in_force_is_p10: [Guarantee::P10], |e| {
        e.engines.clear();
        let o = &mut e.asked[0].outcome;
        (o.status, o.complete, o.run) = (Some(401), false, Some(Executed::NotRun));
    };
}
