//! Parser of the daemons' counters in the Prometheus text format.

use std::collections::BTreeMap;

use arcstr::ArcStr;

/// Prefix of the metrics that are read; others are ignored.
const PREFIX: &str = "yuccawing_";

/// Most series in a sample: 1,000 accounts with 20 series each, in 5 metrics, on 100 hosts. The
/// limit keeps a wrong file from exhausting the memory.
pub const MAX_SERIES: usize = 2_000_000;

/// Metric name and labels.
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

/// Counters of several hosts, sampled at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    pub(super) hosts: BTreeMap<ArcStr, BTreeMap<Series, f64>>,
}

/// Why a text cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TextError {
    /// This line is not a sample in the text format.
    #[error("line {0} is not in the Prometheus text format")]
    Line(usize),
    /// The counter in this line is negative or not a number.
    #[error("line {0}: a counter is negative or not a number")]
    Value(usize),
    /// There are more than [`MAX_SERIES`] series.
    #[error("more than {MAX_SERIES} series")]
    Size,
}

impl Sample {
    /// Parses the metrics of one or several hosts. A line `# host NAME` starts the metrics of a
    /// host.
    ///
    /// # Errors
    ///
    /// The first line that cannot be parsed, or too many series.
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

    /// Names of the sampled hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &ArcStr> {
        self.hosts.keys()
    }
}

/// Parses `name{label="value",...} number [timestamp]`.
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

/// Parses a quoted string and returns it and the rest of the text.
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
