//! Reassembly of a stream from chunks with offsets.
//!
//! A stream may be cut, resumed from an offset, repeated in part or mixed with chunks of another
//! request. [`Reassembler`] lets each chunk through once and in order, and tells when the answer is
//! complete. It keeps no chunk, so its memory does not depend on the answer.

#[cfg(test)]
mod tests;

use arcstr::ArcStr;

/// Failed attempts to continue, without a delivered chunk between them, after which a stream is
/// given up. A resume costs a connection; more attempts rarely help within a deadline.
pub const MAX_RESUME_FAILURES: u32 = 3;

/// What a chunk carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkKind {
    /// One token.
    Token,
    /// End of the answer.
    End {
        /// Tokens of the whole answer.
        total: u64,
    },
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkAction {
    /// Pass it on.
    Deliver,
    /// The answer is complete.
    Complete,
    /// Drop it: it was delivered before.
    Duplicate,
    /// Drop it: it belongs to another request.
    WrongRequest,
    /// Chunks are missing before it; resume the stream.
    Gap,
    /// It contradicts earlier chunks or the limit; the answer cannot be trusted.
    Conflict,
}

/// State of one stream.
#[derive(Clone, Debug)]
pub struct Reassembler {
    id: ArcStr,
    next_offset: u64,
    max_tokens: u64,
    complete: bool,
    failures: u32,
}

impl Reassembler {
    /// Expects the chunks of `id` from offset 0, at most `limit` tokens.
    pub fn new(id: ArcStr, max_tokens: u64) -> Self {
        Self { id, next_offset: 0, max_tokens, complete: false, failures: 0 }
    }

    /// Request id that the chunks carry.
    pub fn id(&self) -> &ArcStr {
        &self.id
    }

    /// Offset of the next expected chunk: the number of delivered tokens.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Failed attempts to continue since the last delivered chunk.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the whole answer was delivered.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Judges a chunk of request `id` at `offset`.
    pub fn accept(&mut self, id: &str, offset: u64, part: ChunkKind) -> ChunkAction {
        if id != self.id {
            return ChunkAction::WrongRequest;
        }
        match part {
            ChunkKind::Token if self.complete && offset >= self.next_offset => {
                ChunkAction::Conflict
            }
            ChunkKind::Token if offset < self.next_offset => ChunkAction::Duplicate,
            ChunkKind::Token if offset >= self.max_tokens => ChunkAction::Conflict,
            ChunkKind::Token if offset > self.next_offset => ChunkAction::Gap,
            ChunkKind::Token => {
                self.next_offset += 1;
                self.failures = 0;
                ChunkAction::Deliver
            }
            ChunkKind::End { total }
                if offset != total || total < self.next_offset || total > self.max_tokens =>
            {
                ChunkAction::Conflict
            }
            ChunkKind::End { total } if self.complete && total > self.next_offset => {
                ChunkAction::Conflict
            }
            ChunkKind::End { .. } if self.complete => ChunkAction::Duplicate,
            ChunkKind::End { total } if total > self.next_offset => ChunkAction::Gap,
            ChunkKind::End { .. } => {
                self.complete = true;
                ChunkAction::Complete
            }
        }
    }

    /// Counts a failed attempt to continue. Returns the offset to resume from, or `None` when the
    /// stream is to be given up or is complete.
    pub fn record_failure(&mut self) -> Option<u64> {
        self.failures += 1;
        (!self.complete && self.failures <= MAX_RESUME_FAILURES).then_some(self.next_offset)
    }
}
