use super::{EngineUpdates, REFRESH_DIGESTS};
use crate::fleet::{digest::EngineState, report::Resident};

fn engine(replica: u32, adapters: &[&str]) -> EngineState {
    let residents = adapters.iter().map(|a| Resident { artifact: (*a).into(), version: 1 });
    EngineState {
        replica,
        orderable: true,
        alive: true,
        loading: 0,
        residents: residents.collect(),
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against digests that always include all engines.
    an_unchanged_engine_is_sent_periodically: {
        let mut u = EngineUpdates::default();
        let sent = (1..=40).filter(|n| !u.due(*n, vec![engine(7, &["m/a1"])]).is_empty()).count();
        assert!(
            (40 / REFRESH_DIGESTS as usize..=40 / REFRESH_DIGESTS as usize + 2).contains(&sent),
            "{sent}"
        );
    }
    // Guards against a change that is missed because one datagram was lost.
    a_change_is_sent_twice: {
        let mut u = EngineUpdates::default();
        for n in 1..=8 {
            u.due(n, vec![engine(7, &["m/a1"])]);
        }
        let changed = vec![engine(7, &["m/a2"])];
        assert_eq!(u.due(9, changed.clone()), changed);
        assert_eq!(u.due(10, changed.clone()), changed);
    }
    // Guards against a new host that never learns of an engine that does not change.
    every_engine_is_sent_within_a_refresh: {
        let mut u = EngineUpdates::default();
        for n in 1..=10 {
            u.due(n, (0..9).map(|r| engine(r, &[])).collect());
        }
        let mut seen: Vec<_> = (11..11 + REFRESH_DIGESTS)
            .flat_map(|n| u.due(n, (0..9).map(|r| engine(r, &[])).collect()))
            .map(|e| e.replica)
            .collect();
        seen.sort_unstable();
        assert_eq!(seen, (0..9).collect::<Vec<_>>());
    }
}
