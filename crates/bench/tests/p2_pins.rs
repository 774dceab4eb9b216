//! P2: an adapter in use is never evicted.

mod support;

use std::time::Duration;

use futures::future::join;
use support::*;
use yuccabench::plan::EnginePlan;

/// A fleet with more adapters than slots, so that hosts evict all the time.
fn crowded_plan(f: impl Fn(&mut EnginePlan)) -> FleetPlan {
    FleetPlan::new(3).adapters(24).each_engine(|e| e.slots = 2).each_engine(f)
}

fn unloads(e: &Evidence) -> usize {
    e.engines.values().flatten().filter(|e| e.kind == "unload" && e.resident).count()
}

async fn churn(d: &Driver, t: &[TargetHost], span: Duration) -> Vec<Outcome> {
    run_load(d, 10, span, |i| {
        let a = CompletionRequest {
            deadline: Duration::from_secs(20),
            ..request(&adapter_name(i * 7 % 24), "1", 30)
        };
        (t[i % t.len()].clone(), a)
    })
    .await
}

cases! {
    // Guards against evictions that ignore a pin of another host.
    evictions_spare_adapters_in_use_on_fenced_engines: {
        let (f, d, t) = fleet(crowded_plan(|e| e.fencing = true)).await?;
        let out = churn(&d, &t, Duration::from_secs(6)).await;
        assert!(served(&out) > 20, "{} of {} served", served(&out), out.len());
        let e = assert_no_violations(&f, &d).await?;
        assert!(unloads(&e) > 0, "nothing was evicted, so the test is void");
    }
    // Guards against the same on engines that do not check fencing tokens.
    evictions_spare_adapters_in_use_without_fencing: {
        let (f, d, t) = fleet(crowded_plan(|e| e.fencing = false)).await?;
        let out = churn(&d, &t, Duration::from_secs(6)).await;
        assert!(served(&out) > 20, "{} of {} served", served(&out), out.len());
        let e = assert_no_violations(&f, &d).await?;
        assert!(unloads(&e) > 0, "nothing was evicted, so the test is void");
    }
    // Guards against a new lease holder that evicts what its predecessor had pinned.
    a_new_holder_spares_its_predecessors_pins: {
        let (mut f, d, t) = fleet(crowded_plan(|_| {})).await?;
        let long = CompletionRequest {
            deadline: Duration::from_secs(60),
            ..request("a0", "1", 4000)
        };
        let streams = futures::future::join_all([1, 2].map(|i| d.complete(&t[i], long.clone())));
        let fault = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            d.record_kill(&t[0].name);
            f.kill_host(&t[0].name).unwrap();
            let new = f.replace_host(&t[0].name).await.unwrap();
            f.wait_host_ready(&new, LONG_TIMEOUT).await.unwrap();
            let t = targets(&f);
            churn(&d, &t, Duration::from_secs(3)).await
        };
        let (out, _) = join(streams, fault).await;
        assert_all_served(&out);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a paused lease holder that acts on outdated state when it resumes.
    a_paused_holder_evicts_nothing_when_it_resumes: {
        let (f, d, t) = fleet(crowded_plan(|_| {})).await?;
        let work = churn(&d, &t[1..], Duration::from_secs(9));
        let fault = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            f.pause_host(&t[0].name).unwrap();
            tokio::time::sleep(Duration::from_secs(5)).await;
            f.resume_host(&t[0].name).unwrap();
        };
        join(work, fault).await;
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a lease holder that takes the pins of an unresponsive host as released.
    pins_of_a_paused_host_hold: {
        let (f, d, t) = fleet(crowded_plan(|e| (e.fencing, e.token_ms) = (false, 5))).await?;
        let long = CompletionRequest {
            deadline: Duration::from_secs(60),
            ..request("a0", "1", 1500)
        };
        let streams = futures::future::join_all((0..3).map(|_| d.complete(&t[0], long.clone())));
        let fault = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            f.pause_host(&t[0].name).unwrap();
            let out = churn(&d, &t[1..], Duration::from_secs(7)).await;
            f.resume_host(&t[0].name).unwrap();
            out
        };
        let (_, out) = join(streams, fault).await;
        assert!(served(&out) > 10, "{} of {} served", served(&out), out.len());
        assert_no_violations(&f, &d).await?;
    }
}
