//! P10: an accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use support::*;
use yuccabench::plan::key_hash;

/// "Within seconds" of P10.
const EFFECT_LIMIT: Duration = Duration::from_secs(5);

fn request_with_key(key: &str) -> CompletionRequest {
    CompletionRequest { key: Some(key.into()), ..request("a0", "1", 4) }
}

/// Publishes a new key of the account and waits until all hosts accept it; fails after `within`.
async fn add_key(f: &mut Fleet, d: &Driver, new: &str, within: Duration) -> Result<()> {
    let hash = key_hash(new);
    f.publish(|r| r.accounts.get_mut("press").unwrap().keys.push(hash)).await?;
    d.record_key_added(new, "press");
    let (all, a) = (targets(f), request_with_key(new));
    let wait = all.iter().map(|t| wait_served_at(d, t, &a, within)).collect::<Vec<_>>();
    join_all(wait).await.into_iter().collect()
}

cases! {
    // Guards against versions that reach only the hosts that watch the configuration service.
    a_new_version_is_in_force_everywhere_within_seconds: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        assert_all_served(&join_all(
            t.iter().map(|t| d.complete(t, request_with_key(&account_key("press")))),
        ).await);
        for i in 0..3 {
            add_key(&mut f, &d, &format!("new-{i}"), EFFECT_LIMIT).await?;
        }
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a revert to an older version when the configuration service serves one.
    a_stale_service_does_not_revert_a_version: {
        let (mut f, d, _) = fleet(FleetPlan::new(3)).await?;
        let old = f.rules.render(f.version);
        add_key(&mut f, &d, "new", EFFECT_LIMIT).await?;
        f.publish_rendered(&old).await?;
        let t = targets(&f);
        let out = run_load(&d, 6, Duration::from_secs(7),
            |i| (t[i % 3].clone(), request_with_key("new"))).await;
        assert_all_served(&out);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a restarted host that starts with the version of a stale configuration
    // service.
    a_restarted_host_takes_the_version_of_its_peers: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        let old = f.rules.render(f.version);
        add_key(&mut f, &d, "new", EFFECT_LIMIT).await?;
        f.publish_rendered(&old).await?;
        d.record_kill(&t[0].name);
        let new = f.replace_host(&t[0].name).await?;
        f.wait_host_ready(&new, LONG_TIMEOUT).await?;
        let to = TargetHost::from(f.host(&new)?);
        let out = run_load(&d, 2, Duration::from_secs(2),
            |_| (to.clone(), request_with_key("new"))).await;
        assert_all_served(&out);
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a host that cannot start without the configuration service although its peers
    // have the version.
    a_host_starts_from_its_peers_while_the_service_is_down: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        f.set_faults("config", json!({"down": true})).await?;
        d.record_kill(&t[2].name);
        let new = f.replace_host(&t[2].name).await?;
        f.wait_host_ready(&new, LONG_TIMEOUT).await?;
        let to = TargetHost::from(f.host(&new)?);
        wait_served_at(&d, &to, &request_with_key(&account_key("press")), LONG_TIMEOUT).await?;
        assert_no_violations(&f, &d).await?;
    }
    // Guards against hosts that stop serving while the configuration service is down, and against
    // hosts that miss the version published after the outage.
    service_outages_do_not_stop_traffic: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        f.set_faults("config", json!({"down": true})).await?;
        let make = |i: usize| (t[i % 3].clone(), request_with_key(&account_key("press")));
        wait_served_at(&d, &t[0], &request_with_key(&account_key("press")), LONG_TIMEOUT).await?;
        assert_all_served(&run_load(&d, 4, Duration::from_secs(13), make).await);
        f.set_faults("config", json!({})).await?;
        add_key(&mut f, &d, "after", LONG_TIMEOUT).await?;
        assert_no_violations(&f, &d).await?;
    }
    // Guards against an invalid or altered version that is applied in part.
    an_altered_version_is_not_accepted: {
        let (mut f, d, t) = fleet(FleetPlan::new(3)).await?;
        let mut bad = f.rules.clone();
        bad.accounts.clear();
        let mut values = bad.render(f.version + 1);
        values.head.digest = "0".repeat(32).into();
        f.publish_rendered(&values).await?;
        let t2 = t.clone();
        let make = move |i: usize| (t2[i % 3].clone(), request_with_key(&account_key("press")));
        let out = run_load(&d, 6, Duration::from_secs(4), make).await;
        assert_all_served(&out);
        f.version += 1;
        add_key(&mut f, &d, "new", EFFECT_LIMIT).await?;
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a version that is delayed by a wait on a connection that stays silent.
    silent_connections_do_not_hold_up_a_version: {
        let (mut f, d, t) = fleet(FleetPlan::new(3).proxied()).await?;
        let hosts: Vec<_> = t.iter().map(|t| t.name.clone()).collect();
        let names: Vec<_> = hosts.iter().map(String::as_str).collect();
        for i in 0..2 {
            f.silence(&names, &["config"])?;
            f.silence(&["config"], &names)?;
            f.silence(&names, &names)?;
            // A watch on a silent connection ends at its own deadline, so the limit is longer here.
            add_key(&mut f, &d, &format!("new-{i}"), LONG_TIMEOUT).await?;
        }
        for to in &t {
            wait_served_at(&d, to, &request_with_key("new-1"), LONG_TIMEOUT).await?;
        }
    }
}
