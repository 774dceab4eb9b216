//! P1: every request runs on the adapter and version it asked for.

mod support;

use std::time::Duration;

use futures::future::join;
use support::*;

cases! {
    // Guards against answers of another instance when adapters and versions are used concurrently.
    answers_come_from_the_version_asked_for: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        let out = run_load(&d, 12, Duration::from_secs(3), |i| {
            let version = ["1", "2"][i / 4 % 2];
            (t[i % 3].clone(), request(&adapter_name(i % 4), version, 12))
        }).await;
        assert_all_served(&out);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a request without a version that runs on a version other than the newest.
    no_version_means_the_newest: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        for to in &t {
            let a = CompletionRequest { version: None, ..request("a1", "", 4) };
            assert_all_served(&[d.complete(to, a).await]);
        }
        assert_no_violations(&f, &d).await?;
    }
    // Guards against hosts that still count on the adapters that an engine had before a cold
    // restart.
    a_cold_restart_does_not_change_versions: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        let work = run_load(&d, 8, Duration::from_secs(6), |i| {
            (t[i % 3].clone(), request(&adapter_name(i % 4), ["1", "2"][i % 2], 20))
        });
        let fault = async {
            for e in ["e0", "e2", "e1"] {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                f.restart_engine(e).await.unwrap();
            }
        };
        let (out, ()) = join(work, fault).await;
        assert!(served(&out) > 20, "{} of {} served", served(&out), out.len());
        assert_no_violations(&f, &d).await?;
        for to in &t {
            wait_served_at(&d, to, &request("a0", "2", 4), LONG_TIMEOUT).await?;
        }
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a replaced host whose load and unload commands affect its successor's
    // instances.
    a_paused_and_replaced_host_does_not_change_versions: {
        let (mut f, d, t) = fleet(FleetPlan::new(3).adapters(12)).await?;
        f.pause_host(&t[0].name)?;
        let (old, new) = f.supersede_host(&t[0].name).await?;
        f.wait_host_ready(&new, LONG_TIMEOUT).await?;
        old.resume()?;
        let t = targets(&f);
        let out = run_load(&d, 8, Duration::from_secs(5), |i| {
            (t[i % 3].clone(), request(&adapter_name(i % 12), ["1", "2"][i % 2], 10))
        }).await;
        assert!(served(&out) > 20, "{} of {} served", served(&out), out.len());
        assert_no_violations(&f, &d).await?;
        drop(old);
    }
    // Guards against hosts that keep using the old version for requests that name none.
    a_new_version_is_used_within_seconds: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        let a = CompletionRequest { version: None, ..request("a1", "", 4) };
        assert_all_served(&[d.complete(&t[0], a.clone()).await]);
        f.publish(|r| r.adapters.get_mut("a1").unwrap().versions.push("3".into())).await?;
        d.record_version("3");
        run_load(&d, 3, Duration::from_secs(5), |i| (t[i % 3].clone(), a.clone())).await;
        for to in &t {
            let o = d.complete(to, a.clone()).await;
            assert!(o.is_ok() && o.text.starts_with("a1:3#0 "), "{o:?}");
        }
        assert_no_violations(&f, &d).await?;
    }
}
