//! P3: except on open routes, a request runs only for the account whose key it carries; no upstream
//! receives the key; a revoked key is refused within seconds.

mod support;

use std::time::Duration;

use support::*;
use yuccabench::plan::key_hash;

fn call(path: &str, key: Option<String>) -> PlainCall {
    PlainCall { mark: String::new(), key, path: path.into(), ticket: None }
}

cases! {
    // Guards against requests that run without a valid key.
    a_request_without_a_valid_key_does_not_run: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        for key in [None, Some("wrong".to_owned()), Some(String::new())] {
            for to in &t {
                let o = d.complete(to, CompletionRequest {
                    key: key.clone(), ..request("a0", "1", 4)
                }).await;
                assert_eq!((o.status, o.run), (Some(401), Some(Executed::NotRun)), "{o:?}");
                let o = d.call(to, call("/notes/1", key.clone()), true, false).await;
                assert_eq!((o.status, o.run), (Some(401), Some(Executed::NotRun)), "{o:?}");
            }
        }
        let e = assert_no_violations(&f, &d).await?;
        let ran = e.engines.values().chain(e.plain.values()).flatten();
        assert_eq!(ran.filter(|e| matches!(&*e.kind, "request" | "call")).count(), 0);
    }
    // Guards against an open route that requires a key or forwards it.
    an_open_route_needs_no_key_and_forwards_none: {
        let plan = FleetPlan::new(3).route("/open", |r| r.open = true);
        let (f, d, t) = fleet(plan).await?;
        for key in [None, Some(account_key("press"))] {
            assert_all_served(&[d.call(&t[0], call("/open/x", key), true, true).await]);
        }
        let e = assert_no_violations(&f, &d).await?;
        assert_eq!(e.plain["p0"].len(), 2);
    }
    // Guards against a key that reaches an upstream in a header or body.
    no_upstream_sees_a_key: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        for to in &t {
            assert_all_served(&[
                d.complete(to, request("a0", "1", 4)).await,
                d.call(to, call("/notes/1", Some(account_key("press"))), true, false).await,
            ]);
        }
        let e = assert_no_violations(&f, &d).await?;
        let seen = e.engines.values().chain(e.plain.values()).flatten();
        let auth = seen.filter(|e| e.headers.iter().any(|h| h == "authorization")).count();
        assert_eq!(auth, 0);
    }
    // Guards against a revoked key that still works for callers with open connections.
    a_revoked_key_stops_within_seconds: {
        let (mut f, d, t) = fleet(FleetPlan::new(3).account("other", 1_000_000, 1_000_000)).await?;
        let other = CompletionRequest { key: Some(account_key("other")), ..request("a0", "1", 4) };
        for to in &t {
            wait_served_at(&d, to, &other, LONG_TIMEOUT).await?;
        }
        f.publish(|r| r.accounts.get_mut("other").unwrap().keys.clear()).await?;
        d.record_key_revoked(&account_key("other"));
        // The checker allows 5 s from here, so the load lasts longer.
        let out = run_load(&d, 6, Duration::from_secs(8),
            |i| (t[i % 3].clone(), other.clone())).await;
        assert!(out.iter().any(|o| o.status == Some(401)));
        assert_no_violations(&f, &d).await?;
        assert_all_served(&[d.complete(&t[0], request("a0", "1", 4)).await]);
    }
    // Guards against the published hash being accepted as the key.
    the_hash_of_a_key_is_not_accepted_as_the_key: {
        let (f, d, t) = fleet(FleetPlan::new(3)).await?;
        let hash = key_hash(&account_key("press")).to_string();
        let o = d.complete(&t[0], CompletionRequest {
            key: Some(hash), ..request("a0", "1", 4)
        }).await;
        assert_eq!(o.status, Some(401));
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a key that was moved to another account and still uses the old one's
    // allowance.
    a_moved_key_uses_its_new_accounts_allowance: {
        let (mut f, d, t) = fleet(FleetPlan::new(3).account("tiny", 1, 30)).await?;
        let a = request("a0", "1", 16);
        for to in &t {
            wait_served_at(&d, to, &a, LONG_TIMEOUT).await?;
        }
        f.publish(|r| {
            let keys = std::mem::take(&mut r.accounts.get_mut("press").unwrap().keys);
            r.accounts.get_mut("tiny").unwrap().keys.extend(keys);
        }).await?;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let out = run_load(&d, 6, Duration::from_secs(3), |i| (t[i % 3].clone(), a.clone())).await;
        // A burst of 30 tokens is enough for one request of 16 and its prompt.
        assert!(served(&out) <= 1, "{} served", served(&out));
        assert!(out.iter().filter(|o| !o.is_ok()).all(|o| matches!(o.status, Some(429 | 413))));
    }
}
