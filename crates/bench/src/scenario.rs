//! Scenario files.

pub mod build;
#[cfg(test)]
mod tests;

use std::{path::Path, time::Duration};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use yuccawing_core::rules::Class;

use crate::{Error, Result};

/// Longest scenario in seconds; an experiment ends in one to two minutes.
const MAX_TRAFFIC_S: u64 = 180;

/// A scenario. Unknown keys are errors.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario shows.
    pub note: String,
    /// Seed of the trace.
    #[serde(default = "one")]
    pub seed: u64,
    /// Seconds of traffic before measuring starts.
    #[serde(default = "warmup")]
    pub warmup_s: u64,
    /// Seconds that are measured.
    pub duration_s: u64,
    /// Requests in flight up to which the driver sends more; beyond it counts them as dropped.
    #[serde(default = "inflight")]
    pub inflight: usize,
    /// Share of an account's requests that go to its home host; the others are spread evenly.
    #[serde(default)]
    pub skew: f64,
    /// Domain of each host; the index is the ordinal.
    pub hosts: Vec<ArcStr>,
    /// Delays of the network.
    #[serde(default)]
    pub delay: Delay,
    /// Weight store.
    pub store: Store,
    /// Engines.
    pub engines: Vec<Engines>,
    /// Plain services.
    #[serde(default)]
    pub plain: Vec<PlainServices>,
    /// Adapters.
    pub adapters: Adapters,
    /// Accounts and their traffic.
    pub accounts: Vec<Account>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// One-way delays in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    /// Between domains.
    pub domains_ms: f64,
    /// Between callers and hosts.
    pub callers_ms: f64,
}

/// Weight store.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Loads per second.
    pub rate: u64,
    /// Loads in flight.
    pub flight: u64,
    /// Milliseconds per load.
    pub load_ms: u64,
}

/// Several equal engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// Failure domain.
    pub domain: ArcStr,
    /// Adapter slots.
    pub slots: u32,
    /// Requests that run at once.
    pub batch: u32,
    /// Whether they reject old fencing numbers.
    pub fencing: bool,
    /// Milliseconds to the first token.
    pub first_ms: u64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
}

/// Several equal plain services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServices {
    /// How many.
    pub count: usize,
    /// Failure domain.
    pub domain: ArcStr,
    /// Calls that run at once.
    pub limit: u32,
}

/// Adapters and their popularity.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapters {
    /// Adapters of class `status`.
    #[serde(default)]
    pub status: usize,
    /// Adapters of class `interactive`.
    pub interactive: usize,
    /// Adapters of class `drafting`.
    #[serde(default)]
    pub drafting: usize,
    /// Versions of each adapter.
    pub versions: Vec<ArcStr>,
    /// Exponent of popularity: the n-th most popular adapter has weight n^-zipf.
    pub zipf: f64,
    /// Seconds after the start of measuring at which popularity shifts to other adapters.
    #[serde(default)]
    pub shifts_s: Vec<f64>,
}

/// An account.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: ArcStr,
    /// Tokens per second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
    /// Weight in fair queueing.
    #[serde(default = "weight")]
    pub weight: u32,
    /// Kinds of requests that it sends.
    pub traffic: Vec<Traffic>,
}

/// Requests of one kind, with exponential gaps.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests per second.
    pub rate: f64,
    /// Class, and with it the adapters.
    #[serde(default)]
    pub class: Class,
    /// Bytes of the prompt.
    #[serde(default = "prompt")]
    pub prompt: usize,
    /// Tokens of an answer: evenly spread between half of this and one and a half.
    #[serde(default = "tokens")]
    pub tokens: u64,
    /// Largest answer that a request asks for; at least one and a half times `tokens`.
    #[serde(default = "max_tokens")]
    pub max_tokens: u64,
    /// Deadline in milliseconds.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
    /// Start in seconds after the start of measuring; the default is the start of traffic.
    pub from_s: Option<f64>,
    /// End in seconds after the start of measuring; the default is the end of the scenario.
    pub until_s: Option<f64>,
    /// Calls of this plain route in place of completions: `notes` may be repeated, `once` not.
    pub plain: Option<PlainKind>,
}

/// Kind of a call to a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlainKind {
    /// It may be repeated.
    Notes,
    /// It must not be repeated; it needs a ticket.
    Once,
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Seconds after the start of measuring.
    pub at_s: f64,
    /// Seconds for which it lasts, for faults that end.
    #[serde(default)]
    pub for_s: f64,
    /// Fault.
    pub fault: Fault,
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A host's process is killed; its replacement starts when the fault ends.
    KillHost(usize),
    /// A host's process is stopped (SIGSTOP) and continues when the fault ends.
    PauseHost(usize),
    /// A host shuts down gracefully; its replacement starts when the fault ends.
    StopHost(usize),
    /// The hosts and upstreams of these domains cannot reach the others.
    Partition(Vec<ArcStr>),
    /// All open connections from a host go silent for good; new ones work.
    SilenceHost(usize),
    /// The configuration service is down.
    ConfigDown,
    /// The configuration service serves old values.
    ConfigStale,
    /// The host list is late by this many milliseconds.
    ListLag(u64),
    /// An engine restarts cold.
    RestartEngine(usize),
    /// Loads fail, in parts per million.
    LoadFail(u64),
    /// Streams break after this many tokens.
    CutStreams(u64),
    /// Open streams of all engines go silent for good.
    SilenceStreams,
    /// An account's key is revoked, and published again when the fault ends.
    RevokeKey(ArcStr),
    /// An engine leaves.
    LeaveEngine(usize),
    /// Calls to plain services break after they ran.
    CutCalls,
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// All findings as `FILE:LINE: MESSAGE`.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::File(path.into(), e))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// As [`Scenario::read`].
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let line_at = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let s: Self = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line_at(s.start));
            Error::Scenario(format!("{file}:{line}: {}", e.message()))
        })?;
        let found: Vec<_> = s
            .check()
            .into_iter()
            .map(|(key, message)| {
                let line = text.find(key).map_or(1, line_at);
                format!("{file}:{line}: {message}")
            })
            .collect();
        if found.is_empty() { Ok(s) } else { Err(Error::Scenario(found.join("\n"))) }
    }

    /// Ranges and references: the key that a finding is about, and a message.
    fn check(&self) -> Vec<(&'static str, String)> {
        let mut out = Vec::new();
        let mut require = |ok: bool, key, message: String| {
            if !ok {
                out.push((key, message));
            }
        };
        let span = self.warmup_s + self.duration_s;
        require(
            span <= MAX_TRAFFIC_S,
            "duration_s",
            format!("{span} s of traffic, at most {MAX_TRAFFIC_S}"),
        );
        let n = self.hosts.len();
        require((3..=7).contains(&n), "hosts", format!("{n} hosts, allowed are 3 to 7"));
        require((0.0..=1.0).contains(&self.skew), "skew", "skew is not between 0 and 1".into());
        let engines: usize = self.engines.iter().map(|e| e.count).sum();
        require(engines > 0, "engines", "no engines".into());
        require(!self.adapters.versions.is_empty(), "versions", "no versions".into());
        for a in &self.accounts {
            for t in &a.traffic {
                let min = t.tokens + t.tokens / 2;
                require(
                    t.plain.is_some() || t.max_tokens >= min,
                    "max_tokens",
                    format!("account {}: max_tokens is below {min}", a.name),
                );
                require(
                    t.plain.is_some() || self.adapters.count(t.class) > 0,
                    "traffic",
                    format!("account {}: no adapters of class {:?}", a.name, t.class),
                );
                require(
                    t.plain.is_none() || !self.plain.is_empty(),
                    "plain",
                    format!("account {}: no plain services", a.name),
                );
            }
        }
        for f in &self.faults {
            let (i, count) = match &f.fault {
                Fault::KillHost(i)
                | Fault::PauseHost(i)
                | Fault::StopHost(i)
                | Fault::SilenceHost(i) => (*i, n),
                Fault::RestartEngine(i) | Fault::LeaveEngine(i) => (*i, engines),
                Fault::RevokeKey(a) => {
                    let known = self.accounts.iter().any(|x| x.name == *a);
                    require(known, "faults", format!("unknown account {a}"));
                    continue;
                }
                _ => continue,
            };
            require(
                i < count,
                "faults",
                format!("fault at {} s: {i} is not below {count}", f.at_s),
            );
        }
        out
    }

    /// Time from the start of traffic to the start of measuring.
    pub fn warmup(&self) -> Duration {
        Duration::from_secs(self.warmup_s)
    }

    /// Time that is measured.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.duration_s)
    }
}

impl Adapters {
    /// Number of adapters of a class.
    pub fn count(&self, class: Class) -> usize {
        match class {
            Class::Status => self.status,
            Class::Interactive => self.interactive,
            Class::Drafting => self.drafting,
        }
    }

    /// Index of the first adapter of a class.
    pub fn first_index(&self, class: Class) -> usize {
        match class {
            Class::Status => 0,
            Class::Interactive => self.status,
            Class::Drafting => self.status + self.interactive,
        }
    }
}

fn one() -> u64 {
    1
}

fn weight() -> u32 {
    1
}

fn warmup() -> u64 {
    5
}

fn inflight() -> usize {
    2000
}

fn prompt() -> usize {
    80
}

fn tokens() -> u64 {
    40
}

fn max_tokens() -> u64 {
    80
}

fn deadline_ms() -> u64 {
    20_000
}
