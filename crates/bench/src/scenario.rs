//! Scenario files: the fleet, the traffic and the faults of an experiment, in TOML.

pub mod build;
#[cfg(test)]
mod tests;

use std::{path::Path, time::Duration};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use yuccawing_core::rules::Class;

use crate::{Error, Result};

/// Limit on warm-up and measurement together; an experiment should take one to two minutes.
const MAX_TRAFFIC_S: u64 = 180;

/// Scenario of an experiment. Unknown keys are errors.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario demonstrates, for reports.
    pub note: String,
    /// Seed of the arrivals.
    #[serde(default = "one")]
    pub seed: u64,
    /// Seconds of traffic before the measurement starts.
    #[serde(default = "warmup")]
    pub warmup_s: u64,
    /// Seconds of the measurement.
    pub duration_s: u64,
    /// Limit on requests in flight; arrivals above it are not sent and are counted as dropped.
    #[serde(default = "inflight")]
    pub inflight: usize,
    /// Share of an account's requests, 0 to 1, that go to its home host; the others go to random
    /// hosts.
    #[serde(default)]
    pub skew: f64,
    /// Failure domain of each host; the index is the ordinal.
    pub hosts: Vec<ArcStr>,
    /// Network delays.
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
    /// Fetches per second.
    pub rate: u64,
    /// Fetches in flight up to which a fetch takes `load_ms`.
    pub flight: u64,
    /// Duration of a fetch in milliseconds.
    pub load_ms: u64,
}

/// Group of identical engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// Failure domain.
    pub domain: ArcStr,
    /// Adapter slots.
    pub slots: u32,
    /// Requests that run concurrently.
    pub batch: u32,
    /// Whether they reject commands with an outdated fencing token.
    pub fencing: bool,
    /// Time to the first token in milliseconds.
    pub first_ms: u64,
    /// Time between tokens in milliseconds.
    pub token_ms: u64,
}

/// Group of identical plain services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServices {
    /// How many.
    pub count: usize,
    /// Failure domain.
    pub domain: ArcStr,
    /// Calls that run concurrently.
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
    /// Exponent of the Zipf distribution: the n-th most popular adapter has weight n^-zipf.
    pub zipf: f64,
    /// Seconds after the start of the measurement at which popularity shifts to other adapters.
    #[serde(default)]
    pub shifts_s: Vec<f64>,
}

/// Client account with its limits and traffic.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: ArcStr,
    /// Rate limit in tokens per second.
    pub rate: u64,
    /// Burst limit in tokens.
    pub burst: u64,
    /// Weight in fair queueing.
    #[serde(default = "weight")]
    pub weight: u32,
    /// Request streams that it sends.
    pub traffic: Vec<Traffic>,
}

/// Stream of similar requests with exponentially distributed gaps (a Poisson process).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests per second.
    pub rate: f64,
    /// Service class; selects the adapters.
    #[serde(default)]
    pub class: Class,
    /// Bytes of the prompt.
    #[serde(default = "prompt")]
    pub prompt: usize,
    /// Mean tokens of a completion; the actual number is uniform between 0.5 and 1.5 times this.
    #[serde(default = "tokens")]
    pub tokens: u64,
    /// Limit that a request states for its completion; at least 1.5 times `tokens`.
    #[serde(default = "max_tokens")]
    pub max_tokens: u64,
    /// Deadline of a request in milliseconds.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
    /// Start in seconds after the start of the measurement; the default is the start of traffic.
    pub from_s: Option<f64>,
    /// End in seconds after the start of the measurement; the default is the end of the scenario.
    pub until_s: Option<f64>,
    /// Send calls to this route of the plain services instead of completions.
    pub plain: Option<PlainKind>,
}

/// Route of the plain services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlainKind {
    /// Idempotent calls.
    Notes,
    /// Calls that must run at most once; they need a ticket.
    Once,
}

/// Fault with its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Start in seconds after the start of the measurement.
    pub at_s: f64,
    /// Duration in seconds; 0 for a fault that does not end.
    #[serde(default)]
    pub for_s: f64,
    /// What is done.
    pub fault: Fault,
}

/// Faults that an experiment can inject. Hosts are given by ordinal, engines by index.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Kill a host's process (SIGKILL); its replacement starts when the fault ends.
    KillHost(usize),
    /// Suspend a host's process (SIGSTOP) until the fault ends.
    PauseHost(usize),
    /// Shut a host down gracefully; its replacement starts when the fault ends.
    StopHost(usize),
    /// Partition the network: hosts and upstreams of these domains cannot reach the others.
    Partition(Vec<ArcStr>),
    /// Drop all further data on the open connections of a host; new connections work.
    SilenceHost(usize),
    /// Make the configuration service unavailable.
    ConfigDown,
    /// Make the configuration service serve outdated values.
    ConfigStale,
    /// Delay the content of the host list by this many milliseconds.
    ListLag(u64),
    /// Restart an engine without any loaded adapter.
    RestartEngine(usize),
    /// Let this share of loads fail, in parts per million.
    LoadFail(u64),
    /// Close the connection of each stream after this many tokens.
    CutStreams(u64),
    /// Stop sending on all open streams of all engines; new streams work.
    SilenceStreams,
    /// Revoke an account's key; it is published again when the fault ends.
    RevokeKey(ArcStr),
    /// Mark an engine as leaving in the host list.
    LeaveEngine(usize),
    /// Close the connection of calls to plain services after they were executed.
    CutCalls,
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or has findings: one line `FILE:LINE: MESSAGE` each.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::File(path.into(), e))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks a scenario; `file` is the name in error messages.
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

    /// Checks ranges and references. A finding is the key that it is about and a message.
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

    /// Returns the time from the start of traffic to the start of the measurement.
    pub fn warmup(&self) -> Duration {
        Duration::from_secs(self.warmup_s)
    }

    /// Returns the length of the measurement.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.duration_s)
    }
}

impl Adapters {
    /// Returns the number of adapters of a class.
    pub fn count(&self, class: Class) -> usize {
        match class {
            Class::Status => self.status,
            Class::Interactive => self.interactive,
            Class::Drafting => self.drafting,
        }
    }

    /// Returns the index of the first adapter of a class.
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
