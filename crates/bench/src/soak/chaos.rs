//! Fault injection: draws faults from the seed at random intervals, so that they overlap, and
//! reverts most of them after a random time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use yuccawing_platform_standin::{config, replica::Fault, store::Mode};

use super::{SoakPlan, Xorshift, fleet::SoakFleet, limits, starve::Starvation};
use crate::{
    Result,
    proxy::{Direction, Link},
};

/// How a fault is reverted; numbers are indices of hosts or replicas.
enum Revert {
    Resume(usize),
    Restart(usize),
    AwaitStop(usize, Instant),
    Store,
    Replica(usize),
    Link(String, String),
}

/// Shortest and longest time between the starts of two faults.
const FAULT_GAP_MS: (u64, u64) = (50, 700);

/// Shortest and longest duration of a fault.
const FAULT_DURATION_MS: (u64, u64) = (200, 2500);

/// Longest time from SIGTERM until the host is back.
const STOP_TIME: Duration = Duration::from_secs(10);

/// Interval at which a process that was sent SIGTERM is checked for its exit.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Injects faults for the duration of the plan, then reverts all that remain. Returns the number of
/// faults by kind.
///
/// # Errors
///
/// A host cannot be restarted.
pub async fn run(fleet: &mut SoakFleet, plan: SoakPlan) -> Result<BTreeMap<&'static str, usize>> {
    let mut rng = Xorshift::new(plan.seed);
    let mut counts = BTreeMap::new();
    let mut reverts: Vec<(Instant, Revert)> = Vec::new();
    let end = Instant::now() + plan.duration;
    let mut next = Instant::now();
    let named = limits::start(fleet, plan.seed);
    let mut starvation = Starvation::start(plan);
    while Instant::now() < end {
        let now = Instant::now();
        if now >= next {
            let until = now + rng.duration_ms(FAULT_DURATION_MS.0, FAULT_DURATION_MS.1);
            let kind = inject(fleet, &mut rng, until, &mut reverts)?;
            *counts.entry(kind).or_default() += 1;
            next = now + rng.duration_ms(FAULT_GAP_MS.0, FAULT_GAP_MS.1);
        }
        revert_due(fleet, &mut reverts, now)?;
        if let Some(s) = &mut starvation {
            s.step(fleet, now);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if let Some(s) = &mut starvation {
        s.end(fleet);
        counts.insert("starve", s.count);
    }
    while !reverts.is_empty() {
        revert_due(fleet, &mut reverts, Instant::now())?;
        tokio::time::sleep(STOP_POLL).await;
    }
    counts.insert("limit", named.len());
    limits::end(fleet, named);
    Ok(counts)
}

fn inject(
    fleet: &mut SoakFleet,
    rng: &mut Xorshift,
    until: Instant,
    reverts: &mut Vec<(Instant, Revert)>,
) -> Result<&'static str> {
    let now = Instant::now();
    let host = rng.below(fleet.hosts.len());
    let replica = rng.below(fleet.replicas.len());
    let is_running = fleet.hosts[host].process.is_some();
    let busy = reverts.iter().any(|(_, r)| {
        matches!(r, Revert::Resume(h) | Revert::Restart(h) | Revert::AwaitStop(h, _) if *h == host)
    });
    let add_disturbance = |fleet: &mut SoakFleet| fleet.faults.disturbances.push((now, until));
    let ip = fleet.hosts[host].ip.into();
    let add_host_fault = |fleet: &mut SoakFleet, until: Instant| {
        fleet.faults.host_faults.push((ip, now, until));
    };
    let kind = match rng.below(14) {
        0 if is_running && !busy => {
            add_disturbance(fleet);
            add_host_fault(fleet, until);
            fleet.signal(host, Signal::STOP);
            reverts.push((until, Revert::Resume(host)));
            "pause"
        }
        1 if is_running && !busy => {
            add_disturbance(fleet);
            add_host_fault(fleet, until);
            fleet.signal(host, Signal::KILL);
            fleet.hosts[host].process = None;
            reverts.push((until, Revert::Restart(host)));
            "kill"
        }
        2 if is_running && !busy => {
            add_disturbance(fleet);
            add_host_fault(fleet, now + STOP_TIME);
            fleet.signal(host, Signal::TERM);
            reverts.push((now, Revert::AwaitStop(host, now)));
            "stop"
        }
        3 => {
            fleet.signal(host, Signal::HUP);
            "reload"
        }
        4 => {
            add_disturbance(fleet);
            let modes = [
                Mode::Unavailable,
                Mode::RateLimited,
                Mode::Reset,
                Mode::Silent,
                Mode::Slow(Duration::from_millis(250)),
            ];
            fleet.store.set_mode(modes[rng.below(modes.len())]);
            reverts.push((until, Revert::Store));
            "store"
        }
        5 | 6 => {
            let faults = [
                Fault::Error,
                Fault::NotRun,
                Fault::NoResponse,
                Fault::Unresponsive,
                Fault::Reset(rng.below(4)),
                Fault::Truncate,
                Fault::ExtraResponse,
                Fault::Unframed,
                Fault::WrongId,
                Fault::Unsigned,
            ];
            fleet.replicas[replica].set_fault(faults[rng.below(faults.len())]);
            reverts.push((until, Revert::Replica(replica)));
            "replica"
        }
        7 => inject_on_link(fleet, rng, host, "store".to_owned(), until, reverts),
        8 | 9 => {
            let id = fleet.replicas[replica].spec.id.clone();
            inject_on_link(fleet, rng, host, id, until, reverts)
        }
        10 => {
            let r = fleet.replicas[replica].clone();
            // At least two replicas of each service must remain.
            let left = fleet.faults.leaving.keys().filter(|k| k[..1] == r.spec.id[..1]).count();
            let all = fleet.replicas.iter().filter(|x| x.spec.id[..1] == r.spec.id[..1]).count();
            if all - left > 2 && !fleet.faults.leaving.contains_key(&r.spec.id) {
                r.leave();
                fleet.register_replica(&r);
                fleet.faults.leaving.insert(r.spec.id.clone(), Instant::now());
            }
            "leave"
        }
        11 => {
            fleet.withdraw_key();
            "revoke"
        }
        12 => {
            let (key, value) =
                config::version_entry(&format!("a{}", rng.below(12)), fleet.version + 1);
            fleet.store.put(&key, &value);
            "version"
        }
        _ => {
            fleet.publish_config();
            "configuration"
        }
    };
    Ok(kind)
}

fn inject_on_link(
    fleet: &mut SoakFleet,
    rng: &mut Xorshift,
    host: usize,
    target: String,
    until: Instant,
    reverts: &mut Vec<(Instant, Revert)>,
) -> &'static str {
    let name = format!("h{host}");
    fleet.faults.disturbances.push((Instant::now(), until));
    fleet.faults.host_faults.push((fleet.hosts[host].ip.into(), Instant::now(), until));
    let kind = match rng.below(4) {
        0 => {
            let d = if rng.below(2) == 0 { Direction::Forward } else { Direction::Back };
            fleet.proxy.silence(&name, &target, d);
            return "silence";
        }
        1 => {
            fleet.proxy.set_link(&name, &target, Link { cut: true, ..Link::default() });
            "cut"
        }
        2 => {
            fleet.proxy.set_link(&name, &target, Link { blocked: true, ..Link::default() });
            "hold"
        }
        _ => {
            let delay = rng.duration_ms(20, 300);
            fleet.proxy.set_link(&name, &target, Link { delay, ..Link::default() });
            "delay"
        }
    };
    reverts.push((until, Revert::Link(name, target)));
    kind
}

fn revert_due(
    fleet: &mut SoakFleet,
    reverts: &mut Vec<(Instant, Revert)>,
    now: Instant,
) -> Result<()> {
    let (due, rest): (Vec<_>, Vec<_>) =
        std::mem::take(reverts).into_iter().partition(|(t, _)| *t <= now);
    *reverts = rest;
    for (_, u) in due {
        match u {
            Revert::Resume(h) => fleet.signal(h, Signal::CONT),
            Revert::Restart(h) => fleet.start_host(h)?,
            Revert::AwaitStop(h, stopped_at) if fleet.poll_stop(h, stopped_at) => {
                fleet.start_host(h)?
            }
            Revert::AwaitStop(..) => reverts.push((now + STOP_POLL, u)),
            Revert::Store => fleet.store.set_mode(Mode::Healthy),
            Revert::Replica(r) => fleet.replicas[r].set_fault(Fault::None),
            Revert::Link(from, to) => fleet.proxy.set_link(&from, &to, Link::default()),
        }
    }
    Ok(())
}
