//! Fleets, requests, load and assertions for the integration tests.
#![allow(dead_code, unused_macros, unused_imports, reason = "each test file uses a part of it")]

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::future::join_all;
pub use yuccabench::{
    Result,
    checker::{Evidence, Guarantee, Violation},
    client::{CompletionRequest, Executed, Outcome, PlainCall},
    driver::{Driver, TargetHost},
    fleet::{Fleet, JournalEntry, eventually},
    plan::{FleetPlan, WeightStorePlan, account_key, adapter_name},
};

/// Limit of a whole test; reached only if it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Limit for what must happen "within seconds" but is not itself the guarantee under test.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(40);

/// Limit of fleets that run at once in one test binary; more would slow each other down.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

struct FleetPermit;

impl FleetPermit {
    fn acquire() -> Self {
        let mut n = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *n >= MAX_FLEETS {
            n = ENDED.wait(n).unwrap_or_else(PoisonError::into_inner);
        }
        *n += 1;
        Self
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Runs a test body with a time limit, once a fleet may start.
pub fn run(name: &str, body: impl Future<Output = Result<()>>) {
    let _permit = FleetPermit::acquire();
    actix_rt::System::new().block_on(async {
        match tokio::time::timeout(TEST_TIMEOUT, body).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => panic!("{name}: {e}"),
            Err(_) => panic!("{name} took longer than {TEST_TIMEOUT:?}"),
        }
    });
}

/// Defines a test for each named body.
macro_rules! cases {
    ($($(#[$m:meta])* $name:ident: $body:block)*) => {
        $($(#[$m])* #[test] fn $name() {
            support::run(stringify!($name), async { $body; Ok(()) });
        })*
    };
}
pub(crate) use cases;

/// Starts a fleet; returns it with a driver and its hosts.
pub async fn fleet(plan: FleetPlan) -> Result<(Fleet, Driver, Vec<TargetHost>)> {
    let f = Fleet::start(plan).await?;
    let d = Driver::new(&f);
    let t = targets(&f);
    Ok((f, d, t))
}

/// Returns the hosts of a fleet.
pub fn targets(f: &Fleet) -> Vec<TargetHost> {
    f.hosts().map(TargetHost::from).collect()
}

/// Returns a request of the account `press`, which every fleet has.
pub fn request(adapter: &str, version: &str, max_tokens: u64) -> CompletionRequest {
    CompletionRequest {
        key: Some(account_key("press")),
        adapter: adapter.into(),
        version: Some(version.into()),
        max_tokens,
        ..CompletionRequest::default()
    }
}

/// Runs `workers` callers that each send one request after the other until `span` has passed.
/// `make` returns host and request for a running number.
pub async fn run_load(
    d: &Driver,
    workers: usize,
    span: Duration,
    make: impl Fn(usize) -> (TargetHost, CompletionRequest),
) -> Vec<Outcome> {
    let end = Instant::now() + span;
    let next = std::cell::Cell::new(0);
    let (next, make) = (&next, &make);
    let one = |_| async move {
        let mut out = Vec::new();
        while Instant::now() < end {
            let (to, a) = make(next.replace(next.get() + 1));
            let o = d.complete(&to, a).await;
            if !o.is_ok() {
                // A refusal arrives at once; without a pause thousands would be sent.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            out.push(o);
        }
        out
    };
    join_all((0..workers).map(one)).await.into_iter().flatten().collect()
}

/// Fails if the checker finds a violation; returns the evidence.
pub async fn assert_no_violations(f: &Fleet, d: &Driver) -> Result<Evidence> {
    let e = d.evidence(f).await?;
    let found = e.check();
    assert!(
        found.is_empty(),
        "{} violations, first: {:#?}",
        found.len(),
        &found[..found.len().min(3)]
    );
    Ok(e)
}

/// Counts the successful outcomes.
pub fn served(out: &[Outcome]) -> usize {
    out.iter().filter(|o| o.is_ok()).count()
}

/// Fails if any outcome is not successful, or if there is none.
pub fn assert_all_served(out: &[Outcome]) {
    let bad = out.iter().find(|o| !o.is_ok());
    assert!(bad.is_none() && !out.is_empty(), "{} of {} served; {bad:?}", served(out), out.len());
}

/// Repeats the request `a` until `to` serves it; fails after `within`.
pub async fn wait_served_at(
    d: &Driver,
    to: &TargetHost,
    a: &CompletionRequest,
    within: Duration,
) -> Result<()> {
    eventually("a request to be served", within, || async {
        d.complete(to, a.clone()).await.is_ok()
    })
    .await
}
