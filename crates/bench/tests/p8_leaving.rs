//! P8: a leaving upstream receives no new work after a few seconds.

mod support;

use std::time::Duration;

use support::*;

cases! {
    // Guards against a leaving engine that still gets requests because the adapters are resident
    // there.
    a_leaving_engine_gets_no_new_requests: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        let make = |i: usize|
            (t[i % 3].clone(), request(&adapter_name(i % 4), ["1", "2"][i / 4 % 2], 8));
        assert_all_served(&run_load(&d, 8, Duration::from_secs(3), make).await);
        let journals = f.engine_journals().await?;
        let work = |e: &&String| journals[*e].iter().filter(|e| e.kind == "request").count();
        let busiest = journals.keys().max_by_key(work).unwrap().clone();
        assert!(work(&&busiest) > 0);
        d.record_leaving(&busiest, true);
        f.set_leaving(&busiest, true).await?;
        // The checker allows 5 s, so the load lasts longer.
        assert_all_served(&run_load(&d, 8, Duration::from_secs(9), make).await);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against the same for plain services.
    a_leaving_plain_service_gets_no_new_calls: {
        let mut plan = FleetPlan::new(3);
        let mut second = plan.plain[0].clone();
        second.name = "p1".into();
        plan.plain.push(second);
        let (mut f, d, t) = fleet(plan.route("/notes", |_| {})).await?;
        let c = PlainCall {
            mark: String::new(),
            key: Some(account_key("press")),
            path: "/notes/1".into(),
            ticket: None,
        };
        d.record_leaving("p0", true);
        f.set_leaving("p0", true).await?;
        let end = std::time::Instant::now() + Duration::from_secs(9);
        while std::time::Instant::now() < end {
            for to in &t {
                assert_all_served(&[d.call(to, c.clone(), true, false).await]);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_no_violations(&f, &d).await?;
    }
}
