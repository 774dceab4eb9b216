//! Tests of entries in the store that another program wrote.

use std::{thread, time::Duration};

use serde_json::json;
use yuccawing_platform_standin::config;

use crate::{
    APPLY_TIMEOUT,
    fleet::{Fleet, KEY, accounts, receive, request, send, wait_until},
};

/// Depth of nested values: far more than a recursive decoder has stack for.
const DEPTH: usize = 50_000;

// Entries of the plain service that name no replica, each with one odd value.
fn odd_entries() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let objects = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let good = [
        ("Service", format!("\"{}\"", config::PLAIN_SERVICE)),
        ("Address", "\"127.0.0.1:9\"".to_owned()),
        ("Zone", "\"a\"".to_owned()),
        ("Version", "\"v1\"".to_owned()),
        ("Slots", "6".to_owned()),
        ("State", "\"ready\"".to_owned()),
        ("born", "7".to_owned()),
    ];
    let odd = [
        ("Service", nested.clone()),
        ("Models", nested),
        ("Models", objects),
        ("Slots", "1e400".to_owned()),
        ("Slots", "99999999999999999999999".to_owned()),
        ("born", "1e30".to_owned()),
        ("RemainingMs", "1e999".to_owned()),
        ("Address", "\"127.0.0.1:99999\"".to_owned()),
        ("Address", "\"127.0.0.1:-1\"".to_owned()),
        ("Version", "2".to_owned()),
    ];
    let entry = |(name, value): &(&str, String)| {
        let rest = good.iter().filter(|(n, _)| n != name).map(|(n, v)| format!("\"{n}\":{v}"));
        let fields: Vec<_> = rest.chain([format!("\"{name}\":{value}")]).collect();
        format!("{{{}}}", fields.join(",")).into_bytes()
    };
    odd.iter().map(entry).collect()
}

// A copy of the entry of the first plain replica.
fn copied_entry(f: &Fleet) -> Vec<u8> {
    let entry = json!({
        "Service": config::PLAIN_SERVICE, "Address": f.plain[0].address.to_string(), "Zone": "a",
        "Version": "v1", "Slots": 64, "State": "ready", "born": 1,
    });
    entry.to_string().into_bytes()
}

cases! {
    // Guards against requests that end without an answer because the id of an entry, which goes into a
    // header of each request to the replica, is no header value. A replica whose requests all end at
    // once would look idle and be chosen again and again.
    an_entry_whose_id_is_no_header_value_names_no_replica: {
        let mut f = Fleet::start(2, 2, 0);
        for id in ["p0\n", "p0\r\nx: y", "p0 ", " p0", "p\u{7f}", "p\u{e4}", "p\u{0}", ""] {
            f.store.put_bytes(&format!("servers/{id}"), &copied_entry(&f));
        }
        thread::sleep(APPLY_TIMEOUT);
        let mut connections = [f.connect(0), f.connect(1)];
        for n in 0..60 {
            let path = if n % 4 < 2 { "/safe/1" } else { "/unsafe/1" };
            let r = f.call_on(&mut connections[n % 2], path, &format!("r{n}"), Some(KEY));
            assert_eq!((r.status, r.body), (200, format!("answer to r{n}")));
        }
        for h in &mut f.hosts {
            assert!(h.child.try_wait().unwrap().is_none(), "a host has ended");
        }
    }
    // Guards against a connection that is closed without an answer after a target that no replica
    // could be sent.
    odd_targets_are_answered: {
        let f = Fleet::start(1, 1, 0);
        for target in ["http://a.example?x=1", "?x=1", "*", "/safe/\u{e4}", "/safe/%", "//safe/1"] {
            let mut c = f.connect(0);
            let (_, headers) = request("/safe/1", "odd", Some(KEY));
            send(&mut c, "GET", target, &headers, b"").unwrap();
            let r = receive(&mut c).unwrap();
            assert!(r.status == 200 || (400..500).contains(&r.status), "{target}: {r:?}");
        }
        assert_eq!(f.call(0, "/safe/1", "next", Some(KEY)).status, 200);
    }
    // Guards against a process that ends, or stops following the list, because of one odd entry: very
    // deeply nested, with a number too large or with a port out of range.
    odd_entries_do_not_stop_the_list: {
        let mut f = Fleet::start(2, 2, 0);
        f.store.remove("servers/p1");
        thread::sleep(APPLY_TIMEOUT);
        for (i, bytes) in odd_entries().iter().enumerate() {
            f.store.put_bytes(&format!("servers/odd{i}"), bytes);
            f.store.put_bytes(&format!("op/version/odd{i}"), bytes);
        }
        f.store.put("op/config", &config::config(2, &accounts()));
        f.plain[1].register(&f.store, f.plain[1].address);
        f.store.remove("servers/p0");
        wait_until(Duration::from_secs(5), "a replica listed beside odd entries is not used", || {
            (0..8).all(|n| f.call(n % 2, "/safe/1", &format!("r{n}"), Some(KEY)).status == 200)
                && !f.plain[1].requests().is_empty()
        });
        for h in &mut f.hosts {
            assert!(h.child.try_wait().unwrap().is_none(), "a host has ended");
        }
    }
}
