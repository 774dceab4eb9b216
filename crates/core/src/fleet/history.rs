//! Position in the history of the store, across restores from an older copy.
//!
//! A store that is restored loses its newest changes, and its revisions go back and are given out
//! again. It counts its restores in an era, so only era and revision together order what was read.

use serde::{Deserialize, Serialize};

/// Position in the history of the store. Later positions are greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of the era; rises with each restore.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}
