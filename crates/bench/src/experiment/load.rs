//! Open-loop load generator: sends each request at its time, whether or not earlier ones have
//! ended.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};

use super::RunningHosts;
use crate::{
    client::{CompletionRequest, HttpClient, Outcome, PlainCall},
    driver::{Driver, TargetHost},
    metrics::Sample,
    plan::{account_key, adapter_name},
    scenario::{
        PlainKind, Scenario,
        build::{NOTES_PATH, ONCE_PATH},
    },
    trace::Arrival,
};

/// Wait for requests in flight after the longest deadline has passed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval and timeout of the callers' address look-ups.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

#[derive(Deserialize)]
struct HostEntry {
    name: String,
    http: SocketAddr,
}

struct LoadGenerator {
    scenario: Scenario,
    http: HttpClient,
    driver: Rc<Driver>,
    running: Rc<RunningHosts>,
    samples: RefCell<Vec<Sample>>,
    // Addresses that the callers know, by ordinal.
    targets: RefCell<BTreeMap<usize, TargetHost>>,
    inflight: Cell<usize>,
    dropped: Cell<u64>,
}

/// Sends the trace and waits for the requests in flight. Returns a sample for each request sent and
/// the number of requests that were not sent.
pub async fn run(
    s: &Scenario,
    trace: Vec<Arrival>,
    start: Instant,
    driver: Rc<Driver>,
    running: Rc<RunningHosts>,
) -> (Vec<Sample>, u64) {
    let load = Rc::new(LoadGenerator {
        scenario: s.clone(),
        http: HttpClient::default(),
        driver,
        running,
        samples: RefCell::default(),
        targets: RefCell::default(),
        inflight: Cell::new(0),
        dropped: Cell::new(0),
    });
    load.init_targets();
    let refresh = actix_rt::spawn(refresh_targets(load.clone()));
    for a in trace {
        sleep_until(start + a.at).await;
        if load.inflight.get() >= s.inflight {
            load.dropped.set(load.dropped.get() + 1);
            continue;
        }
        load.inflight.set(load.inflight.get() + 1);
        actix_rt::spawn(send(load.clone(), a));
    }
    sleep_until(start + s.warmup() + s.duration()).await;
    let traffic = s.accounts.iter().flat_map(|a| &a.traffic);
    let deadline = Duration::from_millis(traffic.map(|t| t.deadline_ms).max().unwrap_or(0));
    let limit = Instant::now() + deadline + DRAIN_TIMEOUT;
    while load.inflight.get() > 0 && Instant::now() < limit {
        sleep(Duration::from_millis(50)).await;
    }
    refresh.abort();
    (load.samples.take(), load.dropped.get())
}

impl LoadGenerator {
    /// Takes the first addresses from the fleet: real callers have some configured.
    fn init_targets(&self) {
        let hosts = self.running.hosts.borrow();
        *self.targets.borrow_mut() =
            hosts.values().map(|h| (h.ordinal, h.target.clone())).collect();
    }

    /// Returns the preferred host if the look-up lists it, otherwise the one with the next ordinal.
    fn target(&self, preferred: usize) -> Option<(usize, TargetHost)> {
        let targets = self.targets.borrow();
        let next = targets.range(preferred..).next().or_else(|| targets.iter().next());
        next.map(|(o, t)| (*o, t.clone()))
    }
}

/// Repeats the address look-up at the first host that answers.
async fn refresh_targets(load: Rc<LoadGenerator>) {
    loop {
        sleep(LOOKUP_INTERVAL).await;
        let all = load.running.hosts.borrow().clone();
        for h in all.values() {
            let ask = load.http.get::<Hosts>(h.target.addr, "/v1/hosts");
            let Ok(Ok(found)) = tokio::time::timeout(LOOKUP_INTERVAL, ask).await else { continue };
            let targets: BTreeMap<_, _> = found
                .hosts
                .into_iter()
                .filter_map(|h| {
                    let ordinal = all.get(&h.name)?.ordinal;
                    Some((ordinal, TargetHost { name: h.name, addr: h.http }))
                })
                .collect();
            if !targets.is_empty() {
                *load.targets.borrow_mut() = targets;
                break;
            }
        }
    }
}

async fn send(load: Rc<LoadGenerator>, a: Arrival) {
    let account = &load.scenario.accounts[a.account].name;
    if let Some((host, to)) = load.target(a.host) {
        let (outcome, prompt) = match a.plain {
            Some(kind) => (send_call(&load, &to, kind, &account_key(account)).await, 0),
            None => send_completion(&load, &to, &a, account_key(account)).await,
        };
        load.samples.borrow_mut().push(Sample { arrival: a, host, prompt, outcome });
    }
    load.inflight.set(load.inflight.get() - 1);
}

async fn send_completion(
    load: &LoadGenerator,
    to: &TargetHost,
    a: &Arrival,
    key: String,
) -> (Outcome, usize) {
    let mut prompt = format!("stop={} ", a.tokens);
    while prompt.len() < a.prompt {
        prompt.push_str("plates and rollers ");
    }
    let ask = CompletionRequest {
        mark: String::new(),
        key: Some(key),
        adapter: adapter_name(a.adapter),
        version: Some(load.scenario.adapters.versions[a.version].to_string()),
        prompt,
        max_tokens: a.max_tokens,
        class: None,
        deadline: a.deadline,
        stream: true,
    };
    let outcome = load.driver.complete(to, ask.clone()).await;
    let prompt = CompletionRequest { mark: outcome.mark.clone(), ..ask }.full_prompt().len();
    (outcome, prompt)
}

async fn send_call(load: &LoadGenerator, to: &TargetHost, kind: PlainKind, key: &str) -> Outcome {
    let mut c = PlainCall {
        mark: String::new(),
        key: Some(key.into()),
        path: format!("{NOTES_PATH}/1"),
        ticket: None,
    };
    if kind == PlainKind::Notes {
        return load.driver.call(to, c, true, false).await;
    }
    c.path = format!("{ONCE_PATH}/1");
    // If no ticket is available, send the call anyway: its refusal is recorded.
    c.ticket = load.http.ticket(to.addr, key).await.ok();
    load.driver.call(to, c, false, false).await
}
