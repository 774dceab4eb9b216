//! Open-loop load: requests are sent at their times, whether or not earlier ones have ended.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};

use super::Shared;
use crate::{
    client::{CompletionRequest, HttpClient, Outcome, PlainCall},
    driver::{Driver, TargetHost},
    metrics::Sample,
    plan::{account_key, adapter_name},
    scenario::{
        PlainKind, Scenario,
        build::{NOTES, ONCE},
    },
    trace::Arrival,
};

/// Wait for open requests after the longest deadline has passed.
const DRAIN: Duration = Duration::from_secs(15);

/// How often callers look up the hosts' addresses.
const LOOK_UP: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

#[derive(Deserialize)]
struct HostEntry {
    name: String,
    http: SocketAddr,
}

struct Load {
    scenario: Scenario,
    http: HttpClient,
    driver: Rc<Driver>,
    shared: Rc<Shared>,
    samples: RefCell<Vec<Sample>>,
    // Addresses as callers know them, by ordinal.
    known: RefCell<BTreeMap<usize, TargetHost>>,
    open: Cell<usize>,
    dropped: Cell<u64>,
}

/// Sends the trace and waits for the open requests. The result is a sample of each request, and the
/// number of requests that were not sent.
pub async fn run(
    s: &Scenario,
    trace: Vec<Arrival>,
    start: Instant,
    driver: Rc<Driver>,
    shared: Rc<Shared>,
) -> (Vec<Sample>, u64) {
    let load = Rc::new(Load {
        scenario: s.clone(),
        http: HttpClient::default(),
        driver,
        shared,
        samples: RefCell::default(),
        known: RefCell::default(),
        open: Cell::new(0),
        dropped: Cell::new(0),
    });
    load.look_up_once();
    let look_up = actix_rt::spawn(look_up(load.clone()));
    for a in trace {
        sleep_until(start + a.at).await;
        if load.open.get() >= s.inflight {
            load.dropped.set(load.dropped.get() + 1);
            continue;
        }
        load.open.set(load.open.get() + 1);
        actix_rt::spawn(one(load.clone(), a));
    }
    sleep_until(start + s.warmup() + s.duration()).await;
    let traffic = s.accounts.iter().flat_map(|a| &a.traffic);
    let deadline = Duration::from_millis(traffic.map(|t| t.deadline_ms).max().unwrap_or(0));
    let limit = Instant::now() + deadline + DRAIN;
    while load.open.get() > 0 && Instant::now() < limit {
        sleep(Duration::from_millis(50)).await;
    }
    look_up.abort();
    (load.samples.take(), load.dropped.get())
}

impl Load {
    /// The first addresses come from the fleet, as callers have some configured.
    fn look_up_once(&self) {
        let hosts = self.shared.hosts.borrow();
        *self.known.borrow_mut() = hosts.values().map(|h| (h.ordinal, h.target.clone())).collect();
    }

    /// The preferred host if the look-up shows it, or the next one.
    fn target(&self, preferred: usize) -> Option<(usize, TargetHost)> {
        let known = self.known.borrow();
        let next = known.range(preferred..).next().or_else(|| known.iter().next());
        next.map(|(o, t)| (*o, t.clone()))
    }
}

/// Refreshes the known addresses from any host that answers.
async fn look_up(load: Rc<Load>) {
    loop {
        sleep(LOOK_UP).await;
        let all = load.shared.hosts.borrow().clone();
        for h in all.values() {
            let ask = load.http.get::<Hosts>(h.target.addr, "/v1/hosts");
            let Ok(Ok(found)) = tokio::time::timeout(LOOK_UP, ask).await else { continue };
            let known: BTreeMap<_, _> = found
                .hosts
                .into_iter()
                .filter_map(|h| {
                    let ordinal = all.get(&h.name)?.ordinal;
                    Some((ordinal, TargetHost { name: h.name, addr: h.http }))
                })
                .collect();
            if !known.is_empty() {
                *load.known.borrow_mut() = known;
                break;
            }
        }
    }
}

async fn one(load: Rc<Load>, a: Arrival) {
    let account = &load.scenario.accounts[a.account].name;
    if let Some((host, to)) = load.target(a.host) {
        let (outcome, prompt) = match a.plain {
            Some(kind) => (call(&load, &to, kind, &account_key(account)).await, 0),
            None => ask(&load, &to, &a, account_key(account)).await,
        };
        load.samples.borrow_mut().push(Sample { arrival: a, host, prompt, outcome });
    }
    load.open.set(load.open.get() - 1);
}

async fn ask(load: &Load, to: &TargetHost, a: &Arrival, key: String) -> (Outcome, usize) {
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

async fn call(load: &Load, to: &TargetHost, kind: PlainKind, key: &str) -> Outcome {
    let mut c = PlainCall {
        mark: String::new(),
        key: Some(key.into()),
        path: format!("{NOTES}/1"),
        ticket: None,
    };
    if kind == PlainKind::Notes {
        return load.driver.call(to, c, true, false).await;
    }
    c.path = format!("{ONCE}/1");
    // Without a ticket the call is refused, and the refusal is recorded.
    c.ticket = load.http.ticket(to.addr, key).await.ok();
    load.driver.call(to, c, false, false).await
}
