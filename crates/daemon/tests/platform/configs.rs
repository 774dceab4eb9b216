//! Tests of configurations that a host cannot understand, as a whole or in part.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use yuccawing_platform_standin::{
    config::{self, Account},
    store::Mode,
};

use crate::{
    fleet::{Fleet, KEY, accounts, wait_until},
    run_count,
};

/// Key that the newer configurations take away.
const GONE: &str = "key-gone";

/// Time after which a withdrawn key must not work, as the settings of the fleet state it, with a
/// margin for a request on the way.
const REVOKE_TIME: Duration = Duration::from_millis(2100);

fn two_accounts() -> Vec<Account> {
    let gone = Account { name: "two".into(), keys: vec![GONE.into()], rate: 0 };
    accounts().into_iter().chain([gone]).collect()
}

// Fleet in which both keys are in use.
fn fleet() -> Fleet {
    let f = Fleet::start(2, 2, 0);
    f.store.put("op/config", &config::config(2, &two_accounts()));
    wait_until(Duration::from_secs(5), "the configuration is not applied", || {
        (0..2).all(|i| f.call(i, "/safe/1", "first", Some(GONE)).status == 200)
    });
    f
}

// A newer configuration without [`GONE`], and with one more route below `/safe/`.
fn newer(change: impl FnOnce(&mut Value)) -> Value {
    let mut c = config::config(3, &accounts());
    let mut route = c["Routes"][0].clone();
    (route["Name"], route["Prefix"]) = (json!("batch"), json!("/safe/batch/"));
    change(&mut route);
    c["Routes"].as_array_mut().unwrap().push(route);
    c
}

cases! {
    // Guards against withdrawn keys that stay in use for good because the configuration that takes
    // them away cannot be decoded, while the reads of it renew the age of the one in force.
    an_unread_configuration_renews_nothing: {
        let f = fleet();
        let mut odd = newer(|_| ());
        odd["Version"] = json!("three");
        f.store.put("op/config", &odd);
        thread::sleep(REVOKE_TIME);
        for i in 0..2 {
            for key in [GONE, KEY, "key-of-the-unread-version"] {
                let id = format!("late-{i}-{key}");
                let r = f.call(i, "/safe/1", &id, Some(key));
                assert_eq!((r.status, run_count(&f.plain, &id)), (503, 0), "{id}: {r:?}");
            }
            assert!(f.log_lines(i).iter().any(|l| l["name"] == "ItemInvalid"));
        }
        // A later configuration that can be read ends it.
        f.store.put("op/config", &config::config(4, &accounts()));
        wait_until(Duration::from_secs(5), "keys are refused for good", || {
            (0..2).all(|i| f.call(i, "/safe/1", "again", Some(KEY)).status == 200)
        });
        assert_eq!(f.call(0, "/safe/1", "gone", Some(GONE)).status, 401);
    }
    // Guards against a withdrawn key that stays in use at a host that the store rejects, because the
    // digests of hosts that read it are delayed and their ages count from when they are handled.
    a_delayed_digest_does_not_renew_a_withdrawn_key: {
        let f = Fleet::start_linked(3, 2);
        f.store.put("op/config", &config::config(2, &two_accounts()));
        wait_until(Duration::from_secs(5), "the configuration is not applied", || {
            (0..3).all(|i| f.call(i, "/safe/1", "first", Some(GONE)).status == 200)
        });
        f.listeners[0].set_mode(Mode::Unavailable);
        f.links.as_ref().unwrap().delay(&[f.ip(0)], Duration::from_millis(1500));
        thread::sleep(Duration::from_secs(3));
        let withdrawn = Instant::now();
        f.store.put("op/config", &config::config(3, &accounts()));
        let mut late = 0;
        while withdrawn.elapsed() < REVOKE_TIME * 2 {
            let is_late = withdrawn.elapsed() > REVOKE_TIME;
            let id = format!("gone-{}", withdrawn.elapsed().as_millis());
            let r = f.call(0, "/safe/1", &id, Some(GONE));
            if is_late {
                late += 1;
                assert_eq!((r.status, run_count(&f.plain, &id)), (503, 0), "{id}: {r:?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
        assert!(late > 5, "{late} late requests");
        assert_eq!(f.call(1, "/safe/1", "kept", Some(KEY)).status, 200);
        // The host serves again once it can read the store.
        f.listeners[0].set_mode(Mode::Healthy);
        wait_until(Duration::from_secs(5), "keys are refused for good", || {
            f.call(0, "/safe/1", "again", Some(KEY)).status == 200
        });
    }
    // Guards against a configuration that the platform allows and that is not applied, since a rank
    // does not fit into the number that holds it.
    a_rank_of_any_size_is_applied: {
        let f = fleet();
        f.store.put("op/config", &newer(|r| r["Priority"] = json!(1000)));
        thread::sleep(REVOKE_TIME);
        for i in 0..2 {
            assert_eq!(f.call(i, "/safe/1", "gone", Some(GONE)).status, 401);
            assert_eq!(f.call(i, "/safe/batch/1", "batch", Some(KEY)).status, 200);
        }
    }
    // Guards against a withdrawn key that stays in use, and routes that are not served, because
    // another part of the configuration cannot be understood; and against requests of that part
    // that are run by another route.
    an_odd_part_does_not_hold_up_the_rest: {
        let f = fleet();
        f.store.put("op/config", &newer(|r| r["Kind"] = json!("odd")));
        thread::sleep(REVOKE_TIME);
        for i in 0..2 {
            assert_eq!(f.call(i, "/safe/1", "gone", Some(GONE)).status, 401);
            assert_eq!(f.call(i, "/safe/1", "kept", Some(KEY)).status, 200);
            let id = format!("batch-{i}");
            let r = f.call(i, "/safe/batch/1", &id, Some(KEY));
            assert_eq!((r.status, run_count(&f.plain, &id)), (503, 0), "{r:?}");
            assert!(f.log_lines(i).iter().any(|l| l["name"] == "ConfigPartClosed"));
        }
    }
    // Guards against an account that is served without its limit, or whose callers get a final refusal,
    // because its limit cannot be understood.
    an_odd_account_is_refused_for_now: {
        let f = fleet();
        let mut c = newer(|_| ());
        c["Tenants"].as_array_mut().unwrap().push(json!({
            "Name": "odd", "ApiKeys": ["key-odd"], "RatePerS": "much",
        }));
        f.store.put("op/config", &c);
        thread::sleep(REVOKE_TIME);
        let r = f.call(0, "/safe/1", "odd", Some("key-odd"));
        assert_eq!((r.status, run_count(&f.plain, "odd")), (503, 0), "{r:?}");
        assert_eq!(f.call(0, "/safe/1", "gone", Some(GONE)).status, 401);
        assert_eq!(f.call(0, "/safe/1", "kept", Some(KEY)).status, 200);
    }
}
