//! State of one engine: its instances, the pins on them and the fencing token.

use std::{collections::BTreeMap, time::Duration};

use arcstr::ArcStr;

use super::{AdapterVersion, MAX_REPORT_LAG, PIN_DURATION, Report, Spec};
use crate::{
    ids::{Generation, Incarnation},
    time::{Tick, plus_drift},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Loading,
    Resident,
    Unloading,
    // The last command had no answer. A later report shows its result.
    Doubtful,
}

impl State {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Resident => "resident",
            Self::Unloading => "unloading",
            Self::Doubtful => "doubtful",
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Instance {
    // `None` if the name is not one that hosts give.
    pub(super) target: Option<AdapterVersion>,
    pub(super) state: State,
    pub(super) running: u32,
    // Loaded by this process since it has controlled the engine.
    loaded_here: bool,
    changed: Tick,
    // The command without an answer is a load, not an unload.
    doubtful_load: bool,
    used: Tick,
}

#[derive(Clone, Copy, Debug)]
struct Pin {
    id: u64,
    until: Tick,
}

/// How long the previous controlling host may still grant pins after a change of configuration has
/// given the engine to this one.
pub(super) const MAX_HANDOVER_OVERLAP: Duration = Duration::from_secs(5);

/// Slot for a load.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Slot {
    Free,
    Evict { instance: ArcStr, score: f64 },
    None,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) spec: Spec,
    controlled_since: Tick,
    // No other process has granted pins on instances with the names that this holder uses.
    pub(super) no_prior_pins: bool,
    boot: Option<u64>,
    pub(super) reported: bool,
    pub(super) fence_raised: bool,
    pub(super) fence_after: Tick,
    // The engine has refused this host's fencing token as outdated.
    pub(super) fence_rejected: bool,
    pub(super) full_until: Tick,
    pub(super) instances: BTreeMap<ArcStr, Instance>,
    // Instances unloaded a short time ago. A delayed report may still contain them.
    pub(super) removed: BTreeMap<ArcStr, Tick>,
    pins: BTreeMap<(ArcStr, Incarnation), Pin>,
}

impl Engine {
    /// `known`: whether this process has already controlled the engine in this generation.
    pub(super) fn new(spec: Spec, now: Tick, known: bool) -> Self {
        Self {
            controlled_since: now,
            no_prior_pins: !spec.fencing && !known,
            boot: None,
            reported: false,
            fence_raised: !spec.fencing,
            fence_after: now,
            fence_rejected: false,
            full_until: now,
            instances: BTreeMap::new(),
            removed: BTreeMap::new(),
            pins: BTreeMap::new(),
            spec,
        }
    }

    pub(super) fn boot(&self) -> Option<u64> {
        self.boot
    }

    pub(super) fn pin(&mut self, instance: &ArcStr, host: Incarnation, id: u64, until: Tick) {
        let p = self.pins.entry((instance.clone(), host)).or_insert(Pin { id, until });
        p.id = p.id.max(id);
        p.until = p.until.max(until);
    }

    pub(super) fn unpin(&mut self, instance: &ArcStr, host: Incarnation, id: u64) {
        let key = (instance.clone(), host);
        if self.pins.get(&key).is_some_and(|p| p.id <= id) {
            self.pins.remove(&key);
        }
    }

    pub(super) fn pin_count(&self, now: Tick, instance: &ArcStr) -> usize {
        self.pins
            .range((instance.clone(), Incarnation(0))..=(instance.clone(), Incarnation(u64::MAX)))
            .filter(|(_, p)| now < p.until)
            .count()
    }

    pub(super) fn doubtful_loads(&self) -> usize {
        self.instances.values().filter(|i| i.state == State::Doubtful && i.doubtful_load).count()
    }

    pub(super) fn set_state(&mut self, now: Tick, instance: &ArcStr, state: State) {
        if let Some(i) = self.instances.get_mut(instance) {
            i.doubtful_load = i.state == State::Loading;
            i.state = state;
            i.changed = now;
            i.used = now;
        }
    }

    pub(super) fn start_load(&mut self, now: Tick, instance: &ArcStr, target: AdapterVersion) {
        self.removed.remove(instance);
        self.instances.insert(
            instance.clone(),
            Instance {
                target: Some(target),
                state: State::Loading,
                running: 0,
                loaded_here: true,
                changed: now,
                doubtful_load: true,
                used: now,
            },
        );
    }

    /// Applies a report, which may be delayed: states that changed within [`MAX_REPORT_LAG`] stay.
    pub(super) fn report(&mut self, now: Tick, r: &Report) {
        if self.boot.is_some_and(|b| b != r.boot) {
            // The engine restarted without its state and may have lost its fencing token. Pins
            // stay, because a host may still use one once its instance is loaded again.
            self.instances.retain(|_, i| i.state == State::Loading);
            self.removed.clear();
            self.fence_raised = !self.spec.fencing;
        }
        self.boot = Some(r.boot);
        self.reported = true;
        let old = |changed: Tick| now.since(changed) >= MAX_REPORT_LAG;
        for (name, running) in &r.resident {
            if self.removed.get(name).is_some_and(|t| !old(*t)) {
                continue;
            }
            let fencing = self.spec.fencing;
            let i = self.instances.entry(name.clone()).or_insert_with(|| Instance {
                target: AdapterVersion::parse(name, fencing),
                state: State::Resident,
                running: 0,
                loaded_here: false,
                changed: now,
                doubtful_load: false,
                used: now,
            });
            i.running = *running;
            if *running > 0 {
                i.used = now;
            }
            if i.state == State::Doubtful && (i.doubtful_load || old(i.changed)) {
                i.state = State::Resident;
            }
        }
        self.instances.retain(|name, i| {
            let seen = r.resident.iter().any(|(n, _)| n == name);
            if !seen {
                i.running = 0;
            }
            let settled = matches!(i.state, State::Resident | State::Doubtful) && old(i.changed);
            seen || !settled
        });
    }

    /// Handles "unknown instance": the instance is not resident, unless it was loaded just now.
    pub(super) fn instance_missing(&mut self, now: Tick, instance: &ArcStr) {
        if self.instances.get(instance).is_some_and(|i| {
            i.state == State::Resident && now.since(i.changed) >= MAX_REPORT_LAG / 10
        }) {
            self.instances.remove(instance);
            self.removed.insert(instance.clone(), now);
        }
    }

    pub(super) fn expire(&mut self, now: Tick) {
        self.pins.retain(|_, p| now < p.until);
        self.removed.retain(|_, t| now.since(*t) < MAX_REPORT_LAG);
    }

    /// Finds a free slot or the instance whose eviction costs least. Instances for which `cost` is
    /// `None` are not evicted.
    pub(super) fn find_slot(
        &self,
        now: Tick,
        generation: Generation,
        cost: impl Fn(&AdapterVersion) -> Option<f64>,
    ) -> Slot {
        if self.instances.len() < self.spec.slots as usize {
            return Slot::Free;
        }
        let mut best: Option<(f64, Tick, &ArcStr)> = None;
        for (name, i) in &self.instances {
            if !self.evictable(now, name, i) {
                continue;
            }
            let score = match &i.target {
                // Instances of earlier generations cannot be used any more.
                Some(t) if t.instance(self.spec.fencing, generation) != *name => -1.0,
                Some(t) => match cost(t) {
                    Some(c) => c,
                    None => continue,
                },
                None => -1.0,
            };
            if best.is_none_or(|(s, used, _)| (score, i.used) < (s, used)) {
                best = Some((score, i.used, name));
            }
        }
        best.map_or(Slot::None, |(score, _, name)| Slot::Evict { instance: name.clone(), score })
    }

    fn evictable(&self, now: Tick, name: &ArcStr, i: &Instance) -> bool {
        // A host may hold a pin that an earlier holder granted on an instance of the same name. On
        // engines without fencing, this cannot be: names contain the generation.
        let evictable_names = i.loaded_here && self.no_prior_pins
            || now >= self.controlled_since + plus_drift(PIN_DURATION + MAX_HANDOVER_OVERLAP);
        i.state == State::Resident
            && evictable_names
            && i.running == 0
            && self.pin_count(now, name) == 0
    }
}
