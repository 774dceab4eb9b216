//! P7: a request that is not idempotent runs at most once.

mod support;

use futures::future::{join, join_all};
use serde_json::json;
use support::*;

fn once_call(ticket: Option<String>) -> PlainCall {
    PlainCall {
        mark: String::new(),
        key: Some(account_key("press")),
        path: "/once/1".into(),
        ticket,
    }
}

async fn start() -> Result<(Fleet, Driver, Vec<TargetHost>)> {
    fleet(FleetPlan::new(3).route("/once", |r| r.idempotent = false)).await
}

cases! {
    // Guards against calls that run without a ticket.
    a_call_needs_a_ticket: {
        let (f, d, t) = start().await?;
        let o = d.call(&t[0], once_call(None), false, false).await;
        assert_eq!((o.status, o.run), (Some(428), Some(Executed::NotRun)), "{o:?}");
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        assert_all_served(&[d.call(&t[0], once_call(Some(ticket)), false, false).await]);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a second run when the caller retries after a lost answer.
    a_call_whose_answer_breaks_is_not_repeated: {
        let (f, d, t) = start().await?;
        f.set_faults("p0", json!({"cut": true})).await?;
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        let out = d.call_each(&[&t[0], &t[0], &t[0]], once_call(Some(ticket)), false, false).await;
        assert!(out.iter().all(|o| !o.is_ok() && o.run != Some(Executed::NotRun)), "{out:?}");
        let e = assert_no_violations(&f, &d).await?;
        assert_eq!(e.plain["p0"].len(), 1);
    }
    // Guards against a ticket that a host accepts without having issued it.
    a_ticket_is_valid_at_its_own_host_only: {
        let (f, d, t) = start().await?;
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        let out = d.call_each(&[&t[1], &t[0], &t[2]], once_call(Some(ticket)), false, false).await;
        assert!(!out[0].is_ok() && !out[2].is_ok(), "{out:?}");
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a ticket that concurrent calls spend more than once.
    a_ticket_is_spent_once_under_concurrency: {
        let (f, d, t) = start().await?;
        f.set_faults("p0", json!({"delay_ms": 50})).await?;
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        let calls = (0..8).map(|_| d.call(&t[0], once_call(Some(ticket.clone())), false, false));
        let out = join_all(calls).await;
        assert_eq!(served(&out), 1, "{out:?}");
        let e = assert_no_violations(&f, &d).await?;
        assert_eq!(e.plain["p0"].len(), 1);
    }
    // Guards against a replacement host that accepts tickets of its predecessor.
    a_ticket_ends_with_its_process: {
        let (mut f, d, t) = start().await?;
        let old = t[0].name.clone();
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        d.record_kill(&old);
        f.kill_host(&old)?;
        let new = f.replace_host(&old).await?;
        f.wait_host_ready(&new, LONG_TIMEOUT).await?;
        let to = TargetHost::from(f.host(&new)?);
        let o = d.call(&to, once_call(Some(ticket)), false, false).await;
        assert!(!o.is_ok(), "{o:?}");
        let e = assert_no_violations(&f, &d).await?;
        assert_eq!(e.plain["p0"].len(), 0);
    }
    // Guards against a second run when the host is killed between the run and the answer.
    a_call_is_not_repeated_when_its_host_dies: {
        let (mut f, d, t) = start().await?;
        f.set_faults("p0", json!({"delay_ms": 1000})).await?;
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        let to = [&t[0], &t[1], &t[2]];
        let call = d.call_each(&to, once_call(Some(ticket)), false, false);
        let (name, fleet) = (t[0].name.clone(), &mut f);
        let fault = async {
            tokio::time::sleep(std::time::Duration::from_millis(500)).await;
            d.record_kill(&name);
            fleet.kill_host(&name).unwrap();
        };
        let (out, ()) = join(call, fault).await;
        assert!(out.iter().all(|o| !o.is_ok()), "{out:?}");
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a second run on another connection when the link breaks during the call.
    a_call_whose_link_breaks_is_not_repeated: {
        let plan = FleetPlan::new(3).route("/once", |r| r.idempotent = false).proxied();
        let (f, d, t) = fleet(plan).await?;
        f.set_faults("p0", json!({"delay_ms": 4000})).await?;
        let hosts: Vec<_> = t.iter().map(|t| t.name.as_str()).collect();
        let ticket = f.http.ticket(t[0].addr, &account_key("press")).await?;
        let to = [&t[0], &t[0]];
        let call = d.call_each(&to, once_call(Some(ticket)), false, false);
        let fault = async {
            let runs = || async { f.journal("p0").await.is_ok_and(|j| !j.is_empty()) };
            eventually("the call to run", LONG_TIMEOUT, runs).await.unwrap();
            f.update_links(&hosts, &["p0"], |l| l.cut = true).unwrap();
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            f.update_links(&hosts, &["p0"], |l| l.cut = false).unwrap();
        };
        let (out, ()) = join(call, fault).await;
        assert!(out.iter().all(|o| !o.is_ok() && o.run != Some(Executed::NotRun)), "{out:?}");
        let e = assert_no_violations(&f, &d).await?;
        assert_eq!(e.plain["p0"].len(), 1);
    }
}
