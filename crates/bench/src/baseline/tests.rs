use std::time::Duration;

use yuccawing_core::rules::Class;

use super::{FleetSize, clairvoyant_loads, lru_stalls, split_refusals};
use crate::{checker::AccountLimits, client::Outcome, metrics::Sample, trace::Arrival};

/// Returns a request for `adapter` sent to `host` at `ms`; it reserves and uses 10 tokens.
fn sample(ms: u64, host: usize, adapter: usize) -> Sample {
    let arrival = Arrival {
        at: Duration::ZERO,
        account: 0,
        host,
        class: Class::Interactive,
        adapter,
        version: 0,
        prompt: 0,
        tokens: 9,
        max_tokens: 9,
        deadline: Duration::ZERO,
        plain: None,
    };
    let at = ms * 1000;
    let outcome = Outcome {
        sent_us: at,
        first_us: Some(at),
        end_us: at,
        status: Some(200),
        complete: true,
        ..Outcome::default()
    };
    Sample { arrival, host, prompt: 4, outcome }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a baseline that splits limits equally yet refuses nothing wrongfully under
    // skew.
    an_equal_split_refuses_wrongfully_under_skew: {
        let s: Vec<_> = (10..20).map(|i| sample(i * 1000, 0, 0)).collect();
        let l = AccountLimits { rate: 10, burst: 40 };
        let split = split_refusals(s.iter(), l, (0, 0), 4, |s| s.host);
        assert!(split.wrongful >= 7, "{split:?}");
        assert_eq!(split_refusals(s.iter(), l, (0, 0), 1, |s| s.host).refused, 0);
    }
    // Guards against a clairvoyant placement that is not a lower bound: LRU must need more loads.
    the_clairvoyant_loads_least: {
        let s: Vec<_> = (0..200).map(|i| sample(i * 100, 0, (i * i % 13) as usize)).collect();
        let size = FleetSize { engines: 2, slots: 3, rate: 1000, load_us: 250_000 };
        let (best, simple) = (clairvoyant_loads(&s, size, 0), lru_stalls(&s, size, 0));
        assert!(best >= 7 && simple.loads > best, "{best} {simple:?}");
        assert!(simple.p50_ms >= 250.0);
    }
}
