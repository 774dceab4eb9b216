use std::time::Duration;

use super::{Phase, RequestTracker};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

cases! {
    // Guards against a process that exits while a request is in progress.
    wait_idle_waits_for_the_last_request: {
        let tracker = RequestTracker::new();
        let (a, b) = (tracker.track().unwrap(), tracker.track().unwrap());
        let wait = |ms| tokio::time::timeout(Duration::from_millis(ms), tracker.wait_idle());
        drop(a);
        assert!(wait(20).await.is_err());
        drop(b);
        assert!(wait(20).await.is_ok());
    }
    // Guards against requests that are accepted after the wait for the last one has ended.
    closed_tracker_refuses_requests: {
        let tracker = RequestTracker::new();
        tracker.advance(Phase::Leaving);
        assert!(tracker.track().is_some());
        tracker.advance(Phase::Closed);
        assert!(tracker.track().is_none());
        tracker.advance(Phase::Leaving);
        assert_eq!(tracker.phase(), Phase::Closed);
        assert_eq!(tracker.count(), 0);
    }
}
