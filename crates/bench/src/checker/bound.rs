//! Search for the window in which an account exceeds rate x window + burst by the most tokens.

/// Tokens that were granted at an unknown time between two known times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGrant {
    /// Earliest possible time.
    pub from_us: u64,
    /// Latest possible time.
    pub until_us: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// Millionths in a token; with times in microseconds, all sums are exact integers.
const MICROTOKENS: i128 = 1_000_000;

/// Returns the window that exceeds rate x window + burst the most, with its tokens; none if no
/// window exceeds it. A grant counts only in windows that contain both its times.
pub fn largest_excess(grants: &[TokenGrant], rate: u64, burst: u64) -> Option<TokenGrant> {
    let mut ends: Vec<u64> = grants.iter().map(|u| u.until_us).collect();
    ends.sort_unstable();
    ends.dedup();
    let mut by_start: Vec<&TokenGrant> = grants.iter().collect();
    by_start.sort_unstable_by_key(|u| std::cmp::Reverse(u.from_us));
    // Leaf i stands for windows that end at `ends[i]`: tokens granted by then, minus the refill.
    // Grants are added from the last start to the first: the tree holds those inside a window.
    let mut tree = MaxTree::new(ends.iter().map(|t| -i128::from(*t) * i128::from(rate)).collect());
    let mut largest: Option<(i128, u64, u64)> = None;
    for (i, u) in by_start.iter().enumerate() {
        let end = ends.partition_point(|t| *t < u.until_us);
        tree.add(end, i128::from(u.tokens) * MICROTOKENS);
        if by_start.get(i + 1).is_some_and(|next| next.from_us == u.from_us) {
            continue;
        }
        let first = ends.partition_point(|t| *t < u.from_us);
        let Some((level, at)) = tree.max_from(first) else { continue };
        let excess =
            level + i128::from(u.from_us) * i128::from(rate) - i128::from(burst) * MICROTOKENS;
        if excess > 0 && largest.is_none_or(|w| excess > w.0) {
            largest = Some((excess, u.from_us, ends[at]));
        }
    }
    let (_, from_us, until_us) = largest?;
    let inside = grants.iter().filter(|u| u.from_us >= from_us && u.until_us <= until_us);
    Some(TokenGrant { from_us, until_us, tokens: inside.map(|u| u.tokens).sum() })
}

/// Segment tree: maximum over a suffix and addition to a suffix in logarithmic time.
struct MaxTree {
    size: usize,
    // Maximum of each subtree with the index of its leaf, without additions at ancestors.
    max: Vec<(i128, usize)>,
    add: Vec<i128>,
}

impl MaxTree {
    fn new(leaves: Vec<i128>) -> Self {
        let size = leaves.len().next_power_of_two();
        let mut max = vec![(i128::MIN / 2, 0); 2 * size];
        for (i, v) in leaves.into_iter().enumerate() {
            max[size + i] = (v, i);
        }
        for n in (1..size).rev() {
            max[n] = max[2 * n].max(max[2 * n + 1]);
        }
        Self { size, max, add: vec![0; 2 * size] }
    }

    /// Adds `v` to all leaves from `from` on.
    fn add(&mut self, from: usize, v: i128) {
        self.add_in(1, 0, self.size, from, v);
    }

    fn add_in(&mut self, node: usize, lo: usize, hi: usize, from: usize, v: i128) {
        if hi <= from {
            return;
        }
        if from <= lo {
            self.add[node] += v;
            self.max[node].0 += v;
            return;
        }
        let mid = lo.midpoint(hi);
        self.add_in(2 * node, lo, mid, from, v);
        self.add_in(2 * node + 1, mid, hi, from, v);
        let (value, at) = self.max[2 * node].max(self.max[2 * node + 1]);
        self.max[node] = (value + self.add[node], at);
    }

    /// Returns the largest leaf from `from` on, with its index.
    fn max_from(&self, from: usize) -> Option<(i128, usize)> {
        (from < self.size).then(|| self.max_in(1, 0, self.size, from))
    }

    fn max_in(&self, node: usize, lo: usize, hi: usize, from: usize) -> (i128, usize) {
        if hi <= from {
            return (i128::MIN / 2, 0);
        }
        if from <= lo {
            return self.max[node];
        }
        let mid = lo.midpoint(hi);
        let left = self.max_in(2 * node, lo, mid, from);
        let right = self.max_in(2 * node + 1, mid, hi, from);
        let (value, at) = left.max(right);
        (value + self.add[node], at)
    }
}
