//! Tests of listings of the store that fill many pages. The stand-in puts 50 items on a page.

use std::time::Duration;

use serde_json::json;
use yuccawing_platform_standin::config::{self, Account};

use crate::{
    APPLY_TIMEOUT, MAX_MEMORY_MB,
    fleet::{Fleet, KEY, wait_until},
};

/// Adapters of the design size.
const ADAPTERS: usize = 24_000;

/// Time within which a declared version of an adapter must be known, by the platform's data sheet.
const VERSION_TIMEOUT: Duration = Duration::from_secs(5);

fn declare(f: &Fleet, from: usize, to: usize) {
    for n in from..to {
        let (key, value) = config::version_entry(&format!("a{n:05}"), 2);
        f.store.put(&key, &value);
    }
}

// Whether host `i` has logged that it knows the version of the adapter.
fn knows(f: &Fleet, i: usize, adapter: usize) -> bool {
    let name = format!("{}/a{adapter:05}", config::MODEL);
    f.log_lines(i).iter().any(|l| l["event"] == 506 && l["adapter"] == *name)
}

cases! {
    // Guards against hosts that apply no configuration any more, and refuse all keys, because the
    // versions of many adapters are declared beside it.
    a_configuration_is_applied_beside_many_versions: {
        let f = Fleet::start(2, 1, 0);
        declare(&f, 0, ADAPTERS);
        std::thread::sleep(Duration::from_secs(4));
        assert_eq!(f.call(0, "/safe/1", "k1", Some(KEY)).status, 200);
        let other = Account { name: "one".into(), keys: vec!["next".into()], rate: 0 };
        f.store.put("op/config", &config::config(2, &[other]));
        wait_until(APPLY_TIMEOUT, "the key still works", || {
            (0..2).all(|host| f.call(host, "/safe/1", "k2", Some(KEY)).status == 401)
        });
        for host in 0..2 {
            assert_eq!(f.call(host, "/safe/1", "k3", Some("next")).status, 200);
            let peak = f.peak_memory_mb(host);
            assert!(peak < MAX_MEMORY_MB, "{peak} MB");
        }
    }
    // Guards against versions that hosts never learn of because they are listed on a late page, or
    // because another host has listed them.
    versions_on_late_pages_are_known: {
        let f = Fleet::start(3, 1, 0);
        declare(&f, 0, 2000);
        wait_until(VERSION_TIMEOUT * 2, "the first versions are unknown", || {
            (0..3).all(|host| knows(&f, host, 1999))
        });
        declare(&f, 2000, 2001);
        wait_until(VERSION_TIMEOUT, "a version on the last page is unknown", || {
            (0..3).all(|host| knows(&f, host, 2000))
        });
    }
    // Guards against hosts that notice no change of the replicas because many are listed.
    replicas_on_late_pages_are_known: {
        let f = Fleet::start(2, 2, 0);
        let dead = json!({
            "Service": "other", "Address": "127.0.0.1:9", "Zone": "a", "Version": "v1", "Slots": 6,
            "State": "ready", "born": 1,
        });
        for n in 0..1200 {
            f.store.put(&format!("servers/a{n:04}"), &dead);
        }
        std::thread::sleep(APPLY_TIMEOUT);
        f.store.remove("servers/p0");
        std::thread::sleep(APPLY_TIMEOUT);
        let before = f.plain[0].requests().len();
        for n in 0..20 {
            let a = f.call(n % 2, "/safe/1", &format!("r{n}"), Some(KEY));
            assert_eq!(a.status, 200);
        }
        assert_eq!(f.plain[0].requests().len(), before, "a replica without an entry is used");
    }
}
