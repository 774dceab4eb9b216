//! Leaving marks: a process that was marked as leaving must not be used again, but its successor
//! may be.

use super::ListedState;
use crate::time::Tick;

/// Leaving mark of a host or an upstream whose processes are identified by `T`.
#[derive(Debug)]
pub(super) struct LeavingMark<T> {
    state: ListedState,
    // Process that runs now, if known.
    process: Option<T>,
    leaving: Option<Leaving<T>>,
    // When the host list dropped the host or upstream.
    pub(super) dropped_at: Option<Tick>,
}

#[derive(Debug)]
enum Leaving<T> {
    /// It was marked while its process was not known. The mark ends when a later list has the state
    /// `Live`.
    Unknown,
    /// This process is leaving. The mark lasts until another process runs.
    Process(T),
}

impl<T: PartialEq + Clone> LeavingMark<T> {
    pub(super) fn new(process: Option<T>) -> Self {
        Self { state: ListedState::Live, process, leaving: None, dropped_at: None }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Applies the state in a host list. `first` tells whether it is the first list that this host
    /// has read.
    pub(super) fn listed(&mut self, state: ListedState, first: bool) {
        let changed = self.state != state;
        (self.state, self.dropped_at) = (state, None);
        match state {
            ListedState::Live => self.clear_unless_running(),
            // The mark in the first list may refer to an earlier process.
            ListedState::Leaving if first => self.leaving = Some(Leaving::Unknown),
            ListedState::Leaving if changed => self.leave(),
            ListedState::Leaving => {}
        }
    }

    /// Marks the current process as leaving.
    pub(super) fn leave(&mut self) {
        self.leaving = Some(match &self.process {
            Some(p) => Leaving::Process(p.clone()),
            None => Leaving::Unknown,
        });
    }

    /// Records which process runs now.
    pub(super) fn set_process(&mut self, process: T) {
        self.process = Some(process);
        if self.state == ListedState::Live {
            self.clear_unless_running();
        }
    }

    /// Ends the mark unless the marked process still runs.
    fn clear_unless_running(&mut self) {
        if let Some(Leaving::Process(p)) = &self.leaving
            && self.process.as_ref() == Some(p)
        {
            return;
        }
        self.leaving = None;
    }
}
