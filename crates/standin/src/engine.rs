//! Model engine: loads adapters on command and generates deterministic token streams.
//!
//! A stream is generated whether or not a client reads it, so an interrupted response can be
//! resumed. The engine never evicts adapters by itself: it executes commands and records in its
//! journal whether an unloaded instance was in use.

mod http;
mod state;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

pub use self::http::routes;
use self::state::{Phase, State, Stream};
use crate::{common::lock, settings::EngineSettings};

/// Time after the end of a stream during which it can still be resumed.
const RESUME_WINDOW: Duration = Duration::from_secs(30);

/// State of an engine.
pub struct Engine {
    settings: EngineSettings,
    state: Mutex<State>,
}

/// Request that changes faults and timing. Fields that are left out keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultChange {
    token_ms: Option<u64>,
    first_ms: Option<u64>,
    lag_ms: Option<u64>,
    load_fail_ppm: Option<u64>,
    cut_after: Option<u64>,
    duplicate: Option<bool>,
    cross: Option<bool>,
    silent: Option<bool>,
}

/// Current faults and timing.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Time between tokens in milliseconds.
    token_ms: u64,
    /// Time to the first token in milliseconds.
    first_ms: u64,
    /// Age of the load reports in milliseconds.
    lag_ms: u64,
    /// Share of loads that fail, in parts per million.
    load_fail_ppm: u64,
    /// Tokens after which the connection of each response is closed; 0 for never.
    cut_after: u64,
    /// Send each chunk twice.
    duplicate: bool,
    /// Send a chunk with the id of another request before every second chunk.
    cross: bool,
    /// Responses that are open when this is switched on send nothing more; new ones work.
    silent: bool,
}

impl Faults {
    fn change(&mut self, c: &FaultChange) {
        self.token_ms = c.token_ms.unwrap_or(self.token_ms);
        self.first_ms = c.first_ms.unwrap_or(self.first_ms);
        self.lag_ms = c.lag_ms.unwrap_or(self.lag_ms);
        self.load_fail_ppm = c.load_fail_ppm.unwrap_or(self.load_fail_ppm);
        self.cut_after = c.cut_after.unwrap_or(self.cut_after);
        self.duplicate = c.duplicate.unwrap_or(self.duplicate);
        self.cross = c.cross.unwrap_or(self.cross);
        self.silent = c.silent.unwrap_or(self.silent);
    }
}

impl Engine {
    /// Creates an engine without loaded adapters.
    pub fn new(settings: EngineSettings) -> Self {
        let faults = Faults {
            token_ms: settings.token_ms,
            first_ms: settings.first_ms,
            ..Faults::default()
        };
        Self { settings, state: Mutex::new(State::new(faults)) }
    }

    /// Waits for a batch slot, then generates the tokens of a stream.
    async fn generate(&self, stream: Arc<Stream>) {
        if let Some(start) = stream.take_start()
            && start.await.is_err()
        {
            return;
        }
        let first = {
            let mut s = lock(&self.state);
            if s.boot != stream.boot {
                return;
            }
            if !stream.is_running() {
                s.release_slot(&self.settings);
                s.remove_stream(&stream);
                return;
            }
            s.record(json!({
                "kind": "begin", "request_id": stream.id, "instance": stream.instance,
            }));
            s.faults.first_ms
        };
        let mut next = Instant::now() + Duration::from_millis(first);
        for i in 0..stream.total {
            tokio::time::sleep_until(next).await;
            if !stream.is_running() {
                break;
            }
            stream.progress.send_modify(|p| p.generated = i + 1);
            next += Duration::from_millis(lock(&self.state).faults.token_ms);
        }
        {
            let mut s = lock(&self.state);
            if s.boot != stream.boot {
                return;
            }
            if stream.is_running() {
                s.finish(&stream, Phase::Done);
            }
            s.release_slot(&self.settings);
        }
        tokio::time::sleep(RESUME_WINDOW).await;
        lock(&self.state).remove_stream(&stream);
    }
}
