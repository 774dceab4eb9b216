//! Index of one version of the configuration, for lookups by the thread that serves requests.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use arcstr::ArcStr;

use super::config::{Account, FleetConfig, Route};

/// A configuration with its routes by host and its accounts by API key.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The indexed configuration.
    pub config: FleetConfig,
    // Routes by Host header, longest prefix first.
    hosts: HashMap<ArcStr, Vec<Arc<Route>>>,
    keys: HashMap<ArcStr, usize>,
    closed: HashSet<ArcStr>,
}

impl Catalog {
    /// Indexes `config`.
    pub fn new(config: FleetConfig) -> Self {
        let mut hosts: HashMap<ArcStr, Vec<Arc<Route>>> = HashMap::new();
        for r in &config.routes {
            hosts.entry(r.host.clone()).or_default().push(Arc::new(r.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let accounts = config.accounts.iter().enumerate();
        let keys = accounts.flat_map(|(i, a)| a.keys.iter().map(move |k| (k.clone(), i))).collect();
        let closed = config.closed_keys.iter().cloned().collect();
        Self { config, hosts, keys, closed }
    }

    /// Route of a request. `host` is its Host header and may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name).or_else(|| {
            // Host names are case-insensitive.
            self.hosts.get(name.to_ascii_lowercase().as_str())
        })?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether `key` belongs to an account that could not be understood.
    pub fn is_closed(&self, key: &str) -> bool {
        self.closed.contains(key)
    }

    /// Account that `key` belongs to.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.keys.get(key).and_then(|i| self.config.accounts.get(*i))
    }

    /// Picks a service of `route` by weight: always the same one for the same `id`.
    pub fn pick_service(route: &Route, id: &str) -> Option<ArcStr> {
        let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut at = super::hash(&["split", id]) % total;
        for t in &route.targets {
            let weight = u64::from(t.weight);
            if at < weight {
                return Some(t.service.clone());
            }
            at -= weight;
        }
        None
    }
}
