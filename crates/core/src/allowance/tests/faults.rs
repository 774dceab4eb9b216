//! Safety under faults: at most one process holds an ordinal, and no account exceeds its limits.

use proptest::{prelude::*, test_runner::TestCaseError};

use super::fleet::{Fleet, MS, Net, SECOND, Version};
use crate::bucket::Limits;

const LIMITS: Limits = Limits { rate: 1000, burst: 1500 };

#[derive(Clone, Debug)]
enum Fault {
    Wait(u64),
    Pause { ordinal: u8, ms: u64 },
    Kill(u8),
    Replace(u8),
    Release(u8),
    Cut(u8),
    Network { lost: u64, repeated: u64, late: u64, delay: u64 },
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (10..3000u64).prop_map(Fault::Wait),
        3 => (0..5u8, 50..8000u64).prop_map(|(ordinal, ms)| Fault::Pause { ordinal, ms }),
        1 => (0..5u8).prop_map(Fault::Kill),
        4 => (0..5u8).prop_map(Fault::Replace),
        1 => (0..5u8).prop_map(Fault::Release),
        2 => (0..32u8).prop_map(Fault::Cut),
        1 => (0..300u64, 0..300u64, 0..200u64, 0..400u64).prop_map(
            |(lost, repeated, late, delay)| Fault::Network { lost, repeated, late, delay }
        ),
        1 => Just(Fault::Heal),
    ]
}

fn healthy() -> Net {
    Net { lost: 0, repeated: 0, late: 0, delay: (500, 1500), isolated: 0 }
}

fn apply(f: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Wait(_) => {}
        Fault::Pause { ordinal, ms } => {
            if let Some(i) = f.newest(ordinal) {
                f.processes[i].paused = f.now + ms * MS;
            }
        }
        Fault::Kill(o) => {
            if let Some(i) = f.newest(o) {
                f.processes[i].ended = true;
            }
        }
        // The old process may keep running or resume after a pause.
        Fault::Replace(o) => f.start(o, None),
        Fault::Release(o) => {
            if let Some(i) = f.newest(o) {
                f.release(i);
            }
        }
        Fault::Cut(side) => f.net.isolated = side,
        Fault::Network { lost, repeated, late, delay } => {
            f.net = Net {
                lost,
                repeated,
                late,
                delay: (100, 200 + delay * MS),
                isolated: f.net.isolated,
            };
        }
        Fault::Heal => f.net = healthy(),
    }
    let wait = if let Fault::Wait(ms) = fault { *ms } else { f.random(500) };
    run_with_demand(f, wait * MS);
}

// Runs for `us` with demand above the account's rate, at random hosts.
fn run_with_demand(f: &mut Fleet, us: u64) {
    let end = f.now + us;
    while f.now < end {
        f.run(5 * MS);
        f.largest_capacity = f.capacity().max(f.largest_capacity);
        let (host, used) = (f.random(5) as u8, f.random(40) + 1);
        let big = f.random(40) == 0;
        let cost = if big { f.random(LIMITS.burst) + 1 } else { used + f.random(40) };
        f.request(host, cost, used.min(cost));
    }
}

fn check(f: &mut Fleet, limits: Limits, from: u64) -> Result<(), TestCaseError> {
    prop_assert_eq!(f.double_holder, None);
    prop_assert!(f.largest_capacity <= LIMITS.burst);
    prop_assert!(!f.exceeded(limits, from));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    // Guards against two holders of an ordinal and against use above burst + rate x window, under
    // lost, late and repeated messages, pauses, replacements and partitions in any order.
    #[test]
    fn faults_break_no_guarantee(seed in 1..u64::MAX, faults in prop::collection::vec(fault(), 1..40)) {
        let mut f = Fleet::new(5, LIMITS, seed);
        f.hold = 300 * MS;
        for fault in &faults {
            apply(&mut f, fault);
        }
        check(&mut f, LIMITS, 0)?;
    }

    // Guards against authority of the old and the new holder that overlaps by the clock drift: the
    // old holder is cut off while candidates keep asking for its ordinal.
    #[test]
    fn a_replacement_never_overlaps(seed in 1..u64::MAX, rounds in 1..6u64) {
        let mut f = Fleet::new(5, LIMITS, seed);
        for n in 0..rounds {
            let o = f.random(5) as u8;
            f.net.isolated = 1 << o;
            run_with_demand(&mut f, 100 * MS);
            // The network passes requests of the new process; the old one is paused.
            if let Some(i) = f.newest(o) {
                f.processes[i].paused = f.now + 2 * SECOND + f.random(2 * SECOND);
            }
            f.net.isolated = 0;
            for _ in 0..=n {
                f.start(o, None);
            }
            run_with_demand(&mut f, 5 * SECOND);
        }
        check(&mut f, LIMITS, 0)?;
    }

    // Guards against a host that keeps using a higher rate because it cannot read the new rules.
    #[test]
    fn a_lower_rate_is_in_force_within_seconds(seed in 1..u64::MAX, blind in 0..5u8) {
        let mut f = Fleet::new(5, LIMITS, seed);
        run_with_demand(&mut f, SECOND);
        let limits = Limits { rate: 200, burst: 300 };
        f.version = Version { number: 2, limits, ..f.version };
        f.without_config = Some(blind);
        for i in 0..f.processes.len() {
            let delay = f.random(500 * MS);
            let version = f.version;
            f.configure(i, delay, version);
        }
        let from = f.now + 4 * SECOND;
        run_with_demand(&mut f, 12 * SECOND);
        check(&mut f, limits, from)?;
    }

    // Guards against hosts that use different group sizes and therefore different majorities and
    // shares.
    #[test]
    fn a_change_of_size_breaks_no_guarantee(
        seed in 1..u64::MAX,
        sizes in prop_oneof![Just((3, 5)), Just((5, 3)), Just((3, 4)), Just((4, 3)), Just((4, 5)), Just((5, 4))],
        spread in 0..6000u64,
        faults in prop::collection::vec(fault(), 0..12),
    ) {
        let (old, new) = sizes;
        let mut f = Fleet::new(old, LIMITS, seed);
        run_with_demand(&mut f, SECOND);
        f.version = Version { number: 2, hosts: new, ..f.version };
        for i in 0..f.processes.len() {
            let delay = f.random(spread * MS + 1);
            let version = f.version;
            f.configure(i, delay, version);
        }
        (old..new).for_each(|o| f.start(o, None));
        for fault in &faults {
            apply(&mut f, fault);
        }
        run_with_demand(&mut f, 8 * SECOND);
        check(&mut f, LIMITS, 0)?;
    }
}

// Guards against safety that comes from never admitting a process again.
#[test]
fn a_group_recovers_from_faults() {
    for seed in 1..20 {
        let mut f = Fleet::new(5, LIMITS, seed);
        for o in [1, 3] {
            apply(&mut f, &Fault::Kill(o));
        }
        apply(&mut f, &Fault::Cut(1));
        run_with_demand(&mut f, 4 * SECOND);
        f.net = healthy();
        for o in [1, 3] {
            apply(&mut f, &Fault::Replace(o));
        }
        run_with_demand(&mut f, 8 * SECOND);
        assert!(f.complete(), "seed {seed}");
        check(&mut f, LIMITS, 0).unwrap();
    }
}

// Guards against a change of the group size that never completes.
#[test]
fn a_change_of_size_ends() {
    for (old, new) in [(3, 5), (5, 3), (3, 4), (4, 3)] {
        let mut f = Fleet::new(old, LIMITS, 5);
        f.version = Version { number: 2, hosts: new, ..f.version };
        for i in 0..f.processes.len() {
            let delay = f.random(SECOND);
            let version = f.version;
            f.configure(i, delay, version);
        }
        (old..new).for_each(|o| f.start(o, None));
        run_with_demand(&mut f, 20 * SECOND);
        assert!(f.complete(), "{old} to {new}");
        for p in f.processes.iter().filter(|p| p.ordinal < new) {
            assert_eq!(p.authority(f.now).map(|a| a.parts), Some(new), "{old} to {new}");
        }
        check(&mut f, LIMITS, 0).unwrap();
    }
}
