//! Incremental parser of server-sent events with bounded memory.

#[cfg(test)]
mod tests;

use bytes::{Buf, Bytes, BytesMut};

/// Limit on the size of an event. The event of one token takes about 200 bytes.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than 64 KiB")]
pub struct EventTooLong;

/// Parser of one event stream.
#[derive(Debug, Default)]
pub struct Parser {
    buf: BytesMut,
    // Length of the prefix of `buf` that is known to hold no line end.
    scanned: usize,
    data: BytesMut,
}

impl Parser {
    /// Appends received bytes. All events must be read with [`Parser::event`] before the next call.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event, or `None` until more bytes are appended.
    ///
    /// # Errors
    ///
    /// The event is too long. The rest of the stream cannot be parsed.
    pub fn event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        while let Some(line) = self.line() {
            let text = line.strip_suffix(b"\r").unwrap_or(&line);
            if text.is_empty() {
                if !self.data.is_empty() {
                    return Ok(Some(self.data.split().freeze()));
                }
            } else if let Some(data) = text.strip_prefix(b"data:") {
                let data = data.strip_prefix(b" ").unwrap_or(data);
                if !self.data.is_empty() {
                    self.data.extend_from_slice(b"\n");
                }
                self.data.extend_from_slice(data);
            }
            if self.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) }
    }

    fn line(&mut self) -> Option<Bytes> {
        match self.buf[self.scanned..].iter().position(|b| *b == b'\n') {
            Some(at) => {
                let line = self.buf.split_to(self.scanned + at).freeze();
                self.buf.advance(1);
                self.scanned = 0;
                Some(line)
            }
            None => {
                self.scanned = self.buf.len();
                None
            }
        }
    }
}
