//! Short soaks with fixed seeds, among them those that once failed.

use std::time::Duration;

use yuccabench::soak::{SoakPlan, run_seed};

fn soak(seed: u64, starve: bool) {
    let plan = SoakPlan {
        seed,
        duration: Duration::from_secs(5),
        hosts: 3,
        engines: 4,
        plain: 4,
        callers: 9,
        starve,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let verdict = runtime.block_on(run_seed(plan)).unwrap();
    assert!(verdict.violations.is_empty(), "seed {seed}: {:#?}", verdict.violations);
}

macro_rules! seeds {
    ($($name:ident: $seed:literal $(, $starve:literal)?)*) => {
        $(#[test] fn $name() { soak($seed, false $(|| $starve)?); })*
    };
}

seeds! {
    // Guards against violations under pauses, kills, stops and a revoked key on three hosts.
    seed_one: 1
    // Guards against violations under faults of the store and of replicas.
    seed_five: 5
    // Guards against violations under cut and blocked links together with stops.
    seed_seven: 7
    // Guards against a host that was paused while a key was revoked and accepts the key when it
    // resumes. This happened because digests received during the pause made its configuration
    // look current.
    seed_two_hundred_and_seven: 207
    // Guards against a withdrawn key that stays in use at hosts that cannot read the store, while the
    // digests of others reach them late.
    starved_seed_thirty_five: 35, true
}
