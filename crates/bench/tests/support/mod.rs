//! What the integration tests share.
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

/// Bound of a whole test; only a fault reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Time for anything that must happen "within seconds" and is not itself the guarantee under test.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(40);

/// Fleets that run at once in one test binary, so that they do not slow each other down.
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

/// Runs a test body with a bound on its time.
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

/// Names each case.
macro_rules! cases {
    ($($(#[$m:meta])* $name:ident: $body:block)*) => {
        $($(#[$m])* #[test] fn $name() {
            support::run(stringify!($name), async { $body; Ok(()) });
        })*
    };
}
pub(crate) use cases;

/// A fleet, its driver and its hosts.
pub async fn fleet(plan: FleetPlan) -> Result<(Fleet, Driver, Vec<TargetHost>)> {
    let f = Fleet::start(plan).await?;
    let d = Driver::new(&f);
    let t = targets(&f);
    Ok((f, d, t))
}

/// The hosts of a fleet.
pub fn targets(f: &Fleet) -> Vec<TargetHost> {
    f.hosts().map(TargetHost::from).collect()
}

/// A request of the account that every fleet has.
pub fn request(adapter: &str, version: &str, max_tokens: u64) -> CompletionRequest {
    CompletionRequest {
        key: Some(account_key("press")),
        adapter: adapter.into(),
        version: Some(version.into()),
        max_tokens,
        ..CompletionRequest::default()
    }
}

/// `workers` callers that send requests one after the other until `span` has passed. `make` gives
/// the next host and request by a running number.
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
                // A refusal comes at once; without a pause it would be sent thousands of times.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            out.push(o);
        }
        out
    };
    join_all((0..workers).map(one)).await.into_iter().flatten().collect()
}

/// Fails if there is any violation.
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

/// Number of successful outcomes.
pub fn served(out: &[Outcome]) -> usize {
    out.iter().filter(|o| o.is_ok()).count()
}

/// Fails unless all outcomes are successful.
pub fn assert_all_served(out: &[Outcome]) {
    let bad = out.iter().find(|o| !o.is_ok());
    assert!(bad.is_none() && !out.is_empty(), "{} of {} served; {bad:?}", served(out), out.len());
}

/// Waits until a request with `a` is served at `to`.
pub async fn wait_served_at(
    d: &Driver,
    to: &TargetHost,
    a: &CompletionRequest,
    within: Duration,
) -> Result<()> {
    eventually("a served request", within, || async { d.complete(to, a.clone()).await.is_ok() })
        .await
}
