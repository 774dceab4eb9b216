//! Weighted fair queueing of the requests that wait for an engine.
//!
//! Classes have strict priority: `status`, which also has reserved slots, then interactive, then
//! drafting. Within a class, accounts share the capacity by weight, measured in tokens (start-time
//! fair queueing). A drafting request counts as interactive once it has waited for [`AGING_DELAY`].

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use arcstr::ArcStr;

use crate::{
    rules::Class,
    time::{Tick, micros},
};

/// Wait after which a drafting request counts as interactive, so that it is not starved.
pub const AGING_DELAY: Duration = Duration::from_secs(10);

/// How far the virtual time of an account whose requests could not run may lag behind that of the
/// others, in tokens at weight 1. It limits the burst of the account once its requests can run.
const MAX_LAG_TOKENS: u64 = 20_000;

/// Virtual time per token at weight 1, large enough that division by a weight loses little.
const VIRTUAL_TIME_SCALE: u64 = 1 << 16;

/// Minimum retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Capacity and length limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that may run at once.
    pub slots: u32,
    /// Number of these slots that only the `status` class may use.
    pub reserved: u32,
    /// Waiting requests of one account in one class, so that no account fills the queue.
    pub per_account: usize,
    /// Waiting requests of all accounts and classes.
    pub total: usize,
    /// Tokens per second of one running request, assumed until requests have been measured.
    pub token_rate: u64,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<T> {
    /// Account that the request is charged to.
    pub account: ArcStr,
    /// Weight of the account, at least 1.
    pub weight: u32,
    /// Class of service.
    pub class: Class,
    /// Tokens that the request may use: those of the prompt and the maximum to be generated.
    pub tokens: u64,
    /// Time by which the request must have been started.
    pub deadline: Tick,
    /// Data of the queue's user.
    pub data: T,
}

/// Why a request was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue has reached its limit for the account or in total.
    Full,
    /// The request would probably wait beyond its deadline.
    WaitTooLong,
}

/// Refusal of a request, which has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal<T> {
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which another attempt is likely to be accepted.
    pub retry_after: Duration,
    /// The refused request.
    pub item: Item<T>,
}

/// Record of a running request, for [`Queue::finish`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    account: ArcStr,
    weight: u32,
    reserved: bool,
    level: usize,
    tokens: u64,
    started: Tick,
}

/// A request that may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// The request.
    pub item: Item<T>,
    /// How long it waited.
    pub waited: Duration,
    /// Record to pass to [`Queue::finish`] at the end of the request.
    pub running: Running,
}

#[derive(Debug)]
struct Waiting<T> {
    item: Item<T>,
    arrived: Tick,
    // When it entered its present class; later than `arrived` if it was promoted.
    entered: Tick,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    // Virtual start time of the next request.
    start: u64,
    tokens: u64,
    items: VecDeque<Waiting<T>>,
}

#[derive(Debug)]
struct Level<T> {
    // Virtual start time of the request served last.
    virtual_time: u64,
    tokens: u64,
    flows: BTreeMap<ArcStr, Flow<T>>,
}

/// Waiting requests of one host, and a count of the running ones.
#[derive(Debug)]
pub struct Queue<T> {
    limits: Limits,
    levels: [Level<T>; 3],
    len: usize,
    running: u32,
    running_status: u32,
    // Moving average of tokens per second of one running request.
    token_rate: f64,
}

impl<T> Queue<T> {
    /// An empty queue in which no request runs.
    pub fn new(limits: Limits) -> Self {
        let level = || Level { virtual_time: 0, tokens: 0, flows: BTreeMap::new() };
        Self {
            limits,
            levels: [level(), level(), level()],
            len: 0,
            running: 0,
            running_status: 0,
            token_rate: limits.token_rate.max(1) as f64,
        }
    }

    /// Changes the limits. The measured token rate is kept.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of a class. Aged drafting requests count as interactive.
    pub fn waiting(&self, class: Class) -> usize {
        self.levels[level_of(class)].flows.values().map(|f| f.items.len()).sum()
    }

    /// Queues a request, or refuses it if the queue is full or the wait would probably be too long.
    pub fn push(&mut self, now: Tick, item: Item<T>) -> Result<(), Box<Refusal<T>>> {
        let level = level_of(item.class);
        let wait = self.level_wait(&item.account, item.weight, level, item.tokens);
        let refuse = |reason, retry: Duration, item| {
            Err(Box::new(Refusal { reason, retry_after: retry.max(MIN_RETRY_AFTER), item }))
        };
        let count = self.levels[level].flows.get(&item.account).map_or(0, |f| f.items.len());
        if self.len >= self.limits.total || count >= self.limits.per_account {
            return refuse(Reason::Full, wait / 2, item);
        }
        let left = item.deadline.since(now);
        if left.is_zero() || wait > left {
            return refuse(Reason::WaitTooLong, wait.saturating_sub(left), item);
        }
        self.len += 1;
        self.insert(level, Waiting { item, arrived: now, entered: now });
        Ok(())
    }

    /// If a slot is free, takes out the next request in fair order for which `eligible` is true.
    ///
    /// A request for which `eligible` is false keeps its place and does not block others.
    pub fn pop(
        &mut self,
        now: Tick,
        mut eligible: impl FnMut(&Item<T>) -> bool,
    ) -> Option<Popped<T>> {
        self.promote_aged(now);
        (0..self.levels.len()).find_map(|l| {
            if self.free_slots(l) == 0 {
                return None;
            }
            self.pop_level(now, l, &mut eligible)
        })
    }

    /// Ends a request that used `used` tokens. Its account is not charged for the unused ones.
    pub fn finish(&mut self, now: Tick, r: Running, used: u64) {
        self.running = self.running.saturating_sub(1);
        if r.reserved {
            self.running_status = self.running_status.saturating_sub(1);
        }
        let took = micros(now.since(r.started));
        if used > 0 && took > 0 {
            let rate = used as f64 * 1e6 / took as f64;
            self.token_rate = (self.token_rate * 0.95 + rate * 0.05).max(1.0);
        }
        let unused = virtual_cost(r.tokens.saturating_sub(used), r.weight);
        let level = &mut self.levels[r.level];
        if let Some(f) = level.flows.get_mut(&r.account) {
            f.start = f.start.saturating_sub(unused);
        }
        self.prune(r.level);
    }

    /// Moves the waiting requests whose deadline has passed to `out`.
    pub fn expire(&mut self, now: Tick, out: &mut Vec<Item<T>>) {
        for l in 0..self.levels.len() {
            let level = &mut self.levels[l];
            for f in level.flows.values_mut() {
                let mut i = 0;
                while i < f.items.len() {
                    if f.items[i].item.deadline > now {
                        i += 1;
                        continue;
                    }
                    if let Some(w) = f.items.remove(i) {
                        f.tokens -= w.item.tokens;
                        level.tokens -= w.item.tokens;
                        self.len -= 1;
                        out.push(w.item);
                    }
                }
            }
            self.prune(l);
        }
    }

    /// Calls `f` with every waiting request.
    pub fn for_each(&self, mut f: impl FnMut(&Item<T>)) {
        for w in self.levels.iter().flat_map(|l| l.flows.values()).flat_map(|f| &f.items) {
            f(&w.item);
        }
    }

    /// Drops the waiting requests for which `keep` is false, such as those of disconnected callers.
    pub fn retain(&mut self, mut keep: impl FnMut(&Item<T>) -> bool) {
        for l in 0..self.levels.len() {
            let level = &mut self.levels[l];
            for f in level.flows.values_mut() {
                f.items.retain(|w| keep(&w.item));
                f.tokens = f.items.iter().map(|w| w.item.tokens).sum();
            }
            level.tokens = level.flows.values().map(|f| f.tokens).sum();
            self.prune(l);
        }
        self.len = self.levels.iter().flat_map(|l| l.flows.values()).map(|f| f.items.len()).sum();
    }

    /// Expected wait of a request of `n` tokens that arrives now.
    pub fn expected_wait(&self, account: &ArcStr, weight: u32, class: Class, n: u64) -> Duration {
        self.level_wait(account, weight, level_of(class), n)
    }

    // Higher classes go first. Within the class, each account is served until it has received the
    // weighted amount that this account needs for its backlog and this request.
    fn level_wait(&self, account: &ArcStr, weight: u32, level: usize, tokens: u64) -> Duration {
        let flows = &self.levels[level].flows;
        let before: u64 = self.levels[..level].iter().map(|l| l.tokens).sum();
        // If there is a free slot for each request ahead, they wait for adapters, not for capacity.
        let ahead: usize = self.levels[..=level]
            .iter()
            .flat_map(|l| l.flows.values())
            .map(|f| f.items.len())
            .sum();
        if ahead < self.free_slots(level) as usize {
            return Duration::ZERO;
        }
        let own = flows.get(account).map_or(0, |f| f.tokens);
        let need = (own + tokens) as f64 / f64::from(weight.max(1));
        let others: f64 = flows
            .iter()
            .filter(|(a, _)| *a != account)
            .map(|(_, f)| (f.tokens as f64).min(need * f64::from(f.weight)))
            .sum();
        let ahead = before as f64 + own as f64 + others;
        Duration::from_secs_f64((ahead / self.class_rate(level)).min(1e6))
    }

    // Tokens per second that the class can use.
    fn class_rate(&self, level: usize) -> f64 {
        let reserved = if level == 0 { 0 } else { self.limits.reserved };
        f64::from(self.limits.slots.saturating_sub(reserved).max(1)) * self.token_rate
    }

    fn free_slots(&self, level: usize) -> u32 {
        let all = self.limits.slots.saturating_sub(self.running);
        if level == 0 {
            return all;
        }
        // Running `status` requests use the reserved slots first.
        let reserved = self.limits.reserved.saturating_sub(self.running_status);
        all.saturating_sub(reserved)
    }

    fn insert(&mut self, l: usize, w: Waiting<T>) {
        let level = &mut self.levels[l];
        let virtual_time = level.virtual_time;
        let f = level.flows.entry(w.item.account.clone()).or_insert_with(|| Flow {
            weight: 1,
            start: virtual_time,
            tokens: 0,
            items: VecDeque::new(),
        });
        if f.items.is_empty() {
            f.start = f.start.max(virtual_time);
        }
        f.weight = w.item.weight.max(1);
        f.tokens += w.item.tokens;
        level.tokens += w.item.tokens;
        let i = f.items.partition_point(|o| o.entered <= w.entered);
        f.items.insert(i, w);
    }

    fn pop_level(
        &mut self,
        now: Tick,
        l: usize,
        eligible: &mut impl FnMut(&Item<T>) -> bool,
    ) -> Option<Popped<T>> {
        let level = &mut self.levels[l];
        let floor = level.virtual_time.saturating_sub(MAX_LAG_TOKENS * VIRTUAL_TIME_SCALE);
        let mut order: Vec<(u64, ArcStr)> = level
            .flows
            .iter()
            .filter(|(_, f)| !f.items.is_empty())
            .map(|(a, f)| (f.start.max(floor), a.clone()))
            .collect();
        order.sort_unstable();
        for (start, account) in order {
            let Some(f) = level.flows.get_mut(&account) else { continue };
            let at = f.items.iter().position(|w| w.item.deadline > now && eligible(&w.item));
            let Some(w) = at.and_then(|i| f.items.remove(i)) else { continue };
            f.start = start + virtual_cost(w.item.tokens, f.weight);
            f.tokens -= w.item.tokens;
            level.tokens -= w.item.tokens;
            level.virtual_time = level.virtual_time.max(start);
            self.len -= 1;
            self.running += 1;
            let reserved = l == 0;
            self.running_status += u32::from(reserved);
            let running = Running {
                account,
                weight: f.weight,
                reserved,
                level: l,
                tokens: w.item.tokens,
                started: now,
            };
            return Some(Popped { waited: now.since(w.arrived), item: w.item, running });
        }
        None
    }

    // Moves drafting requests that have waited for `AGING_DELAY` to the interactive class, where
    // they are ordered by the end of that delay.
    fn promote_aged(&mut self, now: Tick) {
        let from = level_of(Class::Drafting);
        let to = level_of(Class::Interactive);
        let mut aged = Vec::new();
        let level = &mut self.levels[from];
        for f in level.flows.values_mut() {
            while f.items.front().is_some_and(|w| now.since(w.arrived) >= AGING_DELAY) {
                let Some(mut w) = f.items.pop_front() else { break };
                f.tokens -= w.item.tokens;
                level.tokens -= w.item.tokens;
                w.entered = w.arrived + AGING_DELAY;
                aged.push(w);
            }
        }
        for w in aged {
            self.insert(to, w);
        }
    }

    // Removes accounts that have no waiting requests and have not used more than their share, so
    // that only active accounts use memory.
    fn prune(&mut self, l: usize) {
        let level = &mut self.levels[l];
        let busy = self.running > 0 || self.len > 0;
        let at = level.virtual_time;
        level.flows.retain(|_, f| !f.items.is_empty() || (busy && f.start > at));
    }
}

fn level_of(class: Class) -> usize {
    match class {
        Class::Status => 0,
        Class::Interactive => 1,
        Class::Drafting => 2,
    }
}

fn virtual_cost(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(weight.max(1))
}
