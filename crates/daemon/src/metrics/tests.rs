use std::time::Duration;

use yuccawing_core::rules::Class;

use super::{Metrics, RequestOutcome};
use crate::control::messages::ErrorCode;

const PAGE: &str = include_str!("../../../../docs/METRICS.md");

fn sample() -> Metrics {
    let m = Metrics::new();
    m.request("shop", Class::Status, RequestOutcome::Ok);
    m.first_token("shop", Duration::from_millis(30));
    m.status("shop", Duration::from_millis(30));
    m.refusal("shop", ErrorCode::RateLimited);
    m.load_wait("shop");
    m
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a documented list that lacks a metric or has one that does not exist.
    catalogue_matches_the_metrics: {
        let m = sample();
        let mut want = Vec::new();
        for f in m.registry.gather() {
            let labels: Vec<&str> = f.get_metric()[0].get_label().iter().map(|l| l.name()).collect();
            want.push(format!("`{}` | {} |", f.name(), labels.join(", ")));
        }
        let mut rows: Vec<String> = PAGE
            .lines()
            .filter(|l| l.starts_with("| `"))
            .map(|l| l.splitn(5, '|').skip(1).take(2).map(str::trim).collect::<Vec<_>>().join(" | ") + " |")
            .collect();
        rows.sort();
        assert_eq!(rows, want);
    }
    // Guards against a number of time series that grows with the number of adapters.
    no_metric_has_an_adapter_label: {
        assert!(!sample().render().contains("adapter"));
    }
    // Guards against counters that are missing from the text that a scraper reads.
    counters_are_rendered: {
        let text = sample().render();
        assert!(text.contains("yuccawing_refusals_total{account=\"shop\",reason=\"rate_limited\"} 1"));
        let line = "yuccawing_requests_total{account=\"shop\",class=\"status\",outcome=\"ok\"} 1";
        assert!(text.contains(line));
    }
}
