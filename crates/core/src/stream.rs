//! Reassembly of a stream from chunks with offsets.
//!
//! A stream may be cut, resumed from an offset, repeated in part or mixed with chunks of another
//! request. [`Assembly`] lets each chunk through once and in order, and tells when the answer is
//! complete. It keeps no chunk, so its memory does not depend on the answer.

#[cfg(test)]
mod tests;

use arcstr::ArcStr;

/// Failed attempts to continue, without a delivered chunk between them, after which a stream is
/// given up. A resume costs a connection; more attempts rarely help within a deadline.
pub const MAX_FAILURES: u32 = 3;

/// What a chunk carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
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
pub enum Verdict {
    /// Pass it on.
    Deliver,
    /// The answer is complete.
    Complete,
    /// Drop it: it was delivered before.
    Repeated,
    /// Drop it: it belongs to another request.
    Foreign,
    /// Chunks are missing before it; resume the stream.
    Gap,
    /// It contradicts earlier chunks or the limit; the answer cannot be trusted.
    Conflict,
}

/// State of one stream.
#[derive(Clone, Debug)]
pub struct Assembly {
    id: ArcStr,
    next: u64,
    max_tokens: u64,
    complete: bool,
    failures: u32,
}

impl Assembly {
    /// Expects the chunks of `id` from offset 0, at most `limit` tokens.
    pub fn new(id: ArcStr, max_tokens: u64) -> Self {
        Self { id, next: 0, max_tokens, complete: false, failures: 0 }
    }

    /// Request id that the chunks carry.
    pub fn id(&self) -> &ArcStr {
        &self.id
    }

    /// Offset of the next expected chunk: the number of delivered tokens.
    pub fn next(&self) -> u64 {
        self.next
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
    pub fn accept(&mut self, id: &str, offset: u64, part: Part) -> Verdict {
        if id != self.id {
            return Verdict::Foreign;
        }
        match part {
            Part::Token if self.complete && offset >= self.next => Verdict::Conflict,
            Part::Token if offset < self.next => Verdict::Repeated,
            Part::Token if offset >= self.max_tokens => Verdict::Conflict,
            Part::Token if offset > self.next => Verdict::Gap,
            Part::Token => {
                self.next += 1;
                self.failures = 0;
                Verdict::Deliver
            }
            Part::End { total }
                if offset != total || total < self.next || total > self.max_tokens =>
            {
                Verdict::Conflict
            }
            Part::End { total } if self.complete && total > self.next => Verdict::Conflict,
            Part::End { .. } if self.complete => Verdict::Repeated,
            Part::End { total } if total > self.next => Verdict::Gap,
            Part::End { .. } => {
                self.complete = true;
                Verdict::Complete
            }
        }
    }

    /// Counts a failed attempt to continue. Returns the offset to resume from, or `None` when the
    /// stream is to be given up or is complete.
    pub fn failed(&mut self) -> Option<u64> {
        self.failures += 1;
        (!self.complete && self.failures <= MAX_FAILURES).then_some(self.next)
    }
}
