//! Sends the requests of callers and records them, with what was done to the fleet, for the
//! checker.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use crate::{
    Result,
    checker::{
        AccountLimits, CallRecord, CompletionRecord, Evidence, KeyRecord, TimeSpan, Violation,
    },
    client::{CompletionRequest, HttpClient, Outcome, PlainCall},
    fleet::{Fleet, Host},
    now_us,
    plan::account_key,
};

/// A host as callers address it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetHost {
    /// Name of the host, for the record.
    pub name: String,
    /// Address for callers.
    pub addr: SocketAddr,
}

impl From<&Host> for TargetHost {
    fn from(h: &Host) -> Self {
        Self { name: h.name.clone(), addr: h.http }
    }
}

/// Sends requests and collects the [`Evidence`] of an experiment.
pub struct Driver {
    http: HttpClient,
    evidence: RefCell<Evidence>,
    newest_versions: RefCell<Vec<String>>,
    mark_count: Cell<u64>,
}

impl Driver {
    /// Creates a driver with the keys and limits of the fleet's accounts.
    pub fn new(fleet: &Fleet) -> Self {
        let accounts = &fleet.plan.accounts;
        let keys = accounts.keys().map(|a| KeyRecord {
            key: account_key(a),
            account: a.to_string(),
            from_us: 0,
            until_us: None,
        });
        let limits = accounts
            .iter()
            .map(|(n, a)| (n.to_string(), AccountLimits { rate: a.rate, burst: a.burst }));
        let evidence =
            Evidence { keys: keys.collect(), limits: limits.collect(), ..Default::default() };
        Self {
            http: fleet.http.clone(),
            evidence: RefCell::new(evidence),
            newest_versions: RefCell::new(
                fleet.plan.versions.last().map(ToString::to_string).into_iter().collect(),
            ),
            mark_count: Cell::new(0),
        }
    }

    fn next_mark(&self) -> String {
        self.mark_count.set(self.mark_count.get() + 1);
        format!("m{}", self.mark_count.get())
    }

    /// Sends a completion request, whose mark is replaced by a unique one, and records it.
    pub async fn complete(&self, to: &TargetHost, mut a: CompletionRequest) -> Outcome {
        a.mark = self.next_mark();
        let versions = match &a.version {
            Some(v) => vec![v.clone()],
            None => self.newest_versions.borrow().clone(),
        };
        // Recorded before it is sent, so that the checker knows requests that have not ended.
        let index = {
            let mut evidence = self.evidence.borrow_mut();
            evidence.asked.push(CompletionRecord {
                mark: a.mark.clone(),
                host: to.name.clone(),
                tokens: a.tokens(),
                key: a.key.clone(),
                adapter: a.adapter.clone(),
                versions,
                outcome: Outcome { sent_us: now_us(), ..Outcome::default() },
            });
            evidence.asked.len() - 1
        };
        let outcome = self.http.complete(to.addr, &a).await;
        if let Some(asked) = self.evidence.borrow_mut().asked.get_mut(index) {
            asked.outcome = outcome.clone();
            if a.version.is_none() {
                asked.versions.clone_from(&self.newest_versions.borrow());
            }
        }
        outcome
    }

    /// Sends a call to a plain service, whose mark is replaced by a unique one, and records it.
    pub async fn call(
        &self,
        to: &TargetHost,
        c: PlainCall,
        idempotent: bool,
        open: bool,
    ) -> Outcome {
        self.call_each(&[to], c, idempotent, open).await.pop().unwrap_or_default()
    }

    /// Sends the same call to each host in turn, as a caller that retries, and records the results.
    pub async fn call_each(
        &self,
        to: &[&TargetHost],
        mut c: PlainCall,
        idempotent: bool,
        open: bool,
    ) -> Vec<Outcome> {
        c.mark = self.next_mark();
        let mut outcomes = Vec::new();
        for t in to {
            outcomes.push(self.http.call(t.addr, &c).await);
        }
        let called =
            CallRecord { mark: c.mark, idempotent, open, key: c.key, outcomes: outcomes.clone() };
        self.evidence.borrow_mut().called.push(called);
        outcomes
    }

    /// Returns the first key of an account, also if it is revoked.
    pub fn account_key(&self, account: &str) -> Option<String> {
        let evidence = self.evidence.borrow();
        evidence.keys.iter().find(|k| k.account == account).map(|k| k.key.clone())
    }

    /// Records that rules with the key were published now.
    pub fn record_key_added(&self, key: &str, account: &str) {
        let (key, account) = (key.to_owned(), account.to_owned());
        let k = KeyRecord { key, account, from_us: now_us(), until_us: None };
        self.evidence.borrow_mut().keys.push(k);
    }

    /// Records that rules without the key were published now.
    pub fn record_key_revoked(&self, key: &str) {
        for k in self.evidence.borrow_mut().keys.iter_mut().filter(|k| k.key == key) {
            k.until_us = Some(now_us());
        }
    }

    /// Records that a version was published now and is the newest of the adapters.
    pub fn record_version(&self, version: &str) {
        self.newest_versions.borrow_mut().push(version.into());
    }

    /// Records that a host was killed now.
    pub fn record_kill(&self, host: &str) {
        self.evidence.borrow_mut().killed.push((host.into(), now_us()));
    }

    /// Records that a host was sent SIGTERM now.
    pub fn record_stop(&self, host: &str) {
        self.evidence.borrow_mut().stopped.push((host.into(), now_us()));
    }

    /// Records that an upstream was marked as leaving, or live again, now.
    pub fn record_leaving(&self, upstream: &str, leaving: bool) {
        let mut evidence = self.evidence.borrow_mut();
        if leaving {
            evidence
                .leaving
                .push((upstream.into(), TimeSpan { from_us: now_us(), until_us: None }));
            return;
        }
        for (_, s) in evidence.leaving.iter_mut().filter(|(n, _)| n == upstream) {
            s.until_us.get_or_insert_with(now_us);
        }
    }

    /// Records a period in which hosts may not know the newest configuration.
    pub fn record_config_outage(&self, from_us: u64, until_us: u64) {
        self.evidence.borrow_mut().blind.push(TimeSpan { from_us, until_us: Some(until_us) });
    }

    /// Returns the records so far, with the journals of all stand-ins.
    ///
    /// # Errors
    ///
    /// A stand-in does not answer.
    pub async fn evidence(&self, fleet: &Fleet) -> Result<Evidence> {
        let mut e = self.evidence.borrow().clone();
        e.engines = fleet.engine_journals().await?;
        for p in &fleet.plan.plain {
            e.plain.insert(p.name.to_string(), fleet.journal(&p.name).await?);
        }
        Ok(e)
    }

    /// Reads the journals and returns all violations so far.
    ///
    /// # Errors
    ///
    /// A stand-in does not answer.
    pub async fn check(&self, fleet: &Fleet) -> Result<Vec<Violation>> {
        Ok(self.evidence(fleet).await?.check())
    }
}
