use proptest::prelude::*;

use super::{Objective, Report, Sample, TextError, Window, report, window_limit};
use crate::rules::Objectives;

/// Metrics of a host with 100 x `n` requests and the given numbers of bad ones.
fn text(host: &str, n: u64, late: u64, refused: u64, stalls: u64) -> String {
    let all = n * 100;
    format!(
        "# host {host}\n# TYPE yuccawing_requests_total counter\n\
         yuccawing_requests_total{{account=\"a\",class=\"status\",outcome=\"ok\"}} {all}\n\
         yuccawing_refusals_total{{account=\"a\",reason=\"overloaded\"}} {refused}\n\
         yuccawing_refusals_total{{account=\"a\",reason=\"rate_limited\"}} {all}\n\
         yuccawing_load_stalls_total{{account=\"a\"}} {stalls}\n\
         yuccawing_first_token_seconds_bucket{{account=\"a\",le=\"0.25\"}} 0\n\
         yuccawing_first_token_seconds_bucket{{account=\"a\",le=\"0.49\"}} {}\n\
         yuccawing_first_token_seconds_bucket{{account=\"a\",le=\"+Inf\"}} {all}\n\
         yuccawing_first_token_seconds_count{{account=\"a\"}} {all}\nother_metric 7\n",
        all - late,
    )
}

fn sample(text: &str) -> Sample {
    Sample::read(text).unwrap()
}

fn over(windows: &[(u64, &str)], to: &str) -> Report {
    let window = |(seconds, t): &(u64, &str)| Window { seconds: *seconds, from: sample(t) };
    report(&Objectives::default(), windows.iter().map(window).collect(), &sample(to))
}

fn rate(r: &Report, objective: Objective, window: usize) -> f64 {
    let row = r.rows.iter().find(|r| r.objective == objective && r.account.is_some());
    row.unwrap().burns[window].rate
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a burn rate other than the share of bad requests divided by the allowed share,
    // which is 5% for first tokens and stalls and 0.01% for refusals.
    the_rate_is_relative_to_the_budget: {
        let r = over(&[(60, &text("h", 0, 0, 0, 0))], &text("h", 10, 100, 1, 25));
        assert!((rate(&r, Objective::FirstToken, 0) - 2.0).abs() < 1e-9);
        assert!((rate(&r, Objective::Refusal, 0) - 10.0).abs() < 1e-9);
        assert!((rate(&r, Objective::Stall, 0) - 0.5).abs() < 1e-9);
        assert!(!r.is_burning());
    }
    // Guards against counting requests from before the window, and against a wrong increase after a
    // restart reset the counters.
    only_growth_counts_also_over_a_restart: {
        let from = text("h", 1000, 0, 0, 0) + &text("i", 50, 0, 0, 0);
        let to = text("h", 10, 0, 0, 100) + &text("i", 60, 0, 0, 0);
        let r = over(&[(60, &from)], &to);
        let row = r.rows.iter().find(|r| r.objective == Objective::Stall).unwrap();
        assert_eq!((row.burns[0].count.bad, row.burns[0].count.total), (100.0, 2000.0));
    }
    // Guards against an alert for a fault that has ended, and against none for one that continues.
    a_long_window_alerts_only_with_the_short_one: {
        let (day, minute) = (text("h", 0, 0, 0, 0), text("h", 900, 0, 9000, 0));
        let over_now = over(&[(259_200, &day), (300, &minute)], &text("h", 1000, 0, 9000, 0));
        assert!(!over_now.is_burning());
        let going_on = over(&[(259_200, &day), (300, &minute)], &text("h", 1000, 0, 10_000, 0));
        assert!(going_on.is_burning());
        let idle_now = over(&[(259_200, &day), (300, &minute)], &minute);
        assert!(!idle_now.is_burning());
    }
    // Guards against an alert for a single bad request of a small account.
    few_bad_requests_raise_no_alert: {
        let r = over(&[(60, &text("h", 0, 0, 0, 0))], &text("h", 1, 0, 9, 0));
        assert!(rate(&r, Objective::Refusal, 0) > window_limit(60));
        assert!(!r.is_burning());
    }
    // Guards against silently ignoring the requests of a host that is missing in the newest sample.
    a_host_that_is_gone_is_named: {
        let r = over(&[(60, &(text("h", 1, 0, 0, 0) + &text("i", 1, 0, 0, 0)))], &text("h", 2, 0, 0, 0));
        assert_eq!(r.missing, ["i"]);
    }
    // Guards against a label value that ends the list of labels, and against skipping invalid
    // lines.
    labels_are_unescaped_and_bad_lines_reported: {
        let s = sample("yuccawing_load_stalls_total{account=\"a\\\"},b\\\\\",x=\"\",} 3 1700000\n");
        let series = s.hosts[""].keys().next().unwrap();
        assert_eq!(series.label("account").unwrap(), "a\"},b\\");
        let e = Sample::read("# x\nyuccawing_requests_total{account=\"a\" 3\n").unwrap_err();
        assert_eq!(e, TextError::Line(2));
        let e = Sample::read("yuccawing_requests_total NaN").unwrap_err();
        assert_eq!(e, TextError::Value(1));
    }
}

proptest! {
    // Guards against a panic on arbitrary text.
    #[test]
    fn any_text_is_read_without_panic(text in "(?s).{0,80}", line in "[a-z{}=\",\\\\ 0-9.]{0,60}") {
        let _ = Sample::read(&format!("yuccawing_{text}"));
        let _ = Sample::read(&format!("{text}\nyuccawing_{line}"));
    }
    // Guards against rates that are negative or not a number, for windows in any order.
    #[test]
    fn rates_are_finite(
        counts in prop::collection::vec((0..50u64, 0..100u64, 0..100u64, 0..100u64), 2..5),
    ) {
        let texts: Vec<_> =
            counts.iter().map(|(n, l, r, s)| text("h", *n, (*l).min(n * 100), *r, *s)).collect();
        let windows: Vec<_> =
            texts[1..].iter().enumerate().map(|(i, t)| (600 - i as u64, t.as_str())).collect();
        let r = over(&windows, &texts[0]);
        for b in r.rows.iter().flat_map(|r| &r.burns) {
            prop_assert!(b.rate.is_finite() && b.rate >= 0.0);
        }
    }
}
