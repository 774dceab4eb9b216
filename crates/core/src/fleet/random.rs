//! Random numbers of models in tests. The same seed gives the same run, so that a failed one can be
//! repeated.

/// Linear congruential generator.
pub(super) struct Random(pub(super) u64);

impl Random {
    /// Number below `n`.
    pub(super) fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    /// Whether an event with this probability occurs.
    pub(super) fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}
