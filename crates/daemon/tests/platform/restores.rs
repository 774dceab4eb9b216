//! Tests of a store that comes back from an older copy of itself.

use std::{thread, time::Duration};

use serde_json::json;
use yuccawing_platform_standin::{
    config::{self, Account},
    replica::Replica,
};

use crate::{
    APPLY_TIMEOUT,
    fleet::{Fleet, KEY, accounts, wait_until},
    run_count,
};

/// Time within which a host reads the store at least once, also while it learns of changes from a
/// peer.
const READ_TIME: Duration = Duration::from_millis(1300);

/// Changes that are lost in a restore, enough for the revision to stay below its old value for the
/// whole test.
const LOST_CHANGES: usize = 100;

/// Default of the setting `revoke_ms` of the hosts of these tests.
const REVOKE_TIME: Duration = Duration::from_millis(2000);

// One account with these keys.
fn keys(keys: &[&str]) -> Vec<Account> {
    let keys = keys.iter().map(|k| (*k).to_owned()).collect();
    vec![Account { keys, ..accounts()[0].clone() }]
}

fn put_config(f: &Fleet, version: u64, accounts: &[Account]) {
    f.store.put("op/config", &config::config(version, accounts));
}

// Raises the revision by writes to a key that hosts do not use.
fn raise_revision(f: &Fleet) {
    (0..LOST_CHANGES).for_each(|n| f.store.put("op/other", &json!(n)));
}

fn wait_status(f: &Fleet, host: usize, key: &str, status: u16) {
    let mut n = 0;
    wait_until(APPLY_TIMEOUT, &format!("host {host} does not answer {status} to {key}"), || {
        n += 1;
        let id = format!("w{host}-{key}-{status}-{n}");
        f.call(host, "/safe/1", &id, Some(key)).status == status
    });
}

fn reached(replicas: &[Replica], id: &str) -> bool {
    run_count(replicas, id) > 0
}

cases! {
    // Guards against changes that are skipped after a restore because their revision is below that
    // of a lost change.
    a_change_after_a_restore_is_in_force: {
        let f = Fleet::start(3, 1, 0);
        let copy = f.store.copy();
        raise_revision(&f);
        put_config(&f, 3, &keys(&[KEY, "lost"]));
        (0..3).for_each(|i| wait_status(&f, i, "lost", 200));
        f.store.restore(&copy);
        // The operator writes the lost version again, and the next one after it.
        put_config(&f, 3, &keys(&[KEY, "lost"]));
        thread::sleep(READ_TIME);
        put_config(&f, 5, &keys(&[KEY, "new"]));
        for i in 0..3 {
            wait_status(&f, i, "new", 200);
            wait_status(&f, i, "lost", 401);
        }
    }
    // Guards against a host that takes its outdated copy for current because the revisions are those
    // of the changes that were lost.
    equal_revisions_of_two_eras_are_not_the_same_copy: {
        let f = Fleet::start(3, 1, 0);
        let copy = f.store.copy();
        put_config(&f, 3, &keys(&[KEY, "lost"]));
        (0..3).for_each(|i| wait_status(&f, i, "lost", 200));
        f.store.restore(&copy);
        put_config(&f, 5, &keys(&[KEY, "new"]));
        (0..3).for_each(|i| wait_status(&f, i, "new", 200));
    }
    // Guards against an older version that is put into force because a restored store shows it.
    a_restore_does_not_undo_a_version: {
        let f = Fleet::start(2, 1, 0);
        let copy = f.store.copy();
        put_config(&f, 3, &keys(&["new"]));
        (0..2).for_each(|i| wait_status(&f, i, KEY, 401));
        f.store.restore(&copy);
        for n in 0..15 {
            for i in 0..2 {
                let id = format!("u{i}-{n}");
                assert_ne!(f.call(i, "/safe/1", &id, Some(KEY)).status, 200);
                assert!(!reached(&f.plain, &id), "a withdrawn key was accepted");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    // Guards against a started host that accepts a withdrawn key because the restored store still
    // lists it, although its peers have the later version in force.
    a_started_host_accepts_no_key_that_its_peers_have_dropped: {
        let mut f = Fleet::start(3, 1, 0);
        let copy = f.store.copy();
        put_config(&f, 3, &keys(&["new"]));
        (0..3).for_each(|i| wait_status(&f, i, KEY, 401));
        thread::sleep(REVOKE_TIME);
        drop(f.hosts.remove(2));
        f.store.restore(&copy);
        let host = f.spawn_host(2, 3);
        f.hosts.push(host);
        wait_until(Duration::from_secs(10), "the host does not listen", || f.ready(2) != 0);
        for n in 0..20 {
            let id = format!("k{n}");
            f.call(2, "/safe/1", &id, Some(KEY));
            assert!(!reached(&f.plain, &id), "a withdrawn key was accepted");
            thread::sleep(Duration::from_millis(100));
        }
        put_config(&f, 3, &keys(&["new"]));
        wait_status(&f, 2, "new", 200);
    }
    // Guards against requests for a replica that had said that it leaves, or whose entry had gone,
    // because a restored store lists it as ready.
    a_restore_does_not_bring_back_a_replica_that_left: {
        let f = Fleet::start(2, 3, 0);
        let copy = f.store.copy();
        f.plain[0].leave();
        f.plain[0].register(&f.store, f.plain[0].address);
        f.store.remove("servers/p1");
        thread::sleep(APPLY_TIMEOUT);
        f.store.restore(&copy);
        put_config(&f, 1, &accounts());
        for n in 0..25 {
            for i in 0..2 {
                let id = format!("l{i}-{n}");
                assert_eq!(f.call(i, "/safe/1", &id, Some(KEY)).status, 200);
                assert!(!reached(&f.plain[..2], &id), "{id} reached a replica that had left");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    // Guards against a replica that gets no requests because its entry was written in the span that
    // a restore has lost.
    a_replica_of_the_lost_span_stays_in_use: {
        let f = Fleet::start(2, 1, 0);
        f.store.remove("servers/p0");
        thread::sleep(APPLY_TIMEOUT);
        let copy = f.store.copy();
        f.plain[0].register(&f.store, f.plain[0].address);
        (0..2).for_each(|i| wait_status(&f, i, KEY, 200));
        f.store.restore(&copy);
        put_config(&f, 1, &accounts());
        for n in 0..13 {
            for i in 0..2 {
                let a = f.call(i, "/safe/1", &format!("s{i}-{n}"), Some(KEY));
                assert_eq!(a.status, 200, "{}", a.body);
            }
            thread::sleep(Duration::from_millis(100));
        }
        f.plain[0].register(&f.store, f.plain[0].address);
        thread::sleep(APPLY_TIMEOUT);
        (0..2).for_each(|i| wait_status(&f, i, KEY, 200));
    }
}
