//! Server-sent events of an answer.

use serde_json::Value;

/// An event.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// Text of the answer.
    Text(String),
    /// The answer is complete.
    End,
    /// The answer cannot be completed; the body of the error.
    Error(String),
    /// Anything else.
    Other,
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Events that are complete after `bytes`.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(n) = self.buffer[start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.buffer[start..start + n]);
            start += n + 1;
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                out.push(event(data.trim_start()));
            }
        }
        self.buffer.drain(..start);
        out
    }
}

fn event(data: &str) -> Event {
    if data == "[DONE]" {
        return Event::End;
    }
    let Ok(v) = serde_json::from_str::<Value>(data) else { return Event::Other };
    if v.get("error").is_some_and(|e| !e.is_null()) {
        return Event::Error(data.into());
    }
    if v["done"] == true {
        return Event::End;
    }
    // The chunk that gives the reason of the end has an empty text.
    text_of(&v).filter(|t| !t.is_empty()).map_or(Event::Other, Event::Text)
}

/// Text of a chunk or of a whole answer.
pub fn text_of(v: &Value) -> Option<String> {
    let choice = &v["choices"][0];
    let places =
        [&v["text"], &choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    places.into_iter().find_map(Value::as_str).map(str::to_owned)
}
