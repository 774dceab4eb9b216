//! Parser of the server-sent events of a streamed answer.

use serde_json::Value;

/// An event of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A chunk of the answer's text.
    Text(String),
    /// The answer is complete.
    End,
    /// The answer cannot be completed; the value is the error body.
    Error(String),
    /// An event without text, or invalid JSON.
    Other,
}

/// Splits a byte stream into events; keeps an incomplete line until the next bytes.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds `bytes` and returns the events that are complete now.
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
    // The chunk with the finish reason has an empty text.
    text_of(&v).filter(|t| !t.is_empty()).map_or(Event::Other, Event::Text)
}

/// Returns the text of a chunk or of an answer that is not streamed, in any of the API's formats.
pub fn text_of(v: &Value) -> Option<String> {
    let choice = &v["choices"][0];
    let places =
        [&v["text"], &choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    places.into_iter().find_map(Value::as_str).map(str::to_owned)
}
