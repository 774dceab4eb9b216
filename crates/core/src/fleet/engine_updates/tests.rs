use super::{EngineUpdates, REFRESH};
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
    an_engine_that_stays_the_same_is_told_of_from_time_to_time: {
        let mut t = EngineUpdates::default();
        let told = (1..=40).filter(|n| !t.due(*n, vec![engine(7, &["m/a1"])]).is_empty()).count();
        assert!((40 / REFRESH as usize..=40 / REFRESH as usize + 2).contains(&told), "{told}");
    }
    // Guards against a change that is missed because one datagram was lost.
    a_change_is_told_of_twice: {
        let mut t = EngineUpdates::default();
        for n in 1..=8 {
            t.due(n, vec![engine(7, &["m/a1"])]);
        }
        let changed = vec![engine(7, &["m/a2"])];
        assert_eq!(t.due(9, changed.clone()), changed);
        assert_eq!(t.due(10, changed.clone()), changed);
    }
    // Guards against a new host that never learns of an engine that does not change.
    every_engine_is_told_of_within_a_round: {
        let mut t = EngineUpdates::default();
        for n in 1..=10 {
            t.due(n, (0..9).map(|r| engine(r, &[])).collect());
        }
        let mut heard: Vec<_> = (11..11 + REFRESH)
            .flat_map(|n| t.due(n, (0..9).map(|r| engine(r, &[])).collect()))
            .map(|e| e.replica)
            .collect();
        heard.sort_unstable();
        assert_eq!(heard, (0..9).collect::<Vec<_>>());
    }
}
