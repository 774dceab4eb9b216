//! P5: every caller receives the complete answer to its own request, even if answers arrive late or
//! mixed with those of other requests.

mod support;

use std::time::Duration;

use futures::future::{join, join_all};
use serde_json::json;
use support::*;

async fn assert_served_under(faults: serde_json::Value) -> Result<()> {
    let (f, d, t) = fleet(FleetPlan::new(3)).await?;
    for e in ["e0", "e1", "e2"] {
        f.set_faults(e, faults.clone()).await?;
    }
    let asks = (0..24).map(|i| d.complete(&t[i % 3], request(&adapter_name(i % 4), "1", 40)));
    let out = join_all(asks.collect::<Vec<_>>()).await;
    assert_all_served(&out);
    assert_no_violations(&f, &d).await?;
    Ok(())
}

cases! {
    // Guards against duplicate chunks that reach the caller.
    duplicate_chunks_are_dropped: { assert_served_under(json!({"duplicate": true})).await? }
    // Guards against chunks of another request that reach the caller.
    chunks_of_other_requests_are_rejected: { assert_served_under(json!({"cross": true})).await? }
    // Guards against answers that are truncated where a connection broke.
    a_broken_stream_is_resumed: { assert_served_under(json!({"cut_after": 15})).await? }
    // Guards against stream faults that are handled alone but not in combination.
    all_at_once: {
        assert_served_under(json!({"cut_after": 15, "cross": true, "duplicate": true})).await?
    }
    // Guards against an endless wait on a stream that stays open but sends nothing more.
    a_silent_stream_is_resumed_on_a_new_connection: {
        let plan = FleetPlan::new(3).each_engine(|e| e.token_ms = 20);
        let (f, d, t) = fleet(plan).await?;
        let streams = join_all((0..3).map(|i| d.complete(&t[i], request("a0", "1", 150))));
        let fault = async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            for e in ["e0", "e1", "e2"] {
                f.set_faults(e, json!({"silent": true})).await.unwrap();
            }
        };
        let (out, ()) = join(streams, fault).await;
        assert_all_served(&out);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against the same when the network is at fault: requests on old connections are lost.
    silent_connections_to_engines_are_replaced: {
        let (f, d, t) = fleet(FleetPlan::new(3).proxied()).await?;
        assert_all_served(&join_all(t.iter().map(|t| d.complete(t, request("a0", "1", 8)))).await);
        let hosts: Vec<_> = t.iter().map(|t| t.name.as_str()).collect();
        f.silence(&hosts, &["e0", "e1", "e2"])?;
        let out = join_all(t.iter().map(|t| d.complete(t, request("a0", "1", 8)))).await;
        assert_all_served(&out);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against an answer without streaming that is truncated.
    an_answer_that_is_not_streamed_is_complete: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        let a = CompletionRequest { stream: false, ..request("a2", "2", 30) };
        assert_all_served(&join_all(t.iter().map(|t| d.complete(t, a.clone()))).await);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a truncated answer of a plain service that is passed on as complete.
    a_broken_plain_answer_is_an_error: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        f.set_faults("p0", json!({"cut": true})).await?;
        let c = PlainCall {
            mark: String::new(),
            key: Some(account_key("press")),
            path: "/notes/1".into(),
            ticket: None,
        };
        for to in &t {
            let o = d.call(to, c.clone(), true, false).await;
            assert!(o.status != Some(200) && o.run.is_some(), "{o:?}");
            assert_ne!(o.run, Some(Executed::NotRun));
        }
        f.set_faults("p0", json!({"cut": false})).await?;
        assert_all_served(&[d.call(&t[0], c.clone(), true, false).await]);
        assert_no_violations(&f, &d).await?;
    }
}
