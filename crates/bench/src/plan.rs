//! Description of a fleet: its hosts, upstreams, accounts and rules.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use arcstr::ArcStr;
use sha2::{Digest as _, Sha256};
use yuccawing_core::rules::{Account, Adapter, Class, Route, Rules, Store, Upstream};

/// Name of the only base model.
pub const BASE_MODEL: &str = "base";

/// Description of a fleet, built by chained setters; [`FleetPlan::new`] gives a small and fast one.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Failure domain of each host by ordinal.
    pub hosts: Vec<ArcStr>,
    /// Engine stand-ins.
    pub engines: Vec<EnginePlan>,
    /// Plain service stand-ins.
    pub plain: Vec<PlainPlan>,
    /// Store that engines load weights from.
    pub store: WeightStorePlan,
    /// Classes of the adapters `a0`, `a1` and so on.
    pub adapters: Vec<Class>,
    /// Versions of every adapter, oldest first.
    pub versions: Vec<ArcStr>,
    /// Accounts; each has the key [`account_key`] of its name.
    pub accounts: BTreeMap<ArcStr, Account>,
    /// Routes to plain services by path.
    pub routes: BTreeMap<ArcStr, Route>,
    /// One-way delay between failure domains; needs the proxy.
    pub domain_delay: Duration,
    /// One-way delay between callers and hosts; needs the proxy.
    pub caller_delay: Duration,
    /// Whether all connections pass through the fault-injecting proxy.
    pub proxied: bool,
    /// Limit of a graceful shutdown in the hosts' settings.
    pub stop_limit_s: u64,
}

/// An engine stand-in.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Name.
    pub name: ArcStr,
    /// Failure domain.
    pub domain: ArcStr,
    /// Number of adapter slots.
    pub slots: u32,
    /// Limit of concurrent requests.
    pub batch: u32,
    /// Whether it rejects commands with an old fencing token.
    pub fencing: bool,
    /// Time to the first token.
    pub first_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
}

/// A plain service stand-in.
#[derive(Clone, Debug)]
pub struct PlainPlan {
    /// Name.
    pub name: ArcStr,
    /// Failure domain.
    pub domain: ArcStr,
    /// Limit of concurrent calls.
    pub limit: u32,
}

/// Limits of the store that engines load weights from.
#[derive(Clone, Copy, Debug)]
pub struct WeightStorePlan {
    /// Loads started per second.
    pub rate: u64,
    /// Concurrent loads.
    pub flight: u64,
    /// Duration of a load.
    pub load_ms: u64,
}

impl FleetPlan {
    /// Creates a plan with `hosts` hosts in as many failure domains, two engines with fencing and
    /// one without, one plain service, four adapters of two versions, and one account with ample
    /// limits.
    pub fn new(hosts: u8) -> Self {
        let plan = Self {
            hosts: (0..hosts).map(domain_name).collect(),
            engines: Vec::new(),
            plain: vec![PlainPlan { name: "p0".into(), domain: domain_name(0), limit: 32 }],
            store: WeightStorePlan { rate: 50, flight: 8, load_ms: 50 },
            adapters: vec![Class::Interactive; 4],
            versions: vec!["1".into(), "2".into()],
            accounts: BTreeMap::new(),
            routes: BTreeMap::new(),
            domain_delay: Duration::ZERO,
            caller_delay: Duration::ZERO,
            proxied: false,
            stop_limit_s: 20,
        };
        plan.engine(|e| e.fencing = true)
            .engine(|e| e.fencing = true)
            .engine(|_| {})
            .account("press", 1_000_000, 1_000_000)
            .route("/notes", |_| {})
    }

    /// Adds an engine with a default configuration changed by `f`.
    #[must_use]
    pub fn engine(mut self, f: impl FnOnce(&mut EnginePlan)) -> Self {
        let i = self.engines.len();
        let mut e = EnginePlan {
            name: format!("e{i}").into(),
            domain: self.hosts[i % self.hosts.len()].clone(),
            slots: 4,
            batch: 8,
            fencing: false,
            first_ms: 10,
            token_ms: 2,
        };
        f(&mut e);
        self.engines.push(e);
        self
    }

    /// Removes all engines.
    #[must_use]
    pub fn no_engines(mut self) -> Self {
        self.engines.clear();
        self
    }

    /// Applies `f` to every engine.
    #[must_use]
    pub fn each_engine(mut self, f: impl Fn(&mut EnginePlan)) -> Self {
        self.engines.iter_mut().for_each(f);
        self
    }

    /// Adds an account with a rate in tokens per second and a burst in tokens.
    #[must_use]
    pub fn account(mut self, name: &str, rate: u64, burst: u64) -> Self {
        let keys = vec![key_hash(&account_key(name))];
        self.accounts.insert(name.into(), Account { rate, burst, weight: 1, keys });
        self
    }

    /// Adds a route to all plain services with a default configuration changed by `f`.
    #[must_use]
    pub fn route(mut self, path: &str, f: impl FnOnce(&mut Route)) -> Self {
        let upstreams = self.plain.iter().map(|p| p.name.clone()).collect();
        let mut r = Route { upstreams, open: false, idempotent: true, cost: 0 };
        f(&mut r);
        self.routes.insert(path.into(), r);
        self
    }

    /// Replaces the adapters by `n` interactive ones.
    #[must_use]
    pub fn adapters(mut self, n: usize) -> Self {
        self.adapters = vec![Class::Interactive; n];
        self
    }

    /// Sets the limits of the weight store.
    #[must_use]
    pub fn store(mut self, store: WeightStorePlan) -> Self {
        self.store = store;
        self
    }

    /// Makes all connections pass through the fault-injecting proxy.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Returns the rules of the fleet; `addr` returns the address by which hosts reach an upstream.
    pub fn rules(&self, addr: impl Fn(&str) -> SocketAddr) -> Rules {
        let engines = self.engines.iter().map(|e| {
            let u = Upstream::Engine {
                addr: addr(&e.name).to_string().into(),
                domain: e.domain.clone(),
                model: BASE_MODEL.into(),
                slots: e.slots,
                batch: e.batch,
                fencing: e.fencing,
            };
            (e.name.clone(), u)
        });
        let plain = self.plain.iter().map(|p| {
            let u = Upstream::Plain {
                addr: addr(&p.name).to_string().into(),
                domain: p.domain.clone(),
                limit: p.limit,
            };
            (p.name.clone(), u)
        });
        let adapters = self.adapters.iter().enumerate().map(|(i, class)| {
            let versions = self.versions.clone();
            (adapter_name(i).into(), Adapter { model: BASE_MODEL.into(), versions, class: *class })
        });
        Rules {
            hosts: u8::try_from(self.hosts.len()).unwrap_or(u8::MAX),
            store: Store { rate: self.store.rate, flight: self.store.flight },
            models: vec![BASE_MODEL.into()],
            adapters: adapters.collect(),
            accounts: self.accounts.clone(),
            upstreams: engines.chain(plain).collect(),
            routes: self.routes.clone(),
            ..Rules::default()
        }
    }
}

/// Returns the name of adapter `i`.
pub fn adapter_name(i: usize) -> String {
    format!("a{i}")
}

/// Returns the API key of an account.
pub fn account_key(account: &str) -> String {
    format!("key-of-{account}-5d1e")
}

/// Returns the SHA-256 of a key in hexadecimal, the form in which rules contain it.
pub fn key_hash(key: &str) -> ArcStr {
    Sha256::digest(key).iter().map(|b| format!("{b:02x}")).collect::<String>().into()
}

fn domain_name(i: u8) -> ArcStr {
    char::from(b'a' + i % 26).to_string().into()
}
