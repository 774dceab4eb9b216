use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use slog::{Drain, Logger, kv, o};

use super::{Event, emit, json};

const PAGE: &str = include_str!("../../../../docs/EVENTS.md");

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, b: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(b);
        Ok(b.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a documented list that lacks an event or has one that does not exist.
    catalogue_matches_the_events: {
        let rows: Vec<&str> =
            PAGE.lines().filter(|l| l.starts_with("| ") && l.as_bytes()[2].is_ascii_digit()).collect();
        let want: Vec<String> = Event::ALL
            .iter()
            .map(|e| {
                let level = e.level().as_str().to_lowercase();
                format!("| {} | {} | {level} | {} |", e.number(), e.name(), e.text())
            })
            .collect();
        assert_eq!(rows, want);
    }
    // Guards against two events with the same number.
    event_numbers_are_unique_and_ascending: {
        assert!(Event::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
    }
    // Guards against JSON log lines that lack the number, level or fields of an event.
    json_line_has_number_level_and_fields: {
        let out = Buffer::default();
        let log = Logger::root(json(out.clone()).fuse(), o!("host" => "h0"));
        emit(&log, Event::Started, &kv!("addr" => "127.0.0.1:1"));
        let text = String::from_utf8(out.0.lock().unwrap().clone()).unwrap();
        let line: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(line["event"], 100);
        assert_eq!(line["level"], "INFO");
        assert_eq!(line["addr"], "127.0.0.1:1");
        assert_eq!(line["host"], "h0");
    }
}
