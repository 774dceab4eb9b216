//! Sets of voters and the majorities that they form under one or several group sizes.

use serde::{Deserialize, Serialize};

use crate::ids::Ordinal;

/// Largest number of hosts in a group.
pub const MAX_GROUP_SIZE: usize = 7;

/// A set of ordinals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Voters(u8);

impl Voters {
    /// Adds `o` to the set.
    pub fn with(self, o: Ordinal) -> Self {
        Self(self.0 | bit(o.0))
    }

    /// Removes `o` from the set.
    pub fn without(self, o: Ordinal) -> Self {
        Self(self.0 & !bit(o.0))
    }

    /// Ordinals in both sets.
    pub fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Number of ordinals.
    pub fn len(self) -> u8 {
        self.0.count_ones() as u8
    }

    /// Whether the set has no ordinals.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    // In a group of even size ordinal 0 has weight 2, so that one half of a split can continue.
    fn weight(self, hosts: u8) -> u8 {
        let inside = Self(self.0 & (bit(hosts) - 1));
        inside.len() + u8::from(hosts.is_multiple_of(2) && inside.0 & 1 == 1)
    }
}

/// Group sizes under which a majority is required, several while the group size changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSizes(u8);

impl GroupSizes {
    /// A single size, clamped to 1..=[`MAX_GROUP_SIZE`].
    pub fn single(hosts: u8) -> Self {
        Self(bit(hosts.clamp(1, MAX_GROUP_SIZE as u8)))
    }

    /// Sizes in either set.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Smallest size.
    pub fn smallest(self) -> u8 {
        self.0.trailing_zeros() as u8
    }

    /// Largest size.
    pub fn largest(self) -> u8 {
        7 - self.0.leading_zeros() as u8
    }

    /// Whether `voters` have a strict majority of the weight under every size.
    pub fn all_have_majority(self, voters: Voters) -> bool {
        (1..=MAX_GROUP_SIZE as u8).filter(|n| self.0 & bit(*n) != 0).all(|n| {
            let whole = Voters(bit(n) - 1).weight(n);
            voters.weight(n) * 2 > whole
        })
    }
}

fn bit(n: u8) -> u8 {
    1 << n.min(7)
}
