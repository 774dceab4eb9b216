//! Splits a stream of events without changing a byte, so that only whole events are passed on.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Longest event in bytes.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An event is longer than [`MAX_EVENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// A whole event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes with the empty line at its end.
    pub bytes: Bytes,
    /// Its id.
    pub id: Option<u64>,
}

/// Bytes of one stream that are not passed on yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Adds received bytes. Take all events with [`Self::event`] before the next call.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// # Errors
    ///
    /// The event is too long.
    pub fn event(&mut self) -> Result<Option<Event>, TooLong> {
        let Some(end) = end(&self.buf) else {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(TooLong) } else { Ok(None) };
        };
        let bytes = self.buf.split_to(end).freeze();
        Ok(Some(Event { id: id(&bytes), bytes }))
    }

    /// Whether part of an event is left.
    pub fn partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

// Position after the first empty line.
fn end(buf: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(at) = buf[start..].iter().position(|b| *b == b'\n') {
        let line = &buf[start..start + at];
        start += at + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
