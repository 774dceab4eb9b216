//! Leaving marks.

use super::ListedState;
use crate::time::Tick;

/// Leaving mark of a host or an upstream whose processes are told apart by `T`.
#[derive(Debug)]
pub(super) struct LeavingMark<T> {
    state: ListedState,
    // Current process, if known.
    process: Option<T>,
    leaving: Option<Leaving<T>>,
    // When the list dropped it.
    pub(super) dropped_at: Option<Tick>,
}

#[derive(Debug)]
enum Leaving<T> {
    /// It was marked before this host knew the process, so a newer list that says live ends it.
    Unknown,
    /// The process that is leaving. It never returns.
    Process(T),
}

impl<T: PartialEq + Clone> LeavingMark<T> {
    pub(super) fn new(process: Option<T>) -> Self {
        Self { state: ListedState::Live, process, leaving: None, dropped_at: None }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Takes what the list says; `first` for the first list that this host reads.
    pub(super) fn listed(&mut self, state: ListedState, first: bool) {
        let changed = self.state != state;
        (self.state, self.dropped_at) = (state, None);
        match state {
            ListedState::Live => self.clear_unless_running(),
            // The mark of the first list may be about the process before.
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

    /// Takes note of the current process.
    pub(super) fn set_process(&mut self, process: T) {
        self.process = Some(process);
        if self.state == ListedState::Live {
            self.clear_unless_running();
        }
    }

    /// Ends the mark unless the process that was marked is the one that runs.
    fn clear_unless_running(&mut self) {
        if let Some(Leaving::Process(p)) = &self.leaving
            && self.process.as_ref() == Some(p)
        {
            return;
        }
        self.leaving = None;
    }
}
