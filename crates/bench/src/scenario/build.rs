//! Converts a scenario into the plan of its fleet.

use std::time::Duration;

use yuccawing_core::rules;

use super::Scenario;
use crate::plan::{EnginePlan, FleetPlan, PlainPlan, WeightStorePlan};

/// Path of idempotent calls to plain services.
pub const NOTES_PATH: &str = "/notes";

/// Path of calls to plain services that must run at most once.
pub const ONCE_PATH: &str = "/once";

/// Limit on a graceful shutdown of a host, in seconds.
const STOP_TIMEOUT_S: u64 = 40;

impl Scenario {
    /// Builds the plan of the fleet, with all connections through the proxy.
    pub fn plan(&self) -> FleetPlan {
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        let mut p = FleetPlan::new(3);
        p.hosts.clone_from(&self.hosts);
        let engines = self.engines.iter().flat_map(|e| std::iter::repeat_n(e, e.count));
        p.engines = engines
            .enumerate()
            .map(|(i, e)| EnginePlan {
                name: format!("e{i}").into(),
                domain: e.domain.clone(),
                slots: e.slots,
                batch: e.batch,
                fencing: e.fencing,
                first_ms: e.first_ms,
                token_ms: e.token_ms,
            })
            .collect();
        let plain = self.plain.iter().flat_map(|s| std::iter::repeat_n(s, s.count));
        p.plain = plain
            .enumerate()
            .map(|(i, s)| PlainPlan {
                name: format!("p{i}").into(),
                domain: s.domain.clone(),
                limit: s.limit,
            })
            .collect();
        p.store = WeightStorePlan {
            rate: self.store.rate,
            flight: self.store.flight,
            load_ms: self.store.load_ms,
        };
        let a = &self.adapters;
        let repeat = |class, n| std::iter::repeat_n(class, n);
        p.adapters = repeat(rules::Class::Status, a.status)
            .chain(repeat(rules::Class::Interactive, a.interactive))
            .chain(repeat(rules::Class::Drafting, a.drafting))
            .collect();
        p.versions.clone_from(&a.versions);
        p.accounts.clear();
        p.routes.clear();
        for a in &self.accounts {
            p = p.account(&a.name, a.rate, a.burst);
            p.accounts.entry(a.name.clone()).and_modify(|x| x.weight = a.weight);
        }
        if !p.plain.is_empty() {
            p = p.route(NOTES_PATH, |_| {}).route(ONCE_PATH, |r| r.idempotent = false);
        }
        p.domain_delay = ms(self.delay.domains_ms);
        p.caller_delay = ms(self.delay.callers_ms);
        p.stop_limit_s = STOP_TIMEOUT_S;
        p.proxied()
    }
}
