//! Answers of `GET /admin/status` and `GET /admin/explain`.

use serde_json::{Value, json};
use yuccawing_core::{placement::AdapterVersion, time::Tick};

use super::{Control, messages::Explain};

impl Control {
    /// Describes the state of the host.
    pub(super) fn status(&mut self, now: Tick) -> Value {
        let authority = self.authority(now);
        let accounts = self.allowance.report(now, authority);
        let peers: Vec<_> = self
            .membership
            .peers(now)
            .map(|(h, s)| json!({"name": h.name, "ordinal": h.ordinal, "domain": h.domain, "status": s}))
            .collect();
        json!({
            "name": self.setup.settings.name,
            "ordinal": self.ordinal(),
            "incarnation": self.setup.incarnation.to_string(),
            "version": self.config.version(),
            "ready": self.config.is_ready(),
            "stale": self.config.is_stale(now),
            "leaving": self.leaving,
            "lease": authority.map(|a| json!({
                "generation": a.generation,
                "parts": a.parts,
                "remaining_ms": a.until.since(now).as_millis(),
            })),
            "requests": {"open": self.open_requests(), "waiting": self.queue.len()},
            "peers": peers,
            "accounts": accounts,
            "engines": self.controlled.iter().map(|s| s.name.clone()).collect::<Vec<_>>(),
            "loading": self.placement.loads_in_flight(),
        })
    }

    /// Explains the state of a request, or the replicas of an adapter.
    pub(super) fn explain(&self, now: Tick, what: &Explain) -> Option<Value> {
        match what {
            Explain::Request(id) => self.explain_request(now, *id),
            Explain::Adapter(name) => {
                let rules = self.config.rules()?;
                let adapter = rules.adapters.get(name)?;
                let copies: Vec<_> = adapter
                    .versions
                    .iter()
                    .flat_map(|v| {
                        let target = AdapterVersion { adapter: name.clone(), version: v.clone() };
                        self.route.replicas(now, &target)
                    })
                    .map(|c| {
                        json!({
                            "engine": c.engine, "fill": c.fill, "ejected": c.ejected,
                            "leaving": c.leaving,
                        })
                    })
                    .collect();
                let controlled = self.placement.explain(now, name);
                Some(json!({
                    "adapter": name, "model": adapter.model, "versions": adapter.versions,
                    "copies": copies, "controlled": controlled,
                }))
            }
        }
    }
}
