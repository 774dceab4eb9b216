//! Reassembly of an answer from a stream of chunks with offsets.
//!
//! A stream may break, be resumed from an offset, repeat chunks or contain chunks of another
//! request. [`Reassembler`] accepts each chunk once and in order, and detects the end of the answer.
//! It stores no chunks, so its memory does not depend on the answer's length.

#[cfg(test)]
mod tests;

use arcstr::ArcStr;

/// Consecutive failures to resume, without a chunk between them, that a stream may have. Each
/// attempt costs a connection, and more of them rarely help within a deadline.
pub const MAX_RESUME_FAILURES: u32 = 3;

/// What a chunk carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkKind {
    /// One token of the answer.
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
    /// Pass it on to the caller.
    Deliver,
    /// End the answer, which is complete.
    Complete,
    /// Drop it, because it was delivered before.
    Duplicate,
    /// Drop it, because it belongs to another request.
    WrongRequest,
    /// Resume the stream, because chunks before it are missing.
    Gap,
    /// Fail the request, because the chunk contradicts earlier ones or exceeds the token limit.
    Conflict,
}

/// Progress of one stream.
#[derive(Clone, Debug)]
pub struct Reassembler {
    id: ArcStr,
    next_offset: u64,
    max_tokens: u64,
    complete: bool,
    failures: u32,
}

impl Reassembler {
    /// A stream of at most `max_tokens` tokens whose chunks carry the request id `id`.
    pub fn new(id: ArcStr, max_tokens: u64) -> Self {
        Self { id, next_offset: 0, max_tokens, complete: false, failures: 0 }
    }

    /// Request id that the chunks carry.
    pub fn id(&self) -> &ArcStr {
        &self.id
    }

    /// Offset of the next expected chunk, which is the number of delivered tokens.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Failed attempts to resume since the last delivered chunk.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the whole answer was delivered.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Decides what to do with a chunk of request `id` at `offset`.
    pub fn accept(&mut self, id: &str, offset: u64, kind: ChunkKind) -> ChunkAction {
        if id != self.id {
            return ChunkAction::WrongRequest;
        }
        match kind {
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

    /// Counts a failure of the stream. Returns the offset to resume from, or `None` if the stream is
    /// complete or has failed more than [`MAX_RESUME_FAILURES`] times.
    pub fn record_failure(&mut self) -> Option<u64> {
        self.failures += 1;
        (!self.complete && self.failures <= MAX_RESUME_FAILURES).then_some(self.next_offset)
    }
}
