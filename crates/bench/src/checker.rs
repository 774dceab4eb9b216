//! Independent checker of the guarantees P1 to P10.
//!
//! Its input is what the driver sent and received and what the stand-ins recorded. It does not know
//! the daemons' decisions, so an error in them cannot hide a violation.

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

/// Time within which a change of rules, a revoked key or a leaving upstream must take effect: the
/// "seconds" of P3, P8 and P10.
pub const EFFECT_LIMIT_US: u64 = 5_000_000;

/// A guarantee that the system gives its callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Guarantee {
    /// Every request runs on the adapter and version it asked for.
    P1,
    /// An adapter in use is never evicted.
    P2,
    /// Requests run only with a valid key, and no upstream receives a key.
    P3,
    /// An account's rate and burst hold over all hosts together and in any window.
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

/// An observation that contradicts a guarantee.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// Time of the observation in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The observation in words.
    pub what: String,
}

/// A completion request and its result as the driver recorded them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CompletionRecord {
    /// Text by which stand-in journals identify the request.
    pub mark: String,
    /// Name of the host that it was sent to.
    pub host: String,
    /// API key, if one was sent.
    pub key: Option<String>,
    /// Name of the adapter asked for.
    pub adapter: String,
    /// Versions that may answer: the one asked for, or all that had been the newest by its end.
    pub versions: Vec<String>,
    /// Number of tokens of the complete answer.
    pub tokens: u64,
    /// Result; without an end while the request is open.
    pub outcome: Outcome,
}

/// A call to a plain service and its results as the driver recorded them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallRecord {
    /// Text by which stand-in journals identify the call.
    pub mark: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the route needs no key.
    pub open: bool,
    /// API key, if one was sent.
    pub key: Option<String>,
    /// Results in order, one for each attempt of the caller.
    pub outcomes: Vec<Outcome>,
}

/// An API key and its period of validity, by the times of publication.
#[derive(Clone, Debug, Serialize)]
pub struct KeyRecord {
    /// The key itself.
    pub key: String,
    /// Account that the key belongs to.
    pub account: String,
    /// Publication of the first rules with the key, in microseconds since the epoch; 0 for keys of
    /// the initial rules.
    pub from_us: u64,
    /// Publication of the rules that revoke it, in microseconds since the epoch.
    pub until_us: Option<u64>,
}

/// Rate limit of an account; it does not change during an experiment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AccountLimits {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
}

/// A period in microseconds since the epoch.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TimeSpan {
    /// Start, inclusive.
    pub from_us: u64,
    /// End, inclusive; none if the period goes on.
    pub until_us: Option<u64>,
}

/// Everything that the checker knows of an experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Evidence {
    /// Completion requests.
    pub asked: Vec<CompletionRecord>,
    /// Calls to plain services.
    pub called: Vec<CallRecord>,
    /// Journals of the engine stand-ins by name.
    pub engines: BTreeMap<String, Vec<JournalEntry>>,
    /// Journals of the plain service stand-ins by name.
    pub plain: BTreeMap<String, Vec<JournalEntry>>,
    /// All keys that were ever published.
    pub keys: Vec<KeyRecord>,
    /// Rate limits by account.
    pub limits: BTreeMap<String, AccountLimits>,
    /// Periods in which upstreams were marked as leaving, by name.
    pub leaving: Vec<(String, TimeSpan)>,
    /// Hosts that were killed, with the time; their open requests are lost.
    pub killed: Vec<(String, u64)>,
    /// Hosts that were sent SIGTERM, with the time.
    pub stopped: Vec<(String, u64)>,
    /// Periods in which hosts may not know new keys, because a fault hides the newest
    /// configuration.
    pub blind: Vec<TimeSpan>,
}

impl TimeSpan {
    /// Whether `at_us` is inside, bounds included.
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
    /// Checks all guarantees and returns the violations, ordered by guarantee.
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

    /// Requests that engines accepted, with the engine's name.
    fn accepted_requests(&self) -> impl Iterator<Item = (&str, &JournalEntry)> {
        let all = self.engines.iter();
        all.flat_map(|(n, j)| j.iter().map(move |e| (n.as_str(), e)))
            .filter(|(_, e)| e.kind == "request" && e.code.is_none())
    }

    /// Calls that plain services executed, with the service's name.
    fn executed_calls(&self) -> impl Iterator<Item = (&str, &JournalEntry)> {
        let all = self.plain.iter();
        all.flat_map(|(n, j)| j.iter().map(move |e| (n.as_str(), e)))
            .filter(|(_, e)| e.kind == "call")
    }

    /// P1: the instance is of the adapter and version asked for, and the weights loaded into it are
    /// those of its name.
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

    /// P2: no instance was unloaded while a request used it.
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

    /// P3: what was executed came with a valid key, and no upstream received a key.
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

    /// P4: what was executed stays within rate x window + burst in any window. A request was
    /// admitted at some time between its sending and its arrival at the engine. A window counts it
    /// only if both are inside, so that a delay cannot cause a false violation.
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
        // A request that ran again after a failure was admitted once.
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

    /// P5: an answer is complete and correct, or ends with an explicit error.
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

    /// P6: a request that was refused with `not_run` was not executed.
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

    /// P7: a call that is not idempotent was executed at most once.
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

    /// P8: a leaving upstream received no new work after [`EFFECT_LIMIT_US`].
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

    /// P9: a request sent to a host before its shutdown began was answered, and a later one was
    /// answered or refused, not cut off.
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

    /// P10: a published key is accepted by all hosts after [`EFFECT_LIMIT_US`], and remains
    /// accepted.
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
