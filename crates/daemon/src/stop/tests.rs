use std::time::Duration;

use super::{Gate, Phase};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

cases! {
    // Guards against a process that ends before its last request.
    idle_waits_for_the_last_pass: {
        let gate = Gate::new();
        let (a, b) = (gate.enter().unwrap(), gate.enter().unwrap());
        let wait = |ms| tokio::time::timeout(Duration::from_millis(ms), gate.idle());
        drop(a);
        assert!(wait(20).await.is_err());
        drop(b);
        assert!(wait(20).await.is_ok());
    }
    // Guards against requests that begin after the last one was waited for.
    a_closed_gate_counts_nobody: {
        let gate = Gate::new();
        gate.advance(Phase::Leaving);
        assert!(gate.enter().is_some());
        gate.advance(Phase::Closed);
        assert!(gate.enter().is_none());
        gate.advance(Phase::Leaving);
        assert_eq!(gate.phase(), Phase::Closed);
        assert_eq!(gate.count(), 0);
    }
}
