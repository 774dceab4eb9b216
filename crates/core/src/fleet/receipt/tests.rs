use std::{net::Ipv4Addr, time::Duration};

use super::{MAX_SENT, Receipt, SentDigests};
use crate::{
    fleet::{peers::Peers, sample},
    time::Tick,
};

const INCARNATION: u64 = 7;

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against an answer to an old digest that counts as old, although it was stamped long
    // after that digest had arrived.
    the_holding_time_counts: {
        let mut sent = SentDigests::new(INCARNATION);
        sent.record(3, at(0));
        let after = |held_ms| {
            sent.stamped_after(&Receipt { incarnation: INCARNATION, sequence: 3, held_ms })
        };
        assert_eq!(after(0), Some(at(0)));
        let held = after(1000).unwrap().since(at(0));
        // The clock of the peer may be fast.
        assert!(held < Duration::from_millis(1000) && held >= Duration::from_millis(990));
    }
    // Guards against a time of this process that is taken for the digest of an earlier one, whose
    // sequence numbers were the same.
    a_digest_of_an_earlier_process_bounds_nothing: {
        let mut sent = SentDigests::new(INCARNATION);
        sent.record(3, at(0));
        let receipt = |incarnation, sequence| Receipt { incarnation, sequence, held_ms: 0 };
        assert_eq!(sent.stamped_after(&receipt(INCARNATION - 1, 3)), None);
        assert_eq!(sent.stamped_after(&receipt(INCARNATION, 2)), None);
        assert_eq!(sent.stamped_after(&receipt(INCARNATION, 4)), None);
        assert_eq!(sent.stamped_after(&receipt(INCARNATION, 3)), Some(at(0)));
    }
    // Guards against memory that grows for as long as the process runs.
    the_record_is_bounded: {
        let mut sent = SentDigests::new(INCARNATION);
        (0..10_000).for_each(|n| sent.record(n, at(n)));
        assert_eq!(sent.sent.len(), MAX_SENT);
        let newest = Receipt { incarnation: INCARNATION, sequence: 9_999, held_ms: 0 };
        assert_eq!(sent.stamped_after(&newest), Some(at(9_999)));
        assert_eq!(sent.stamped_after(&Receipt { sequence: 10, ..newest }), None);
    }
    // Guards against a receipt for a digest that was overtaken by a later one, and against one for a
    // host that has sent none.
    a_peer_confirms_the_newest_digest: {
        let mut peers = Peers::new(ip(2), Vec::new(), at(0));
        assert_eq!(peers.receipt(at(0), ip(1)), None);
        peers.apply_digest(at(100), &sample::digest(ip(1), INCARNATION, 5));
        peers.apply_digest(at(150), &sample::digest(ip(1), INCARNATION, 4));
        let wanted = Receipt { incarnation: INCARNATION, sequence: 5, held_ms: 300 };
        assert_eq!(peers.receipt(at(400), ip(1)), Some(wanted));
        // A message that was stamped before the digest arrived.
        assert_eq!(peers.receipt(at(99), ip(1)), None);
    }
    // Guards against an age that is bounded by a digest of this host's former process, at peers that
    // have not heard of the new one.
    a_restarted_host_is_not_confirmed_by_its_former_digests: {
        let mut peers = Peers::new(ip(2), Vec::new(), at(0));
        peers.apply_digest(at(100), &sample::digest(ip(1), INCARNATION, 1));
        let mut sent = SentDigests::new(INCARNATION + 1);
        sent.record(1, at(5000));
        let receipt = peers.receipt(at(5100), ip(1)).unwrap();
        assert_eq!(sent.stamped_after(&receipt), None);
        peers.apply_digest(at(5200), &sample::digest(ip(1), INCARNATION + 1, 1));
        let receipt = peers.receipt(at(5300), ip(1)).unwrap();
        assert!(sent.stamped_after(&receipt).is_some());
    }
}
