//! Independent checker of the guarantees P1 to P10.
//!
//! It sees what the driver sent and received and what the stand-ins recorded, and knows nothing of
//! the daemons' decisions.

mod bound;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

pub use self::bound::{Use, excess};
use crate::{
    client::{Outcome, Run},
    fleet::Entry,
};

/// Time within which a change of rules, a revoked key or a leaving upstream must have its effect:
/// "seconds" of P3, P8 and P10, in microseconds.
pub const EFFECT_US: u64 = 5_000_000;

/// A guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Guarantee {
    /// Every request runs on the adapter and version it asked for.
    P1,
    /// An adapter in use is never evicted.
    P2,
    /// Requests run only with a valid key, and upstreams see no key.
    P3,
    /// Rate and burst hold over all hosts and any window.
    P4,
    /// Callers receive the complete answer to their own request.
    P5,
    /// A refusal that says `not_run` is true.
    P6,
    /// A request that is not idempotent runs at most once.
    P7,
    /// A leaving upstream receives no new work.
    P8,
    /// A graceful shutdown cuts off no request.
    P9,
    /// A configuration is in force everywhere within seconds and never reverts.
    P10,
}

/// Something that a guarantee excludes.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Guarantee.
    pub guarantee: Guarantee,
    /// When, in microseconds since the epoch.
    pub at_us: u64,
    /// What was seen.
    pub what: String,
}

/// A request for a completion and what the driver saw of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Asked {
    /// Unique mark.
    pub mark: String,
    /// Host it was sent to.
    pub host: String,
    /// Key, if any.
    pub key: Option<String>,
    /// Adapter.
    pub adapter: String,
    /// Versions that are right: the one asked for, or those that were newest in its time.
    pub versions: Vec<String>,
    /// Tokens of the complete answer.
    pub tokens: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// A call to a plain service and what the driver saw of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Called {
    /// Unique mark.
    pub mark: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Whether the route is open.
    pub open: bool,
    /// Key, if any.
    pub key: Option<String>,
    /// What became of it; several if the caller tried again.
    pub outcomes: Vec<Outcome>,
}

/// A key and the time in which it is valid, by the times of publication.
#[derive(Clone, Debug, Serialize)]
pub struct Key {
    /// Key.
    pub key: String,
    /// Account.
    pub account: String,
    /// When the version that has it was published; 0 for the start.
    pub from_us: u64,
    /// When the version that revokes it was published.
    pub until_us: Option<u64>,
}

/// Limits of an account; they do not change in an experiment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Limits {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
}

/// A span of time in microseconds since the epoch; open if there is no end.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Span {
    /// Start.
    pub from_us: u64,
    /// End.
    pub until_us: Option<u64>,
}

/// All that is known of an experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Evidence {
    /// Requests for completions.
    pub asked: Vec<Asked>,
    /// Calls to plain services.
    pub called: Vec<Called>,
    /// Journals of the engines.
    pub engines: BTreeMap<String, Vec<Entry>>,
    /// Journals of the plain services.
    pub plain: BTreeMap<String, Vec<Entry>>,
    /// Keys.
    pub keys: Vec<Key>,
    /// Limits by account.
    pub limits: BTreeMap<String, Limits>,
    /// When an upstream was marked leaving.
    pub leaving: Vec<(String, Span)>,
    /// When a host was killed; its open requests are lost.
    pub killed: Vec<(String, u64)>,
    /// When a host was told to shut down.
    pub stopped: Vec<(String, u64)>,
    /// When new keys may be late, because the fault hides the newest configuration.
    pub blind: Vec<Span>,
}

impl Span {
    /// Whether the time is inside.
    pub fn contains(&self, at_us: u64) -> bool {
        at_us >= self.from_us && self.until_us.is_none_or(|u| at_us <= u)
    }
}

impl Asked {
    fn expected(&self) -> impl Iterator<Item = String> {
        self.versions.iter().map(|v| {
            (0..self.tokens).map(|i| format!("{}:{v}#{i} ", self.adapter)).collect::<String>()
        })
    }
}

impl Evidence {
    /// All violations.
    pub fn check(&self) -> Vec<Violation> {
        let mut out = Vec::new();
        let by_mark: HashMap<&str, &Asked> =
            self.asked.iter().map(|a| (a.mark.as_str(), a)).collect();
        self.instances(&by_mark, &mut out);
        self.evictions(&mut out);
        self.keys(&by_mark, &mut out);
        self.allowances(&by_mark, &mut out);
        self.answers(&mut out);
        self.refusals(&mut out);
        self.repeats(&mut out);
        self.leavings(&mut out);
        self.shutdowns(&mut out);
        self.config(&mut out);
        out
    }

    /// Requests that an engine accepted, with the engine's name.
    fn accepted(&self) -> impl Iterator<Item = (&str, &Entry)> {
        let all = self.engines.iter();
        all.flat_map(|(n, j)| j.iter().map(move |e| (n.as_str(), e)))
            .filter(|(_, e)| e.kind == "request" && e.code.is_none())
    }

    /// Calls that a plain service ran.
    fn ran(&self) -> impl Iterator<Item = (&str, &Entry)> {
        let all = self.plain.iter();
        all.flat_map(|(n, j)| j.iter().map(move |e| (n.as_str(), e)))
            .filter(|(_, e)| e.kind == "call")
    }

    /// P1: the instance that ran is that of the request, and holds what its name says.
    fn instances(&self, by_mark: &HashMap<&str, &Asked>, out: &mut Vec<Violation>) {
        for (engine, e) in self.accepted() {
            let (adapter, version) = e.adapter_version();
            let right = by_mark
                .get(e.mark())
                .is_some_and(|a| a.adapter == adapter && a.versions.iter().any(|v| v == version));
            if !right {
                let what = format!("{} ran on {} at {engine}", e.mark(), e.instance);
                out.push(Violation { guarantee: Guarantee::P1, at_us: e.at_us, what });
            }
        }
        for (engine, e) in self.engines.iter().flat_map(|(n, j)| j.iter().map(move |e| (n, e))) {
            let (adapter, version) = e.adapter_version();
            if e.kind == "load_begin" && e.path != format!("{adapter}/{version}") {
                let what = format!("{} holds {} at {engine}", e.instance, e.path);
                out.push(Violation { guarantee: Guarantee::P1, at_us: e.at_us, what });
            }
        }
    }

    /// P2: no instance in use was unloaded.
    fn evictions(&self, out: &mut Vec<Violation>) {
        for (engine, e) in self.engines.iter().flat_map(|(n, j)| j.iter().map(move |e| (n, e))) {
            if e.kind == "unload" && e.code.is_none() && e.in_use {
                let what = format!("{} was in use at {engine}", e.instance);
                out.push(Violation { guarantee: Guarantee::P2, at_us: e.at_us, what });
            }
        }
    }

    fn is_valid(&self, key: Option<&String>, sent_us: u64) -> bool {
        self.keys
            .iter()
            .filter(|k| Some(&k.key) == key)
            .any(|k| k.from_us <= sent_us && k.until_us.is_none_or(|u| sent_us <= u + EFFECT_US))
    }

    /// P3: what ran came with a valid key, and no upstream saw a key.
    fn keys(&self, by_mark: &HashMap<&str, &Asked>, out: &mut Vec<Violation>) {
        let calls: HashMap<&str, &Called> =
            self.called.iter().map(|c| (c.mark.as_str(), c)).collect();
        let bad = |at_us, what| Violation { guarantee: Guarantee::P3, at_us, what };
        for (engine, e) in self.accepted() {
            let asked = by_mark.get(e.mark());
            if asked.is_some_and(|a| !self.is_valid(a.key.as_ref(), a.outcome.sent_us)) {
                out.push(bad(e.at_us, format!("{} ran at {engine} without a key", e.mark())));
            }
        }
        for (service, e) in self.ran() {
            let Some(c) = calls.get(e.mark()) else { continue };
            let sent = c.outcomes.first().map_or(0, |o| o.sent_us);
            if !c.open && !self.is_valid(c.key.as_ref(), sent) {
                out.push(bad(e.at_us, format!("{} ran at {service} without a key", e.mark())));
            }
        }
        for (upstream, e) in
            self.engines.iter().chain(&self.plain).flat_map(|(n, j)| j.iter().map(move |e| (n, e)))
        {
            let shown = |k: &&Key| e.header_values.contains(&k.key) || e.body.contains(&k.key);
            if let Some(k) = self.keys.iter().find(shown) {
                out.push(bad(e.at_us, format!("{upstream} saw the key of {}", k.account)));
            }
        }
    }

    /// P4: what ran stays within rate x window + burst over any window. The time at which a request
    /// was granted is between its sending and its arrival at the engine, so a window counts a
    /// request only if both are inside: no excess that is found can be due to delays.
    fn allowances(&self, by_mark: &HashMap<&str, &Asked>, out: &mut Vec<Violation>) {
        let mut cost: HashMap<&str, u64> = HashMap::new();
        for e in self.engines.values().flatten().filter(|e| e.kind == "end") {
            let id = e.request_id.as_deref().unwrap_or("");
            *cost.entry(id).or_default() += e.tokens + e.prompt_tokens;
        }
        // A request that ran again after a failure is granted and received once.
        let mut once: HashMap<&str, Use> = HashMap::new();
        for (_, e) in self.accepted() {
            let Some(asked) = by_mark.get(e.mark()) else { continue };
            let tokens = e.request_id.as_deref().and_then(|id| cost.remove(id)).unwrap_or(0);
            let u = once.entry(e.mark()).or_insert(Use {
                from_us: asked.outcome.sent_us,
                until_us: e.at_us,
                tokens: 0,
            });
            u.until_us = u.until_us.min(e.at_us);
            u.tokens = u.tokens.max(tokens);
        }
        let mut uses: BTreeMap<&str, Vec<Use>> = BTreeMap::new();
        for (mark, u) in once {
            let key = by_mark.get(mark).and_then(|a| a.key.as_ref());
            if let Some(k) = self.keys.iter().find(|k| Some(&k.key) == key) {
                uses.entry(&k.account).or_default().push(u);
            }
        }
        for (account, uses) in &uses {
            let Some(l) = self.limits.get(*account) else { continue };
            if let Some(x) = excess(uses, l.rate, l.burst) {
                let what = format!(
                    "{account} received {} tokens in {} us, allowed {} + {}/s",
                    x.tokens,
                    x.until_us - x.from_us,
                    l.burst,
                    l.rate
                );
                out.push(Violation { guarantee: Guarantee::P4, at_us: x.from_us, what });
            }
        }
    }

    /// P5: an answer is complete and right, or ends with an explicit error.
    fn answers(&self, out: &mut Vec<Violation>) {
        for a in &self.asked {
            let o = &a.outcome;
            let right = a.expected().any(|t| match o.complete {
                true => t == o.text,
                false => t.starts_with(&o.text),
            });
            let silent = o.status == Some(200) && !o.complete && o.run.is_none();
            let lost = self.killed.iter().any(|(h, at)| *h == a.host && o.end_us >= *at);
            let what = match (o.status, right, silent && !lost) {
                (Some(200), false, _) => format!("{} received a wrong answer: {o:?}", a.mark),
                (_, _, true) => format!("{} received a part and no error: {o:?}", a.mark),
                _ => continue,
            };
            out.push(Violation { guarantee: Guarantee::P5, at_us: o.end_us, what });
        }
    }

    /// P6: what was refused with `not_run` did not run.
    fn refusals(&self, out: &mut Vec<Violation>) {
        let mut ran: HashMap<&str, (&str, u64)> = HashMap::new();
        for (name, e) in self.accepted().chain(self.ran()) {
            ran.entry(e.mark()).or_insert((name, e.at_us));
        }
        let asked = self.asked.iter().map(|a| (&a.mark, &a.outcome));
        let called = self.called.iter().filter_map(|c| match &c.outcomes[..] {
            [one] => Some((&c.mark, one)),
            _ => None,
        });
        for (mark, o) in asked.chain(called).filter(|(_, o)| o.run == Some(Run::NotRun)) {
            if let Some((name, at_us)) = ran.get(mark.as_str()) {
                let what = format!("{mark} ran at {name} and was refused: {:?}", o.code);
                out.push(Violation { guarantee: Guarantee::P6, at_us: *at_us, what });
            }
        }
    }

    /// P7: calls that must not be repeated ran at most once.
    fn repeats(&self, out: &mut Vec<Violation>) {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        for (_, e) in self.ran() {
            *counts.entry(e.mark()).or_default() += 1;
        }
        for c in self.called.iter().filter(|c| !c.idempotent) {
            let n = counts.get(c.mark.as_str()).copied().unwrap_or(0);
            if n > 1 {
                let at_us = c.outcomes.first().map_or(0, |o| o.sent_us);
                let what = format!("{} ran {n} times", c.mark);
                out.push(Violation { guarantee: Guarantee::P7, at_us, what });
            }
        }
    }

    /// P8: a leaving upstream received no new work.
    fn leavings(&self, out: &mut Vec<Violation>) {
        let work = self.accepted().chain(self.ran());
        for (name, e) in work {
            let late = self
                .leaving
                .iter()
                .any(|(n, s)| n == name && s.contains(e.at_us) && e.at_us > s.from_us + EFFECT_US);
            if late {
                let what = format!("{} began at {name}, which is leaving", e.mark());
                out.push(Violation { guarantee: Guarantee::P8, at_us: e.at_us, what });
            }
        }
    }

    /// P9: what was sent to a host before it was told to shut down was answered, and what was sent
    /// later was answered or refused, not cut off.
    fn shutdowns(&self, out: &mut Vec<Violation>) {
        for a in &self.asked {
            let Some((_, at)) = self.stopped.iter().find(|(h, _)| *h == a.host) else { continue };
            let o = &a.outcome;
            let refused = o.run == Some(Run::NotRun) || (o.status.is_none() && o.sent_us > *at);
            if !o.is_ok() && !refused && o.end_us >= *at {
                let what = format!("{} was cut off: {o:?}", a.mark);
                out.push(Violation { guarantee: Guarantee::P9, at_us: o.end_us, what });
            }
        }
    }

    /// P10: a published key works everywhere after a few seconds, and goes on to work.
    fn config(&self, out: &mut Vec<Violation>) {
        for a in self.asked.iter().filter(|a| a.outcome.status == Some(401)) {
            let sent = a.outcome.sent_us;
            let valid = self.keys.iter().filter(|k| Some(&k.key) == a.key.as_ref()).any(|k| {
                let since = if k.from_us == 0 { 0 } else { k.from_us + EFFECT_US };
                since <= sent && k.until_us.is_none_or(|u| a.outcome.end_us < u)
            });
            if valid && !self.blind.iter().any(|s| s.contains(sent)) {
                let what = format!("{}: the key is in force and {} refuses it", a.mark, a.host);
                out.push(Violation { guarantee: Guarantee::P10, at_us: sent, what });
            }
        }
    }
}
