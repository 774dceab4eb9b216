use proptest::prelude::*;

use super::{EventTooLong, MAX_EVENT_BYTES, Parser};

fn events(p: &mut Parser) -> Vec<String> {
    std::iter::from_fn(|| p.event().unwrap())
        .map(|b| String::from_utf8(b.into()).unwrap())
        .collect()
}

proptest! {
    // Guards against events that are lost or corrupted when a read ends within them.
    #[test]
    fn split_reads_do_not_change_events(
        texts in prop::collection::vec("[a-z:]{1,8}", 0..12),
        crlf: bool,
        size in 1..40usize,
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let text: String = texts.iter().map(|t| format!(": note{end}data: {t}{end}{end}")).collect();
        let mut p = Parser::default();
        let mut got = Vec::new();
        for part in text.as_bytes().chunks(size) {
            p.push(part);
            got.extend(events(&mut p));
        }
        prop_assert_eq!(got, texts);
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against an upstream that exhausts the memory with a single line.
    an_endless_line_is_too_long: {
        let mut p = Parser::default();
        p.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
        assert_eq!(p.event(), Err(EventTooLong));
    }
    // Guards against an upstream that exhausts the memory with an event of many lines.
    an_event_of_endless_lines_is_too_long: {
        let mut p = Parser::default();
        let line = b"data: 0123456789\n".repeat(MAX_EVENT_BYTES / 8);
        p.push(&line);
        assert_eq!(p.event(), Err(EventTooLong));
    }
    // Guards against an event that is returned before it is complete.
    an_unfinished_event_is_not_returned: {
        let mut p = Parser::default();
        p.push(b"data: a\n");
        assert_eq!(p.event(), Ok(None));
    }
    // Guards against the lines of one event being taken for several events.
    lines_of_one_event_are_joined: {
        let mut p = Parser::default();
        p.push(b"event: x\ndata: a\ndata:b\n\n");
        assert_eq!(events(&mut p), ["a\nb"]);
    }
}
