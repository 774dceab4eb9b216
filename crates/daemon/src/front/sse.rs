//! Splits a stream of server-sent events without changing a byte, so that only complete events are
//! passed on.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Largest event in bytes.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Complete event, unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// All bytes, including the empty line at the end.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Whether it consists of comments or nothing. Such events keep a connection open without
    /// progress.
    pub empty: bool,
}

/// Buffer of one stream for bytes that are not yet passed on.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    // Start of the first incomplete line, and the position up to which no later line end was found.
    line: usize,
    searched: usize,
}

impl Splitter {
    /// Adds received bytes. Take all events with [`Self::event`] before the next call.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next complete event; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is too long.
    pub fn event(&mut self) -> Result<Option<Event>, TooLong> {
        let Some(end) = self.end() else {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(TooLong) } else { Ok(None) };
        };
        let bytes = self.buf.split_to(end).freeze();
        (self.line, self.searched) = (0, 0);
        Ok(Some(Event { id: id(&bytes), empty: is_empty(&bytes), bytes }))
    }

    /// Whether part of an event remains in the buffer.
    pub fn partial(&self) -> bool {
        !self.buf.is_empty()
    }

    // Position after the first empty line. Bytes are searched once, however small the pieces are in
    // which they arrive.
    fn end(&mut self) -> Option<usize> {
        while let Some(at) = self.buf.get(self.searched..)?.iter().position(|b| *b == b'\n') {
            let end = self.searched + at;
            let line = self.buf.get(self.line..end)?;
            let empty = line.is_empty() || line == b"\r";
            (self.line, self.searched) = (end + 1, end + 1);
            if empty {
                return Some(end + 1);
            }
        }
        self.searched = self.buf.len();
        None
    }
}

fn is_empty(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
    lines.all(|l| l.is_empty() || l.starts_with(b":"))
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
