//! P1: every request runs on the adapter and version it asked for.

mod support;

use std::time::Duration;

use futures::future::join;
use support::*;

cases! {
    // Guards against a mix-up of instances when adapters and versions are used side by side.
    answers_come_from_the_version_asked_for: {
        let (f, d, t) = fleet(Plan::new(3)).await?;
        let out = load(&d, 12, Duration::from_secs(3), |i| {
            let version = ["1", "2"][i / 4 % 2];
            (t[i % 3].clone(), ask(&adapter(i % 4), version, 12))
        }).await;
        all_served(&out);
        clean(&f, &d).await?;
    }
    // Guards against a request without a version that runs on another than the newest.
    no_version_means_the_newest: {
        let (f, d, t) = fleet(Plan::new(3)).await?;
        for to in &t {
            let a = Ask { version: None, ..ask("a1", "", 4) };
            all_served(&[d.ask(to, a).await]);
        }
        clean(&f, &d).await?;
    }
    // Guards against a view of residents that outlives a cold restart of the engine.
    a_cold_restart_does_not_change_versions: {
        let (f, d, t) = fleet(Plan::new(3)).await?;
        let work = load(&d, 8, Duration::from_secs(6), |i| {
            (t[i % 3].clone(), ask(&adapter(i % 4), ["1", "2"][i % 2], 20))
        });
        let fault = async {
            for e in ["e0", "e2", "e1"] {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                f.restart_engine(e).await.unwrap();
            }
        };
        let (out, ()) = join(work, fault).await;
        assert!(served(&out) > 20, "{} of {} served", served(&out), out.len());
        clean(&f, &d).await?;
        for to in &t {
            served_at(&d, to, &ask("a0", "2", 4), LONG).await?;
        }
        clean(&f, &d).await?;
    }
    // Guards against commands of a replaced host that load or unload under its successor's names.
    a_paused_and_replaced_host_does_not_change_versions: {
        let (mut f, d, t) = fleet(Plan::new(3).adapters(12)).await?;
        f.pause_host(&t[0].name)?;
        let (old, new) = f.supersede_host(&t[0].name).await?;
        f.host_ready(&new, LONG).await?;
        old.resume()?;
        let t = targets(&f);
        let out = load(&d, 8, Duration::from_secs(5), |i| {
            (t[i % 3].clone(), ask(&adapter(i % 12), ["1", "2"][i % 2], 10))
        }).await;
        assert!(served(&out) > 20, "{} of {} served", served(&out), out.len());
        clean(&f, &d).await?;
        drop(old);
    }
    // Guards against hosts that go on to use the old version for requests that name none.
    a_new_version_is_used_within_seconds: {
        let (mut f, d, t) = fleet(Plan::new(3)).await?;
        let a = Ask { version: None, ..ask("a1", "", 4) };
        all_served(&[d.ask(&t[0], a.clone()).await]);
        f.publish(|r| r.adapters.get_mut("a1").unwrap().versions.push("3".into())).await?;
        d.version_added("3");
        load(&d, 3, Duration::from_secs(5), |i| (t[i % 3].clone(), a.clone())).await;
        for to in &t {
            let o = d.ask(to, a.clone()).await;
            assert!(o.is_ok() && o.text.starts_with("a1:3#0 "), "{o:?}");
        }
        clean(&f, &d).await?;
    }
}
