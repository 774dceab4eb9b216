//! P6: a request that was refused with `not_run` was not executed.

mod support;

use std::time::Duration;

use futures::future::join;
use serde_json::json;
use support::*;

fn refused(out: &[Outcome]) -> usize {
    out.iter().filter(|o| o.run == Some(Executed::NotRun)).count()
}

cases! {
    // Guards against requests that were refused for lack of capacity and still run.
    refusals_under_overload_are_true: {
        let plan = FleetPlan::new(3).each_engine(|e| {
            (e.batch, e.token_ms) = (2, 10);
        });
        let (f, d, t) = fleet(plan).await?;
        let out = run_load(&d, 60, Duration::from_secs(6), |i| {
            let a = request(&adapter_name(i % 4), "1", 60);
            (t[i % 3].clone(), CompletionRequest { deadline: Duration::from_secs(2), ..a })
        }).await;
        assert!(refused(&out) > 0 && served(&out) > 0, "{} {}", refused(&out), served(&out));
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a rate limit that is checked after the request was sent to an engine.
    refusals_for_a_limit_are_true: {
        let (f, d, t) = fleet(FleetPlan::new(3).account("small", 100, 100)).await?;
        let a = CompletionRequest { key: Some(account_key("small")), ..request("a0", "1", 20) };
        let out = run_load(&d, 9, Duration::from_secs(4), |i| (t[i % 3].clone(), a.clone())).await;
        assert!(refused(&out) > 0);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a refusal after a failed load while another engine already runs the request.
    refusals_after_failed_loads_are_true: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        for e in ["e0", "e1", "e2"] {
            f.set_faults(e, json!({"load_fail_ppm": 700_000})).await?;
        }
        let out = run_load(&d, 8, Duration::from_secs(6), |i| {
            let a = CompletionRequest {
                deadline: Duration::from_secs(2),
                ..request(&adapter_name(i % 4), "1", 8)
            };
            (t[i % 3].clone(), a)
        }).await;
        assert!(!out.is_empty());
        assert_no_violations(&f, &d).await?;
    }
    // Guards against `not_run` for a request whose connection broke after it was sent.
    refusals_while_links_to_engines_break_are_true: {
        let (f, d, t) = fleet(FleetPlan::new(3).proxied()).await?;
        let hosts: Vec<_> = t.iter().map(|t| t.name.as_str()).collect();
        let work = run_load(&d, 12, Duration::from_secs(8), |i| {
            let a = CompletionRequest {
                deadline: Duration::from_secs(4),
                ..request(&adapter_name(i % 4), "1", 30)
            };
            (t[i % 3].clone(), a)
        });
        let fault = async {
            for _ in 0..4 {
                tokio::time::sleep(Duration::from_millis(1200)).await;
                f.update_links(&hosts, &["e0", "e1", "e2"], |l| l.cut = true).unwrap();
                tokio::time::sleep(Duration::from_millis(600)).await;
                f.update_links(&hosts, &["e0", "e1", "e2"], |l| l.cut = false).unwrap();
            }
        };
        let (out, ()) = join(work, fault).await;
        assert!(served(&out) > 0);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a resumed host that refuses with `not_run` what it sent before its pause.
    refusals_of_a_paused_host_are_true: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        let work = run_load(&d, 12, Duration::from_secs(9), |i| {
            let a = CompletionRequest {
                deadline: Duration::from_secs(3),
                ..request(&adapter_name(i % 4), "1", 60)
            };
            (t[0].clone(), a)
        });
        let fault = async {
            for _ in 0..2 {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                f.pause_host(&t[0].name).unwrap();
                tokio::time::sleep(Duration::from_millis(3500)).await;
                f.resume_host(&t[0].name).unwrap();
            }
        };
        let (out, ()) = join(work, fault).await;
        assert!(served(&out) > 0);
        assert_no_violations(&f, &d).await?;
    }
}
