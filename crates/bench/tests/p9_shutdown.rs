//! P9: a graceful shutdown cuts off no request.

mod support;

use std::time::Duration;

use futures::future::{join, join_all};
use support::*;

cases! {
    // Guards against a process that exits before its streams have ended.
    long_streams_end_before_the_process: {
        let (mut f, d, t) = fleet(FleetPlan::new(3).each_engine(|e| e.token_ms = 10)).await?;
        let name = t[0].name.clone();
        let streams = join_all((0..6)
            .map(|i| d.complete(&t[0], request(&adapter_name(i % 3), "1", 500))));
        let stop = async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            d.record_stop(&name);
            f.stop_host(&name).unwrap();
        };
        let (out, ()) = join(streams, stop).await;
        assert_all_served(&out);
        let status = f.wait_host_exit(&name, LONG_TIMEOUT).await?;
        assert!(status.success(), "{status}");
        assert_no_violations(&f, &d).await?;
    }
    // Guards against new requests that are cut off between SIGTERM and the exit.
    requests_after_the_signal_are_served_or_refused: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        let name = t[0].name.clone();
        let work = run_load(&d, 10, Duration::from_secs(8), |i| {
            (t[0].clone(), request(&adapter_name(i % 4), "1", 40))
        });
        let stop = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            d.record_stop(&name);
            f.stop_host(&name).unwrap();
            f.wait_host_exit(&name, LONG_TIMEOUT).await.unwrap()
        };
        let (out, status) = join(work, stop).await;
        assert!(status.success(), "{status}");
        assert!(served(&out) > 0);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against an address list that still contains a host that is shutting down.
    a_leaving_host_is_not_among_the_addresses: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        d.record_stop(&t[0].name);
        f.stop_host(&t[0].name)?;
        let gone = || async {
            let v: serde_json::Value = f.http.get(t[1].addr, "/v1/hosts").await.unwrap_or_default();
            let hosts = v["hosts"].as_array().cloned().unwrap_or_default();
            !hosts.is_empty() && hosts.iter().all(|h| h["name"] != t[0].name)
        };
        // Peers are notified at SIGTERM; the host itself accepts connections for the TTL and 1 s
        // more.
        eventually("the host to leave the address list", Duration::from_secs(2), gone).await?;
    }
}
