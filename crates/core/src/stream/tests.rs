use std::cmp::Ordering;

use proptest::prelude::*;

use super::{ChunkAction, ChunkKind, MAX_RESUME_FAILURES, Reassembler};

#[derive(Clone, Copy, Debug)]
enum Fault {
    Pass,
    Repeat(usize),
    OtherRequest(u64),
    Lose,
    Cut,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        5 => Just(Fault::Pass),
        1 => (0..6usize).prop_map(Fault::Repeat),
        1 => (0..40u64).prop_map(Fault::OtherRequest),
        1 => Just(Fault::Lose),
        1 => Just(Fault::Cut),
    ]
}

fn end(total: u64) -> ChunkKind {
    ChunkKind::End { total }
}

fn reassembler(limit: u64) -> Reassembler {
    Reassembler::new("a".into(), limit)
}

proptest! {
    // Guards against answers with missing, repeated or reordered tokens or those of another request.
    // The reference is the list of all offsets in order.
    #[test]
    fn every_token_is_delivered_once_and_in_order(
        total in 0..30u64, faults in prop::collection::vec(fault(), 0..200),
    ) {
        let mut a = reassembler(30);
        let mut got = Vec::new();
        let mut sent = 0;
        let mut faults = faults.into_iter();
        // At most one fault per chunk. Without further faults, the stream ends after `total` chunks.
        for _ in 0..1000 {
            let part = if sent == total { end(total) } else { ChunkKind::Token };
            // The action that follows from a list of all offsets.
            let mut accept = |id: &str, at: u64, part| {
                let next = a.next_offset();
                let v = a.accept(id, at, part);
                let expected = match (at.cmp(&next), part) {
                    _ if id != "a" => ChunkAction::WrongRequest,
                    (Ordering::Less, _) => ChunkAction::Duplicate,
                    (Ordering::Greater, _) => ChunkAction::Gap,
                    (Ordering::Equal, ChunkKind::Token) => ChunkAction::Deliver,
                    (Ordering::Equal, ChunkKind::End { .. }) => ChunkAction::Complete,
                };
                if v == ChunkAction::Deliver {
                    got.push(at);
                }
                (v, expected)
            };
            let mut seen = Vec::new();
            let fault = faults.next().unwrap_or(Fault::Pass);
            if let Fault::OtherRequest(at) = fault {
                seen.push(accept("b", at, ChunkKind::Token));
                seen.push(accept("b", at, end(at)));
            }
            if !matches!(fault, Fault::Lose | Fault::Cut) {
                seen.push(accept("a", sent, part));
            }
            let action = match fault {
                Fault::Lose => ChunkAction::Duplicate,
                Fault::Cut => ChunkAction::Gap,
                _ => seen[seen.len() - 1].0,
            };
            if let Fault::Repeat(back) = fault
                && action != ChunkAction::Complete
            {
                seen.push(
                    accept("a", sent.saturating_sub(back as u64).min(total - 1), ChunkKind::Token)
                );
            }
            for (v, expected) in seen {
                prop_assert_eq!(v, expected);
            }
            match action {
                ChunkAction::Complete => break,
                ChunkAction::Gap => sent = a.next_offset(),
                ChunkAction::Deliver | ChunkAction::Duplicate => sent = (sent + 1).min(total),
                v => prop_assert!(false, "{v:?}"),
            }
        }
        prop_assert!(a.is_complete());
        prop_assert_eq!(got, (0..total).collect::<Vec<_>>());
    }

    // Guards against accepting the end of an answer although tokens are missing.
    #[test]
    fn no_answer_is_complete_before_all_tokens(
        chunks in prop::collection::vec((0..8u64, prop::option::of(0..8u64)), 0..60),
    ) {
        let mut a = reassembler(8);
        let mut delivered = 0;
        for (offset, total) in chunks {
            match a.accept("a", offset, total.map_or(ChunkKind::Token, end)) {
                ChunkAction::Deliver => {
                    prop_assert_eq!(offset, delivered);
                    delivered += 1;
                }
                ChunkAction::Complete => prop_assert_eq!(total, Some(delivered)),
                _ => {}
            }
        }
        prop_assert_eq!(a.next_offset(), delivered);
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a chunk of another request in the answer.
    a_chunk_of_another_request_is_dropped: {
        let mut a = reassembler(4);
        assert_eq!(a.accept("b", 0, ChunkKind::Token), ChunkAction::WrongRequest);
        assert_eq!(a.accept("a", 0, ChunkKind::Token), ChunkAction::Deliver);
    }
    // Guards against an end before all tokens have arrived.
    an_early_end_is_a_gap: {
        let mut a = reassembler(4);
        assert_eq!(a.accept("a", 3, end(3)), ChunkAction::Gap);
        assert_eq!(a.record_failure(), Some(0));
    }
    // Guards against an answer that goes on after its end.
    a_token_after_the_end_is_a_conflict: {
        let mut a = reassembler(4);
        assert_eq!(a.accept("a", 0, ChunkKind::Token), ChunkAction::Deliver);
        assert_eq!(a.accept("a", 1, end(1)), ChunkAction::Complete);
        assert_eq!(a.accept("a", 0, ChunkKind::Token), ChunkAction::Duplicate);
        assert_eq!(a.accept("a", 1, end(1)), ChunkAction::Duplicate);
        assert_eq!(a.accept("a", 1, ChunkKind::Token), ChunkAction::Conflict);
        assert_eq!(a.accept("a", 2, end(2)), ChunkAction::Conflict);
    }
    // Guards against an answer with more tokens than were reserved for it.
    a_token_above_the_limit_is_a_conflict: {
        let mut a = reassembler(1);
        assert_eq!(a.accept("a", 0, ChunkKind::Token), ChunkAction::Deliver);
        assert_eq!(a.accept("a", 1, ChunkKind::Token), ChunkAction::Conflict);
    }
    // Guards against resuming a stream endlessly without progress, and against giving up one that
    // makes progress.
    failures_are_counted_since_the_last_token: {
        let mut a = reassembler(4);
        for _ in 0..MAX_RESUME_FAILURES {
            assert_eq!(a.record_failure(), Some(0));
        }
        a.accept("a", 0, ChunkKind::Token);
        for _ in 0..MAX_RESUME_FAILURES {
            assert_eq!(a.record_failure(), Some(1));
        }
        assert_eq!(a.record_failure(), None);
    }
}
