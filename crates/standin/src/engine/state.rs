//! State of an engine: loaded instances, batch, wait queue and streams.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

use super::Faults;
use crate::{
    common::{Journal, Random, lock},
    settings::EngineSettings,
};

/// Reports kept to serve an outdated one under the `lag_ms` fault.
const MAX_REPORTS: usize = 1024;

/// Most recent prompt prefixes that a report contains.
const MAX_PREFIXES: usize = 32;

/// Characters of a prompt that count as its prefix.
const PREFIX_CHARS: usize = 32;

/// State of an engine that its handlers share.
pub struct State {
    pub faults: Faults,
    pub boot: u64,
    /// Highest fencing token seen; kept across restarts.
    pub fence: u64,
    pub resident: BTreeMap<String, u64>,
    pub loading: BTreeMap<String, watch::Receiver<bool>>,
    pub streams: HashMap<String, Arc<Stream>>,
    pub running: usize,
    pub random: Random,
    pub journal: Journal,
    /// Incremented when the `silent` fault is switched on; responses of an earlier epoch send
    /// nothing more.
    pub silence_epoch: u64,
    waiting: BinaryHeap<Reverse<Waiting>>,
    arrivals: u64,
    prefixes: VecDeque<String>,
    reports: VecDeque<(Instant, Report)>,
}

/// Load report, as hosts read it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    boot: String,
    running: usize,
    waiting: usize,
    batch: usize,
    slots: usize,
    resident: Vec<ResidentReport>,
    prefixes: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
struct ResidentReport {
    name: String,
    running: u64,
}

/// Completion whose tokens depend only on the instance and the prompt.
pub struct Stream {
    pub id: String,
    pub instance: String,
    pub boot: u64,
    pub total: u64,
    pub prompt_tokens: u64,
    pub progress: watch::Sender<Progress>,
    start: Mutex<Option<oneshot::Receiver<()>>>,
}

/// Progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    pub generated: u64,
    pub phase: Phase,
}

/// Phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waiting or running.
    Running,
    /// Complete.
    Done,
    /// Cancelled by its caller.
    Cancelled,
    /// Lost by a restart of the engine.
    Lost,
}

/// Stream that waits for a batch slot, ordered by priority number (lowest first), then by arrival.
struct Waiting {
    key: (u8, u64),
    signal: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

impl Stream {
    /// Takes the start signal of a stream that has to wait for a batch slot. `None` for other
    /// streams and on later calls.
    pub fn take_start(&self) -> Option<oneshot::Receiver<()>> {
        lock(&self.start).take()
    }

    pub fn is_running(&self) -> bool {
        self.progress.borrow().phase == Phase::Running
    }

    /// Returns the text of token `i`.
    pub fn text(&self, i: u64) -> String {
        let mut parts = self.instance.splitn(3, ':');
        let (adapter, version) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        format!("{adapter}:{version}#{i} ")
    }
}

impl State {
    pub fn new(faults: Faults) -> Self {
        Self {
            faults,
            boot: 1,
            fence: 0,
            resident: BTreeMap::new(),
            loading: BTreeMap::new(),
            streams: HashMap::new(),
            running: 0,
            random: Random::default(),
            journal: Journal::default(),
            silence_epoch: 0,
            waiting: BinaryHeap::new(),
            arrivals: 0,
            prefixes: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Appends an entry to the journal and adds the boot number to it.
    pub fn record(&mut self, mut entry: Value) {
        entry["boot"] = json!(self.boot);
        self.journal.push(entry);
    }

    /// Returns whether a command is outdated by its fencing token, and raises the highest token
    /// seen.
    pub fn is_fenced(&mut self, s: &EngineSettings, fence: u64) -> bool {
        if !s.fencing {
            return false;
        }
        if fence < self.fence {
            return true;
        }
        self.fence = fence;
        false
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts a stream in a free batch slot or puts it into the wait queue.
    pub fn admit(
        &mut self,
        s: &EngineSettings,
        id: &str,
        instance: &str,
        prompt: &str,
        (priority, max): (u8, u64),
    ) -> Arc<Stream> {
        let start = if self.running < s.batch {
            self.running += 1;
            None
        } else {
            let (signal, start) = oneshot::channel();
            self.arrivals += 1;
            self.waiting.push(Reverse(Waiting { key: (priority, self.arrivals), signal }));
            Some(start)
        };
        let progress = Progress { generated: 0, phase: Phase::Running };
        let stream = Arc::new(Stream {
            id: id.into(),
            instance: instance.into(),
            boot: self.boot,
            total: answer_len(prompt, max),
            prompt_tokens: prompt_tokens(prompt),
            progress: watch::channel(progress).0,
            start: Mutex::new(start),
        });
        *self.resident.entry(instance.into()).or_default() += 1;
        self.streams.insert(id.into(), stream.clone());
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_front(prefix);
        self.prefixes.truncate(MAX_PREFIXES);
        self.record_report(s);
        stream
    }

    /// Ends a running stream with this phase.
    pub fn finish(&mut self, stream: &Stream, phase: Phase) {
        let mut generated = 0;
        stream.progress.send_modify(|p| {
            p.phase = phase;
            generated = p.generated;
        });
        if let Some(n) = self.resident.get_mut(&stream.instance) {
            *n = n.saturating_sub(1);
        }
        self.record(json!({
            "kind": "end", "request_id": stream.id, "instance": stream.instance,
            "tokens": generated, "prompt_tokens": stream.prompt_tokens, "outcome": phase,
        }));
    }

    /// Frees a batch slot and starts waiting streams.
    pub fn release_slot(&mut self, s: &EngineSettings) {
        self.running = self.running.saturating_sub(1);
        while self.running < s.batch {
            let Some(Reverse(w)) = self.waiting.pop() else { break };
            if w.signal.send(()).is_ok() {
                self.running += 1;
            }
        }
        self.record_report(s);
    }

    pub fn remove_stream(&mut self, stream: &Arc<Stream>) {
        if self.streams.get(&stream.id).is_some_and(|s| Arc::ptr_eq(s, stream)) {
            self.streams.remove(&stream.id);
        }
    }

    /// Restarts cold: drops all loaded instances and streams.
    pub fn restart(&mut self, s: &EngineSettings) {
        let streams: Vec<_> = self.streams.drain().map(|(_, s)| s).collect();
        for stream in streams {
            if stream.is_running() {
                self.finish(&stream, Phase::Lost);
            }
        }
        self.boot += 1;
        self.resident.clear();
        self.loading.clear();
        self.waiting.clear();
        self.prefixes.clear();
        self.running = 0;
        self.record(json!({"kind": "restart"}));
        self.record_report(s);
    }

    /// Stores the current report for [`State::lagged_report`].
    pub fn record_report(&mut self, s: &EngineSettings) {
        let report = self.report(s);
        self.reports.push_back((Instant::now(), report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Returns the report from `lag_ms` ago.
    pub fn lagged_report(&self, s: &EngineSettings) -> Report {
        let lag = Duration::from_millis(self.faults.lag_ms);
        if lag.is_zero() {
            return self.report(s);
        }
        let now = Instant::now();
        let old = self.reports.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        old.or(self.reports.front()).map_or_else(|| self.report(s), |r| r.1.clone())
    }

    fn report(&self, s: &EngineSettings) -> Report {
        let resident = self.resident.iter();
        Report {
            boot: format!("{}-{}", s.name, self.boot),
            running: self.running,
            waiting: self.waiting.len(),
            batch: s.batch,
            slots: s.slots,
            resident: resident
                .map(|(name, running)| ResidentReport { name: name.clone(), running: *running })
                .collect(),
            prefixes: self.prefixes.iter().cloned().collect(),
        }
    }
}

/// Counts a prompt as one token per 4 bytes, at least 1.
fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4).max(1)
}

/// Returns the tokens of the completion: `max`, or N if the prompt has the word `stop=N` and N is
/// lower.
fn answer_len(prompt: &str, max: u64) -> u64 {
    let stop = prompt.split_whitespace().find_map(|w| w.strip_prefix("stop=")?.parse().ok());
    stop.unwrap_or(max).min(max)
}
