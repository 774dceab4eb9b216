//! Tests of load and unload orders that are late or that a host does not know of.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use yuccawing_platform_standin::replica::{Fault, RecordedOrder, Replica};

use crate::{
    call_stream,
    fleet::{Fleet, KEY, wait_until},
};

/// Delay of an order; meanwhile all adapter slots are filled with other adapters.
const ORDER_DELAY_MS: u64 = 4000;

fn wait_on_way(e: &Replica, count: usize) {
    wait_until(Duration::from_secs(10), "the number of late orders does not change", || {
        e.late_orders() == count
    });
}

cases! {
    // Guards against an order that arrives after its timeout, when other adapters fill the slots:
    // the engine would load one adapter too many, which crashes it.
    a_late_load_order_does_not_exceed_the_slots: {
        let f = Arc::new(Fleet::start(1, 0, 1));
        let e = &f.engines[0];
        assert_eq!(call_stream(&f, 0, "/stream/0", "first").status, 200);
        e.set_fault(Fault::LateOrders(ORDER_DELAY_MS));
        let delayed = {
            let f = f.clone();
            thread::spawn(move || call_stream(&f, 0, "/stream/1", "delayed").status)
        };
        wait_on_way(e, 1);
        e.set_fault(Fault::None);
        assert_eq!(delayed.join().unwrap(), 200);
        for n in 2..e.spec.adapter_slots + 2 {
            assert_eq!(call_stream(&f, 0, &format!("/stream/{n}"), &format!("r{n}")).status, 200);
        }
        assert!(!e.adapters().iter().any(|a| a.starts_with("1@")), "{:?}", e.adapters());
        wait_on_way(e, 0);
        assert_eq!(e.over_capacity(), None);
    }
    // Guards against a restarted host that reads a report from before the last orders of its previous
    // process: after a rejected order it must not repeat it on the strength of the same report.
    an_order_that_a_stale_report_suggests_is_not_forced: {
        let mut f = Fleet::start(2, 0, 1);
        let e = f.engines[0].clone();
        let slots = e.spec.adapter_slots;
        for n in 0..slots - 1 {
            assert_eq!(call_stream(&f, 0, &format!("/stream/{n}"), &format!("r{n}")).status, 200);
        }
        // Until the other host is old enough to know all orders, and has read a report.
        thread::sleep(Duration::from_secs(5));
        e.set_fault(Fault::StaleReports);
        assert_eq!(call_stream(&f, 0, "/stream/last", "last").status, 200);
        let holder = e.orders().last().unwrap().body["Holder"].as_str().unwrap().to_owned();
        let owner = usize::from(holder == "h1");
        f.hosts[owner].child.kill().unwrap();
        f.hosts[owner].child.wait().unwrap();
        f.hosts[owner] = f.spawn_host(owner, 2);
        let restarted = Instant::now();
        f.wait_ready();
        let tries = || e.orders().iter().filter(|o: &&RecordedOrder| o.at > restarted).count();
        wait_until(Duration::from_secs(15), "the restarted host sends no order", || {
            f.try_call(0, "/stream/beyond", "beyond", Some(KEY));
            tries() >= 3 || e.over_capacity().is_some()
        });
        assert_eq!(e.over_capacity(), None);
        e.set_fault(Fault::None);
        assert_eq!(call_stream(&f, 0, "/stream/beyond", "after").status, 200);
        assert_eq!(e.over_capacity(), None);
    }
}
