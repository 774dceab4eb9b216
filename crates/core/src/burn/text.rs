//! Counters of the daemons, read from the Prometheus text format.

use std::collections::BTreeMap;

use arcstr::ArcStr;

/// Prefix of all metrics that are kept.
const PREFIX: &str = "yuccawing_";

/// Most series of one sample: 5 metrics of some 1,000 accounts on 100 hosts with 20 series each.
/// The bound keeps a wrong file from filling the memory.
pub const MAX_SERIES: usize = 2_000_000;

/// A metric and its labels.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Series {
    pub(super) metric: ArcStr,
    pub(super) labels: BTreeMap<ArcStr, ArcStr>,
}

impl Series {
    pub(super) fn label(&self, name: &str) -> Option<&ArcStr> {
        self.labels.get(name)
    }
}

/// Counters of several hosts at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    pub(super) hosts: BTreeMap<ArcStr, BTreeMap<Series, f64>>,
}

/// Why a text is no sample.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TextError {
    /// A line is no sample line of the format.
    #[error("line {0} is not in the Prometheus text format")]
    Line(usize),
    /// A counter is negative or no number.
    #[error("line {0}: a counter is negative or no number")]
    Value(usize),
    /// Too many series.
    #[error("more than {MAX_SERIES} series")]
    Size,
}

impl Sample {
    /// Reads the text of one or several hosts. A line `# host NAME` begins the text of a host.
    ///
    /// # Errors
    ///
    /// The first line that cannot be read, or too many series.
    pub fn read(text: &str) -> Result<Self, TextError> {
        let mut sample = Self::default();
        let (mut host, mut left) = (ArcStr::new(), MAX_SERIES);
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix("# host ") {
                host = name.trim().into();
                sample.hosts.entry(host.clone()).or_default();
            }
            if line.starts_with('#') || !line.starts_with(PREFIX) {
                continue;
            }
            let (series, value) = parse(line).ok_or(TextError::Line(i + 1))?;
            if !value.is_finite() || value < 0.0 {
                return Err(TextError::Value(i + 1));
            }
            left = left.checked_sub(1).ok_or(TextError::Size)?;
            sample.hosts.entry(host.clone()).or_default().insert(series, value);
        }
        Ok(sample)
    }

    /// Hosts of the sample.
    pub fn hosts(&self) -> impl Iterator<Item = &ArcStr> {
        self.hosts.keys()
    }
}

/// Reads `name{label="value",...} number [timestamp]`.
fn parse(line: &str) -> Option<(Series, f64)> {
    let end = line.find(|c: char| c == '{' || c.is_whitespace())?;
    let metric = line[..end].into();
    let mut labels = BTreeMap::new();
    let mut rest = line[end..].trim_start();
    if let Some(r) = rest.strip_prefix('{') {
        rest = r.trim_start();
        while !rest.starts_with('}') {
            let (name, r) = rest.split_once('=')?;
            let (value, r) = quoted(r.trim_start())?;
            labels.insert(name.trim().into(), value);
            rest = r.trim_start();
            if let Some(r) = rest.strip_prefix(',') {
                rest = r.trim_start();
            } else if !rest.starts_with('}') {
                return None;
            }
        }
        rest = &rest[1..];
    }
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some((Series { metric, labels }, value))
}

/// Reads a quoted string and returns what follows it.
fn quoted(text: &str) -> Option<(ArcStr, &str)> {
    let text = text.strip_prefix('"')?;
    let mut out = String::new();
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return Some((out.into(), &text[i + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => out.push('\n'),
                c => out.push(c),
            },
            c => out.push(c),
        }
    }
    None
}
