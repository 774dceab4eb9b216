//! Validation of names, ranges and references in the rules.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use arcstr::ArcStr;

use super::{Account, Adapter, Objectives, Route, Rules, Upstream};

/// Largest length of a name. Names appear in URLs, metrics and log events.
pub const MAX_NAME_BYTES: usize = 128;

/// Largest rate, burst or cost: buckets count millionths of a token in 64 bits.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;

/// Paths that the daemon serves itself, which a route may not cover.
const RESERVED_PATHS: [&str; 9] = [
    "/admin",
    "/healthz",
    "/metrics",
    "/readyz",
    "/v1/chat/completions",
    "/v1/completions",
    "/v1/hosts",
    "/v1/models",
    "/v1/tickets",
];

/// Top-level key of the rules files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Section {
    /// `hosts`.
    Hosts,
    /// `store`.
    Store,
    /// `models`.
    Models,
    /// `adapters`.
    Adapters,
    /// `accounts`.
    Accounts,
    /// `upstreams`.
    Upstreams,
    /// `routes`.
    Routes,
    /// `objectives`.
    Objectives,
}

impl Section {
    const ALL: [Self; 8] = [
        Self::Hosts,
        Self::Store,
        Self::Models,
        Self::Adapters,
        Self::Accounts,
        Self::Upstreams,
        Self::Routes,
        Self::Objectives,
    ];

    /// Finds a section by its key.
    pub fn from_key(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.key() == key)
    }

    /// Its key in the rules files.
    pub fn key(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Store => "store",
            Self::Models => "models",
            Self::Adapters => "adapters",
            Self::Accounts => "accounts",
            Self::Upstreams => "upstreams",
            Self::Routes => "routes",
            Self::Objectives => "objectives",
        }
    }

    /// Names one of its items in a message.
    pub fn describe(self, name: &str) -> String {
        match self {
            Self::Models => format!("model {name}"),
            Self::Adapters => format!("adapter {name}"),
            Self::Accounts => format!("account {name}"),
            Self::Upstreams => format!("upstream {name}"),
            Self::Routes => format!("route {name}"),
            Self::Hosts | Self::Store | Self::Objectives => self.key().into(),
        }
    }

    pub(super) fn is_single(self) -> bool {
        matches!(self, Self::Hosts | Self::Store | Self::Objectives)
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.key())
    }
}

/// Location of an issue in the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Top-level key.
    pub section: Section,
    /// Name of the item, empty if the section is a single item.
    pub name: ArcStr,
    /// Field of the item, empty for the item itself.
    pub field: &'static str,
    /// Index of the element, if the field is a list.
    pub index: Option<usize>,
}

/// Failed check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Issue {
    /// Where it was found.
    pub place: Location,
    /// Another item that the check depends on, such as the target of a reference.
    pub reference: Option<(Section, ArcStr)>,
    /// Description for operators.
    pub message: String,
}

impl Rules {
    /// Checks names, ranges and references, and returns all issues.
    pub fn check(&self) -> Vec<Issue> {
        let mut c = Checker { rules: self, out: Vec::new() };
        c.hosts_and_models();
        for (name, a) in &self.adapters {
            c.adapter(name, a);
        }
        c.accounts();
        c.upstreams();
        for (path, r) in &self.routes {
            c.route(path, r);
        }
        c.objectives(&self.objectives);
        c.out
    }
}

struct Checker<'a> {
    rules: &'a Rules,
    out: Vec<Issue>,
}

/// Item that is checked: its section and name.
#[derive(Clone, Copy)]
struct Item<'a>(Section, &'a ArcStr);

impl Item<'_> {
    fn place(self, field: &'static str, index: Option<usize>) -> Location {
        Location { section: self.0, name: self.1.clone(), field, index }
    }
}

impl Checker<'_> {
    fn report(&mut self, item: Item<'_>, field: &'static str, index: Option<usize>, what: String) {
        let message = format!("{}: {what}", item.0.describe(item.1));
        self.out.push(Issue { place: item.place(field, index), reference: None, message });
    }

    fn set_reference(&mut self, section: Section, name: &ArcStr) {
        if let Some(issue) = self.out.last_mut() {
            issue.reference = Some((section, name.clone()));
        }
    }

    fn name(&mut self, item: Item<'_>, name: &str, field: &'static str, index: Option<usize>) {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
            let what = format!(
                "{name:?} is not a valid name: use 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens \
                 or underscores"
            );
            self.report(item, field, index, what);
        }
    }

    fn range(&mut self, item: Item<'_>, field: &'static str, value: u64, least: u64, most: u64) {
        if !(least..=most).contains(&value) {
            let what = format!("{field} is {value}, allowed are {least} to {most}");
            self.report(item, field, None, what);
        }
    }

    fn hosts_and_models(&mut self) {
        let none = ArcStr::new();
        let (hosts, store) = (self.rules.hosts, self.rules.store);
        if !(1..=7).contains(&hosts) {
            let message = format!("hosts is {hosts}, allowed are 1 to 7");
            let place = Item(Section::Hosts, &none).place("", None);
            self.out.push(Issue { place, reference: None, message });
        }
        let item = Item(Section::Store, &none);
        self.range(item, "rate", store.rate, 1, MAX_TOKENS);
        // The limit is split over the hosts of a group; a host without a share could never load.
        if (1..=7).contains(&hosts) && store.flight < u64::from(hosts) {
            let what = format!("flight is {}, each of {hosts} hosts needs 1", store.flight);
            self.report(item, "flight", None, what);
            self.set_reference(Section::Hosts, &none);
        }
        for (i, m) in self.rules.models.iter().enumerate() {
            let item = Item(Section::Models, m);
            self.name(item, m, "", Some(i));
            if self.rules.models[..i].contains(m) {
                self.report(item, "", Some(i), "is listed twice".into());
            }
        }
    }

    fn model(&mut self, item: Item<'_>, model: &ArcStr) {
        if !self.rules.models.contains(model) {
            self.report(item, "model", None, format!("unknown model {model}"));
            self.set_reference(Section::Models, model);
        }
    }

    fn adapter(&mut self, name: &ArcStr, a: &Adapter) {
        let item = Item(Section::Adapters, name);
        self.name(item, name, "", None);
        self.model(item, &a.model);
        if a.versions.is_empty() {
            self.report(item, "versions", None, "no versions".into());
        }
        for (i, v) in a.versions.iter().enumerate() {
            self.name(item, v, "versions", Some(i));
            if a.versions[..i].contains(v) {
                self.report(item, "versions", Some(i), format!("version {v} is listed twice"));
            }
        }
    }

    fn accounts(&mut self) {
        let mut owners: BTreeMap<&ArcStr, &ArcStr> = BTreeMap::new();
        for (name, a) in &self.rules.accounts {
            self.account(name, a);
            let item = Item(Section::Accounts, name);
            for (i, k) in a.keys.iter().enumerate() {
                let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
                if k.len() != 64 || !k.bytes().all(hex) {
                    let what = "a key is not a SHA-256 in lower-case hexadecimal";
                    self.report(item, "keys", Some(i), what.into());
                }
                if let Some(other) = owners.insert(k, name) {
                    self.report(item, "keys", Some(i), format!("key already belongs to {other}"));
                    if other != name {
                        self.set_reference(Section::Accounts, other);
                    }
                }
            }
        }
    }

    fn account(&mut self, name: &ArcStr, a: &Account) {
        let item = Item(Section::Accounts, name);
        self.name(item, name, "", None);
        self.range(item, "rate", a.rate, 0, MAX_TOKENS);
        // A rate of 0 is a way to suspend an account. A burst of 0 with a positive rate is reported
        // as a mistake.
        self.range(item, "burst", a.burst, a.rate.min(1), MAX_TOKENS);
        self.range(item, "weight", a.weight.into(), 1, 1_000_000);
    }

    fn upstreams(&mut self) {
        let mut addrs: BTreeMap<SocketAddr, &ArcStr> = BTreeMap::new();
        for (name, u) in &self.rules.upstreams {
            let item = Item(Section::Upstreams, name);
            self.name(item, name, "", None);
            self.name(item, u.domain(), "domain", None);
            match u {
                Upstream::Engine { model, slots, batch, .. } => {
                    self.model(item, model);
                    self.range(item, "slots", (*slots).into(), 1, 100_000);
                    self.range(item, "batch", (*batch).into(), 1, 100_000);
                }
                Upstream::Plain { limit, .. } => {
                    self.range(item, "limit", (*limit).into(), 1, 100_000);
                }
            }
            let Ok(addr) = u.addr().parse() else {
                self.report(item, "addr", None, format!("addr {} is not IP:PORT", u.addr()));
                continue;
            };
            if let Some(other) = addrs.insert(addr, name) {
                self.report(item, "addr", None, format!("addr {addr} already belongs to {other}"));
                self.set_reference(Section::Upstreams, other);
            }
        }
    }

    fn route(&mut self, path: &ArcStr, r: &Route) {
        let item = Item(Section::Routes, path);
        if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
            self.report(item, "", None, "a path must start with / and have no spaces".into());
        }
        let path = path.trim_end_matches('/');
        let own =
            |r: &&str| path.strip_prefix(*r).is_some_and(|p| p.is_empty() || p.starts_with('/'));
        if let Some(r) = RESERVED_PATHS.into_iter().find(own) {
            self.report(item, "", None, format!("{r} is a path of the daemon"));
        }
        if r.upstreams.is_empty() {
            self.report(item, "upstreams", None, "no upstreams".into());
        }
        for (i, u) in r.upstreams.iter().enumerate() {
            match self.rules.upstreams.get(u) {
                Some(Upstream::Plain { .. }) => {}
                Some(Upstream::Engine { .. }) => {
                    self.report(item, "upstreams", Some(i), format!("upstream {u} is an engine"));
                }
                None => {
                    self.report(item, "upstreams", Some(i), format!("unknown upstream {u}"));
                    self.set_reference(Section::Upstreams, u);
                }
            }
        }
        self.range(item, "cost", r.cost, 0, MAX_TOKENS);
        if r.open && r.cost > 0 {
            self.report(item, "cost", None, "an open route has no account to charge".into());
        }
    }

    fn objectives(&mut self, o: &Objectives) {
        let none = ArcStr::new();
        let item = Item(Section::Objectives, &none);
        self.range(item, "first_ms", o.first_ms, 1, 120_000);
        self.range(item, "status_ms", o.status_ms, 1, 120_000);
        // A share of 1,000,000 would leave no error budget.
        self.range(item, "first_ppm", o.first_ppm.into(), 1, 999_999);
        self.range(item, "status_ppm", o.status_ppm.into(), 1, 999_999);
        self.range(item, "refusal_ppm", o.refusal_ppm.into(), 1, 999_999);
        self.range(item, "stall_ppm", o.stall_ppm.into(), 1, 999_999);
    }
}
