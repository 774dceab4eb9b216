//! Faults, drawn from the seed. They come in series and overlap.

use std::{
    collections::BTreeMap,
    sync::PoisonError,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use yuccawing_platform_standin::{config, replica::Fault, store::Mode};

use super::{Dice, Plan, fleet::Fleet};
use crate::{
    Result,
    proxy::{Direction, Link},
};

/// What is undone later.
enum Undo {
    Resume(usize),
    Launch(usize),
    Stopped(usize, Instant),
    Store,
    Replica(usize),
    Link(String, String),
}

/// Pause between two faults, in ms.
const GAP_MS: (u64, u64) = (50, 700);

/// Duration of a fault, in ms.
const LAST_MS: (u64, u64) = (200, 2500);

/// Interval of looking for the end of a process that was asked to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Injects faults for the time of the plan, then undoes all of them. Returns their number by kind.
///
/// # Errors
///
/// A host cannot be started again.
pub async fn run(fleet: &mut Fleet, plan: Plan) -> Result<BTreeMap<&'static str, usize>> {
    let mut dice = Dice::new(plan.seed);
    let mut counts = BTreeMap::new();
    let mut undo: Vec<(Instant, Undo)> = Vec::new();
    let end = Instant::now() + plan.time;
    let mut next = Instant::now();
    while Instant::now() < end {
        let now = Instant::now();
        if now >= next {
            let until = now + dice.millis(LAST_MS.0, LAST_MS.1);
            let kind = fault(fleet, &mut dice, until, &mut undo)?;
            *counts.entry(kind).or_default() += 1;
            next = now + dice.millis(GAP_MS.0, GAP_MS.1);
        }
        revert(fleet, &mut undo, now)?;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    while !undo.is_empty() {
        revert(fleet, &mut undo, Instant::now())?;
        tokio::time::sleep(STOP_POLL).await;
    }
    Ok(counts)
}

fn fault(
    fleet: &mut Fleet,
    dice: &mut Dice,
    until: Instant,
    undo: &mut Vec<(Instant, Undo)>,
) -> Result<&'static str> {
    let now = Instant::now();
    let host = dice.below(fleet.hosts.len());
    let replica = dice.below(fleet.replicas.len());
    let up = fleet.hosts[host].process.is_some();
    let busy = undo.iter().any(
        |(_, u)| matches!(u, Undo::Resume(h) | Undo::Launch(h) | Undo::Stopped(h, _) if *h == host),
    );
    let disturb = |fleet: &mut Fleet| fleet.notes.disturbed.push((now, until));
    let kind = match dice.below(14) {
        0 if up && !busy => {
            disturb(fleet);
            fleet.signal(host, Signal::STOP);
            undo.push((until, Undo::Resume(host)));
            "pause"
        }
        1 if up && !busy => {
            disturb(fleet);
            fleet.signal(host, Signal::KILL);
            fleet.hosts[host].process = None;
            undo.push((until, Undo::Launch(host)));
            "kill"
        }
        2 if up && !busy => {
            disturb(fleet);
            fleet.signal(host, Signal::TERM);
            undo.push((now, Undo::Stopped(host, now)));
            "stop"
        }
        3 => {
            fleet.signal(host, Signal::HUP);
            "reload"
        }
        4 => {
            disturb(fleet);
            let modes = [
                Mode::Unavailable,
                Mode::RateLimited,
                Mode::Reset,
                Mode::Silent,
                Mode::Slow(Duration::from_millis(250)),
            ];
            fleet.store.set_mode(modes[dice.below(modes.len())]);
            undo.push((until, Undo::Store));
            "store"
        }
        5 | 6 => {
            let faults = [
                Fault::Error,
                Fault::NotRun,
                Fault::NoResponse,
                Fault::Unresponsive,
                Fault::Reset(dice.below(4)),
                Fault::Truncate,
                Fault::ExtraResponse,
                Fault::Unframed,
                Fault::WrongId,
                Fault::Unsigned,
            ];
            fleet.replicas[replica].set_fault(faults[dice.below(faults.len())]);
            undo.push((until, Undo::Replica(replica)));
            "replica"
        }
        7 => link(fleet, dice, host, "store".to_owned(), until, undo),
        8 | 9 => {
            let id = fleet.replicas[replica].spec.id.clone();
            link(fleet, dice, host, id, until, undo)
        }
        10 => {
            let r = fleet.replicas[replica].clone();
            // Two replicas of each service stay.
            let left = fleet.notes.left.keys().filter(|k| k[..1] == r.spec.id[..1]).count();
            let all = fleet.replicas.iter().filter(|x| x.spec.id[..1] == r.spec.id[..1]).count();
            if all - left > 2 && !fleet.notes.left.contains_key(&r.spec.id) {
                r.leave();
                fleet.register(&r);
                fleet.notes.left.insert(r.spec.id.clone(), Instant::now());
            }
            "leave"
        }
        11 => {
            let old = fleet.key();
            let next = format!("key-{}", fleet.notes.withdrawn.len() + 1);
            *fleet.key.lock().unwrap_or_else(PoisonError::into_inner) = next;
            fleet.configure();
            fleet.notes.withdrawn.insert(old, Instant::now());
            "revoke"
        }
        12 => {
            let (key, value) =
                config::version_entry(&format!("a{}", dice.below(12)), fleet.version + 1);
            fleet.store.put(&key, &value);
            "version"
        }
        _ => {
            fleet.configure();
            "configuration"
        }
    };
    Ok(kind)
}

fn link(
    fleet: &mut Fleet,
    dice: &mut Dice,
    host: usize,
    target: String,
    until: Instant,
    undo: &mut Vec<(Instant, Undo)>,
) -> &'static str {
    let name = format!("h{host}");
    fleet.notes.disturbed.push((Instant::now(), until));
    let kind = match dice.below(4) {
        0 => {
            let d = if dice.below(2) == 0 { Direction::Forward } else { Direction::Back };
            fleet.proxy.silence(&name, &target, d);
            return "silence";
        }
        1 => {
            fleet.proxy.set(&name, &target, Link { cut: true, ..Link::default() });
            "cut"
        }
        2 => {
            fleet.proxy.set(&name, &target, Link { drop: true, ..Link::default() });
            "hold"
        }
        _ => {
            let delay = dice.millis(20, 300);
            fleet.proxy.set(&name, &target, Link { delay, ..Link::default() });
            "delay"
        }
    };
    undo.push((until, Undo::Link(name, target)));
    kind
}

fn revert(fleet: &mut Fleet, undo: &mut Vec<(Instant, Undo)>, now: Instant) -> Result<()> {
    let (due, rest): (Vec<_>, Vec<_>) =
        std::mem::take(undo).into_iter().partition(|(t, _)| *t <= now);
    *undo = rest;
    for (_, u) in due {
        match u {
            Undo::Resume(h) => fleet.signal(h, Signal::CONT),
            Undo::Launch(h) => fleet.launch(h)?,
            Undo::Stopped(h, asked) if fleet.stopped(h, asked) => fleet.launch(h)?,
            Undo::Stopped(..) => undo.push((now + STOP_POLL, u)),
            Undo::Store => fleet.store.set_mode(Mode::Healthy),
            Undo::Replica(r) => fleet.replicas[r].set_fault(Fault::None),
            Undo::Link(from, to) => fleet.proxy.set(&from, &to, Link::default()),
        }
    }
    Ok(())
}
