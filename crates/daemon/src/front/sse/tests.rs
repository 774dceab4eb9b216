use bytes::Bytes;
use proptest::prelude::*;

use super::{Event, MAX_EVENT_BYTES, Splitter};

fn event(text: &str, id: Option<u64>) -> Event {
    Event { bytes: Bytes::copy_from_slice(text.as_bytes()), id, empty: false }
}

fn split(parts: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut s = Splitter::default();
    let mut out = Vec::new();
    for p in parts {
        s.push(p);
        while let Some(e) = s.event().unwrap() {
            out.push(e);
        }
    }
    (out, s.partial())
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against changed bytes, and against an id that is missed after other lines.
    events_keep_their_bytes: {
        let (events, partial) = split(&[b"weights: 3\nid: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n"]);
        assert_eq!(events, [
            event("weights: 3\nid: 7\ndata: a\n\n", Some(7)),
            event("id:8\r\ndata: b\r\n\r\n", Some(8)),
        ]);
        assert!(!partial);
    }
    // Guards against part of an event that is passed on when a replica ends the stream early.
    a_partial_event_is_held_back: {
        let (events, partial) = split(&[b"id: 1\n\nid: 2\nda"]);
        assert_eq!(events.len(), 1);
        assert!(partial);
    }
    // Guards against a stalled stream that counts as progressing because of comments or empty events.
    comments_and_empty_events_are_told_apart: {
        let (events, _) = split(&[b": ping\n\n\r\n:\r\n\r\ndata: a\n\nid: 3\n\n"]);
        let empty: Vec<_> = events.iter().map(|e| e.empty).collect();
        assert_eq!(empty, [true, true, true, false, false]);
    }
    // Guards against unbounded memory use for a stream without an empty line.
    an_endless_event_is_an_error: {
        let mut s = Splitter::default();
        s.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
        assert!(s.event().is_err());
    }
}

proptest! {
    // Guards against events that depend on where the network splits the stream.
    #[test]
    fn split_points_do_not_matter(cuts in prop::collection::vec(0..60usize, 0..6)) {
        let text = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\r\ndata: x\r\n\r\n";
        let mut at: Vec<_> = cuts.into_iter().map(|c| c.min(text.len())).collect();
        at.extend([0, text.len()]);
        at.sort_unstable();
        let parts: Vec<_> = at.windows(2).map(|w| &text[w[0]..w[1]]).collect();
        prop_assert_eq!(split(&parts), split(&[text]));
    }
}
