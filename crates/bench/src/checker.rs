//! Independent checker of the guarantees P1 to P10.
//!
//! It sees what the driver sent and received and what the stand-ins recorded, and knows nothing of
//! the daemons' decisions.

mod bound;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

pub use self::bound::{TokenGrant, largest_excess};
use crate::{
    client::{Executed, Outcome},
    fleet::JournalEntry,
};

/// Time within which a change of rules, a revoked key or a leaving upstream must have its effect:
/// "seconds" of P3, P8 and P10, in microseconds.
pub const EFFECT_LIMIT_US: u64 = 5_000_000;

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
pub struct CompletionRecord {
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
pub struct CallRecord {
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
pub struct KeyRecord {
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
pub struct AccountLimits {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
}

/// A span of time in microseconds since the epoch; open if there is no end.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TimeSpan {
    /// Start.
    pub from_us: u64,
    /// End.
    pub until_us: Option<u64>,
}

/// All that is known of an experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Evidence {
    /// Requests for completions.
    pub asked: Vec<CompletionRecord>,
    /// Calls to plain services.
    pub called: Vec<CallRecord>,
    /// Journals of the engines.
    pub engines: BTreeMap<String, Vec<JournalEntry>>,
    /// Journals of the plain services.
    pub plain: BTreeMap<String, Vec<JournalEntry>>,
    /// Keys.
    pub keys: Vec<KeyRecord>,
    /// Limits by account.
    pub limits: BTreeMap<String, AccountLimits>,
    /// When an upstream was marked leaving.
    pub leaving: Vec<(String, TimeSpan)>,
    /// When a host was killed; its open requests are lost.
    pub killed: Vec<(String, u64)>,
    /// When a host was told to shut down.
    pub stopped: Vec<(String, u64)>,
    /// When new keys may be late, because the fault hides the newest configuration.
    pub blind: Vec<TimeSpan>,
}

impl TimeSpan {
    /// Whether the time is inside.
    pub fn contains(&self, at_us: u64) -> bool {
        at_us >= self.from_us && self.until_us.is_none_or(|u| at_us <= u)
    }
}

impl CompletionRecord {
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
        let requests_by_mark: HashMap<&str, &CompletionRecord> =
            self.asked.iter().map(|a| (a.mark.as_str(), a)).collect();
        self.check_instances(&requests_by_mark, &mut out);
        self.check_evictions(&mut out);
        self.check_keys(&requests_by_mark, &mut out);
        self.check_allowances(&requests_by_mark, &mut out);
        self.check_answers(&mut out);
        self.check_refusals(&mut out);
        self.check_repeats(&mut out);
        self.check_leaving(&mut out);
        self.check_shutdowns(&mut out);
        self.check_config(&mut out);
        out
    }

    /// Requests that an engine accepted, with the engine's name.
    fn accepted_requests(&self) -> impl Iterator<Item = (&str, &JournalEntry)> {
        let all = self.engines.iter();
        all.flat_map(|(n, j)| j.iter().map(move |e| (n.as_str(), e)))
            .filter(|(_, e)| e.kind == "request" && e.code.is_none())
    }

    /// Calls that a plain service ran.
    fn executed_calls(&self) -> impl Iterator<Item = (&str, &JournalEntry)> {
        let all = self.plain.iter();
        all.flat_map(|(n, j)| j.iter().map(move |e| (n.as_str(), e)))
            .filter(|(_, e)| e.kind == "call")
    }

    /// P1: the instance that ran is that of the request, and holds what its name says.
    fn check_instances(
        &self,
        requests_by_mark: &HashMap<&str, &CompletionRecord>,
        out: &mut Vec<Violation>,
    ) {
        for (engine, e) in self.accepted_requests() {
            let (adapter, version) = e.adapter_version();
            let is_expected = requests_by_mark
                .get(e.mark())
                .is_some_and(|a| a.adapter == adapter && a.versions.iter().any(|v| v == version));
            if !is_expected {
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
    fn check_evictions(&self, out: &mut Vec<Violation>) {
        for (engine, e) in self.engines.iter().flat_map(|(n, j)| j.iter().map(move |e| (n, e))) {
            if e.kind == "unload" && e.code.is_none() && e.in_use {
                let what = format!("{} was in use at {engine}", e.instance);
                out.push(Violation { guarantee: Guarantee::P2, at_us: e.at_us, what });
            }
        }
    }

    fn is_valid(&self, key: Option<&String>, sent_us: u64) -> bool {
        self.keys.iter().filter(|k| Some(&k.key) == key).any(|k| {
            k.from_us <= sent_us && k.until_us.is_none_or(|u| sent_us <= u + EFFECT_LIMIT_US)
        })
    }

    /// P3: what ran came with a valid key, and no upstream saw a key.
    fn check_keys(
        &self,
        requests_by_mark: &HashMap<&str, &CompletionRecord>,
        out: &mut Vec<Violation>,
    ) {
        let calls: HashMap<&str, &CallRecord> =
            self.called.iter().map(|c| (c.mark.as_str(), c)).collect();
        let violation = |at_us, what| Violation { guarantee: Guarantee::P3, at_us, what };
        for (engine, e) in self.accepted_requests() {
            let asked = requests_by_mark.get(e.mark());
            if asked.is_some_and(|a| !self.is_valid(a.key.as_ref(), a.outcome.sent_us)) {
                out.push(violation(e.at_us, format!("{} ran at {engine} without a key", e.mark())));
            }
        }
        for (service, e) in self.executed_calls() {
            let Some(c) = calls.get(e.mark()) else { continue };
            let sent = c.outcomes.first().map_or(0, |o| o.sent_us);
            if !c.open && !self.is_valid(c.key.as_ref(), sent) {
                out.push(violation(
                    e.at_us,
                    format!("{} ran at {service} without a key", e.mark()),
                ));
            }
        }
        for (upstream, e) in
            self.engines.iter().chain(&self.plain).flat_map(|(n, j)| j.iter().map(move |e| (n, e)))
        {
            let contains_key =
                |k: &&KeyRecord| e.header_values.contains(&k.key) || e.body.contains(&k.key);
            if let Some(k) = self.keys.iter().find(contains_key) {
                out.push(violation(e.at_us, format!("{upstream} saw the key of {}", k.account)));
            }
        }
    }

    /// P4: what ran stays within rate x window + burst over any window. The time at which a request
    /// was granted is between its sending and its arrival at the engine, so a window counts a
    /// request only if both are inside: no excess that is found can be due to delays.
    fn check_allowances(
        &self,
        requests_by_mark: &HashMap<&str, &CompletionRecord>,
        out: &mut Vec<Violation>,
    ) {
        let mut tokens_by_id: HashMap<&str, u64> = HashMap::new();
        for e in self.engines.values().flatten().filter(|e| e.kind == "end") {
            let id = e.request_id.as_deref().unwrap_or("");
            *tokens_by_id.entry(id).or_default() += e.tokens + e.prompt_tokens;
        }
        // A request that ran again after a failure is granted and received once.
        let mut grants_by_mark: HashMap<&str, TokenGrant> = HashMap::new();
        for (_, e) in self.accepted_requests() {
            let Some(asked) = requests_by_mark.get(e.mark()) else { continue };
            let tokens =
                e.request_id.as_deref().and_then(|id| tokens_by_id.remove(id)).unwrap_or(0);
            let grant = grants_by_mark.entry(e.mark()).or_insert(TokenGrant {
                from_us: asked.outcome.sent_us,
                until_us: e.at_us,
                tokens: 0,
            });
            grant.until_us = grant.until_us.min(e.at_us);
            grant.tokens = grant.tokens.max(tokens);
        }
        let mut grants_by_account: BTreeMap<&str, Vec<TokenGrant>> = BTreeMap::new();
        for (mark, grant) in grants_by_mark {
            let key = requests_by_mark.get(mark).and_then(|a| a.key.as_ref());
            if let Some(k) = self.keys.iter().find(|k| Some(&k.key) == key) {
                grants_by_account.entry(&k.account).or_default().push(grant);
            }
        }
        for (account, grants) in &grants_by_account {
            let Some(l) = self.limits.get(*account) else { continue };
            if let Some(x) = largest_excess(grants, l.rate, l.burst) {
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
    fn check_answers(&self, out: &mut Vec<Violation>) {
        for a in &self.asked {
            let o = &a.outcome;
            let is_expected = a.expected().any(|t| match o.complete {
                true => t == o.text,
                false => t.starts_with(&o.text),
            });
            let is_truncated = o.status == Some(200) && !o.complete && o.run.is_none();
            let is_host_killed = self.killed.iter().any(|(h, at)| *h == a.host && o.end_us >= *at);
            let what = match (o.status, is_expected, is_truncated && !is_host_killed) {
                (Some(200), false, _) => format!("{} received a wrong answer: {o:?}", a.mark),
                (_, _, true) => format!("{} received a part and no error: {o:?}", a.mark),
                _ => continue,
            };
            out.push(Violation { guarantee: Guarantee::P5, at_us: o.end_us, what });
        }
    }

    /// P6: what was refused with `not_run` did not run.
    fn check_refusals(&self, out: &mut Vec<Violation>) {
        let mut ran: HashMap<&str, (&str, u64)> = HashMap::new();
        for (name, e) in self.accepted_requests().chain(self.executed_calls()) {
            ran.entry(e.mark()).or_insert((name, e.at_us));
        }
        let asked = self.asked.iter().map(|a| (&a.mark, &a.outcome));
        let called = self.called.iter().filter_map(|c| match &c.outcomes[..] {
            [one] => Some((&c.mark, one)),
            _ => None,
        });
        for (mark, o) in asked.chain(called).filter(|(_, o)| o.run == Some(Executed::NotRun)) {
            if let Some((name, at_us)) = ran.get(mark.as_str()) {
                let what = format!("{mark} ran at {name} and was refused: {:?}", o.code);
                out.push(Violation { guarantee: Guarantee::P6, at_us: *at_us, what });
            }
        }
    }

    /// P7: calls that must not be repeated ran at most once.
    fn check_repeats(&self, out: &mut Vec<Violation>) {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        for (_, e) in self.executed_calls() {
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
    fn check_leaving(&self, out: &mut Vec<Violation>) {
        let work = self.accepted_requests().chain(self.executed_calls());
        for (name, e) in work {
            let is_late = self.leaving.iter().any(|(n, s)| {
                n == name && s.contains(e.at_us) && e.at_us > s.from_us + EFFECT_LIMIT_US
            });
            if is_late {
                let what = format!("{} began at {name}, which is leaving", e.mark());
                out.push(Violation { guarantee: Guarantee::P8, at_us: e.at_us, what });
            }
        }
    }

    /// P9: what was sent to a host before it was told to shut down was answered, and what was sent
    /// later was answered or refused, not cut off.
    fn check_shutdowns(&self, out: &mut Vec<Violation>) {
        for a in &self.asked {
            let Some((_, at)) = self.stopped.iter().find(|(h, _)| *h == a.host) else { continue };
            let o = &a.outcome;
            let refused =
                o.run == Some(Executed::NotRun) || (o.status.is_none() && o.sent_us > *at);
            if !o.is_ok() && !refused && o.end_us >= *at {
                let what = format!("{} was cut off: {o:?}", a.mark);
                out.push(Violation { guarantee: Guarantee::P9, at_us: o.end_us, what });
            }
        }
    }

    /// P10: a published key works everywhere after a few seconds, and goes on to work.
    fn check_config(&self, out: &mut Vec<Violation>) {
        for a in self.asked.iter().filter(|a| a.outcome.status == Some(401)) {
            let sent = a.outcome.sent_us;
            let valid = self.keys.iter().filter(|k| Some(&k.key) == a.key.as_ref()).any(|k| {
                let since = if k.from_us == 0 { 0 } else { k.from_us + EFFECT_LIMIT_US };
                since <= sent && k.until_us.is_none_or(|u| a.outcome.end_us < u)
            });
            if valid && !self.blind.iter().any(|s| s.contains(sent)) {
                let what = format!("{}: the key is in force and {} refuses it", a.mark, a.host);
                out.push(Violation { guarantee: Guarantee::P10, at_us: sent, what });
            }
        }
    }
}
