//! Differences between two versions of the rules, described for operators.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use arcstr::ArcStr;

use super::{Account, Adapter, Class, Route, Rules, Section, Upstream};

/// Difference between two versions in one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Top-level key.
    pub section: Section,
    /// Name of the item, empty if the section is a single item.
    pub name: ArcStr,
    /// Kind of the difference.
    pub kind: ChangeKind,
}

/// Kind of a difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The item is new.
    Added,
    /// The item was removed.
    Removed,
    /// A number changed.
    Number {
        /// Name of the field.
        field: &'static str,
        /// Old value.
        from: u64,
        /// New value.
        to: u64,
        /// Unit, empty if it has none.
        unit: &'static str,
    },
    /// A name, address or flag changed.
    Text {
        /// Name of the field.
        field: &'static str,
        /// Old value.
        from: ArcStr,
        /// New value.
        to: ArcStr,
    },
    /// An element was added to a list.
    EntryAdded {
        /// Type of the element.
        entry: ListEntry,
        /// Value of the element.
        value: ArcStr,
    },
    /// An element was removed from a list.
    EntryRemoved {
        /// Type of the element.
        entry: ListEntry,
        /// Value of the element.
        value: ArcStr,
    },
}

/// Type of a list element.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEntry {
    /// A version of an adapter.
    Version,
    /// Digest of an account's API key.
    Key,
    /// An upstream of a route.
    Upstream,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.section.describe(&self.name))?;
        match &self.kind {
            ChangeKind::Added => write!(f, " added"),
            ChangeKind::Removed => write!(f, " removed{}", consequence(self.section)),
            ChangeKind::Number { field, from, to, unit } => {
                let verb = if to < from { "lowered" } else { "raised" };
                let field = if field.is_empty() { String::new() } else { format!(": {field}") };
                let unit = if unit.is_empty() { String::new() } else { format!(" {unit}") };
                write!(f, "{field} {verb} from {from} to {to}{unit}")
            }
            ChangeKind::Text { field, from, to } => {
                write!(f, ": {field} changed from {from} to {to}")
            }
            ChangeKind::EntryAdded { entry: ListEntry::Key, value } => {
                write!(f, ": key {} added", short(value))
            }
            ChangeKind::EntryRemoved { entry: ListEntry::Key, value } => {
                let after = "callers with it are refused once the version is in force";
                write!(f, ": key {} withdrawn; {after}", short(value))
            }
            ChangeKind::EntryAdded { entry, value } => write!(f, ": {entry} {value} added"),
            ChangeKind::EntryRemoved { entry: ListEntry::Version, value } => {
                write!(f, ": version {value} withdrawn; requests for it are refused")
            }
            ChangeKind::EntryRemoved { entry, value } => write!(f, ": {entry} {value} withdrawn"),
        }
    }
}

impl fmt::Display for ListEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Version => "version",
            Self::Key => "key",
            Self::Upstream => "upstream",
        })
    }
}

fn consequence(section: Section) -> &'static str {
    match section {
        Section::Adapters => "; requests for it are refused",
        Section::Accounts => "; all its keys are withdrawn",
        Section::Upstreams => "; it gets no new work",
        Section::Routes => "; calls to it are refused",
        _ => "",
    }
}

// 12 digits identify a key, and operators see the same digits in their own key lists.
fn short(key: &str) -> &str {
    key.get(..12).unwrap_or(key)
}

impl Rules {
    /// Differences from these rules to `new`, sorted by section and name.
    pub fn diff(&self, new: &Self) -> Vec<Change> {
        let mut d = Differ::default();
        let none = ArcStr::new();
        d.at(Section::Hosts, &none).number("", self.hosts.into(), new.hosts.into(), "");
        d.at(Section::Store, &none)
            .number("rate", self.store.rate, new.store.rate, "loads/s")
            .number("flight", self.store.flight, new.store.flight, "loads");
        let set = |l: &[ArcStr]| l.iter().cloned().map(|m| (m, ())).collect();
        let (old_models, new_models) = (set(&self.models), set(&new.models));
        d.items(Section::Models, &old_models, &new_models, |_, (), ()| {});
        d.items(Section::Adapters, &self.adapters, &new.adapters, Differ::adapter);
        d.items(Section::Accounts, &self.accounts, &new.accounts, Differ::account);
        d.items(Section::Upstreams, &self.upstreams, &new.upstreams, Differ::upstream);
        d.items(Section::Routes, &self.routes, &new.routes, Differ::route);
        let (o, n) = (&self.objectives, &new.objectives);
        d.at(Section::Objectives, &none)
            .number("first_ms", o.first_ms, n.first_ms, "ms")
            .number("status_ms", o.status_ms, n.status_ms, "ms")
            .number("first_ppm", o.first_ppm.into(), n.first_ppm.into(), "ppm")
            .number("status_ppm", o.status_ppm.into(), n.status_ppm.into(), "ppm")
            .number("refusal_ppm", o.refusal_ppm.into(), n.refusal_ppm.into(), "ppm")
            .number("stall_ppm", o.stall_ppm.into(), n.stall_ppm.into(), "ppm");
        d.out
    }
}

struct Differ {
    section: Section,
    name: ArcStr,
    out: Vec<Change>,
}

impl Default for Differ {
    fn default() -> Self {
        Self { section: Section::Hosts, name: ArcStr::new(), out: Vec::new() }
    }
}

impl Differ {
    fn at(&mut self, section: Section, name: &ArcStr) -> &mut Self {
        (self.section, self.name) = (section, name.clone());
        self
    }

    fn push(&mut self, kind: ChangeKind) -> &mut Self {
        self.out.push(Change { section: self.section, name: self.name.clone(), kind });
        self
    }

    fn number(&mut self, field: &'static str, from: u64, to: u64, unit: &'static str) -> &mut Self {
        if from == to { self } else { self.push(ChangeKind::Number { field, from, to, unit }) }
    }

    fn text(&mut self, field: &'static str, from: &str, to: &str) -> &mut Self {
        if from == to {
            return self;
        }
        self.push(ChangeKind::Text { field, from: from.into(), to: to.into() })
    }

    fn entries(&mut self, entry: ListEntry, old: &[ArcStr], new: &[ArcStr]) -> &mut Self {
        let (a, b): (BTreeSet<_>, BTreeSet<_>) = (old.iter().collect(), new.iter().collect());
        for v in a.difference(&b) {
            self.push(ChangeKind::EntryRemoved { entry, value: (*v).clone() });
        }
        for v in b.difference(&a) {
            self.push(ChangeKind::EntryAdded { entry, value: (*v).clone() });
        }
        self
    }

    fn items<T: PartialEq>(
        &mut self,
        section: Section,
        old: &BTreeMap<ArcStr, T>,
        new: &BTreeMap<ArcStr, T>,
        changed: impl Fn(&mut Self, &T, &T),
    ) {
        for (name, o) in old {
            self.at(section, name);
            match new.get(name) {
                Some(n) if n != o => changed(self, o, n),
                Some(_) => {}
                None => drop(self.push(ChangeKind::Removed)),
            }
        }
        for name in new.keys().filter(|n| !old.contains_key(*n)) {
            self.at(section, name).push(ChangeKind::Added);
        }
    }

    fn adapter(&mut self, old: &Adapter, new: &Adapter) {
        let last = |a: &Adapter| a.versions.last().cloned().unwrap_or_default();
        self.text("model", &old.model, &new.model)
            .entries(ListEntry::Version, &old.versions, &new.versions)
            .text("default version", &last(old), &last(new))
            .text("class", class(old.class), class(new.class));
    }

    fn account(&mut self, old: &Account, new: &Account) {
        self.number("rate", old.rate, new.rate, "tokens/s")
            .number("burst", old.burst, new.burst, "tokens")
            .number("weight", old.weight.into(), new.weight.into(), "")
            .entries(ListEntry::Key, &old.keys, &new.keys);
    }

    fn upstream(&mut self, old: &Upstream, new: &Upstream) {
        self.text("kind", kind(old), kind(new)).text("addr", old.addr(), new.addr()).text(
            "domain",
            old.domain(),
            new.domain(),
        );
        match (old, new) {
            (
                Upstream::Engine { model, slots, batch, fencing, .. },
                Upstream::Engine { model: m, slots: s, batch: b, fencing: f, .. },
            ) => {
                self.text("model", model, m)
                    .number("slots", (*slots).into(), (*s).into(), "")
                    .number("batch", (*batch).into(), (*b).into(), "")
                    .text("fencing", flag(*fencing), flag(*f));
            }
            (Upstream::Plain { limit, .. }, Upstream::Plain { limit: l, .. }) => {
                self.number("limit", (*limit).into(), (*l).into(), "calls");
            }
            _ => {}
        }
    }

    fn route(&mut self, old: &Route, new: &Route) {
        self.entries(ListEntry::Upstream, &old.upstreams, &new.upstreams)
            .text("open", flag(old.open), flag(new.open))
            .text("idempotent", flag(old.idempotent), flag(new.idempotent))
            .number("cost", old.cost, new.cost, "tokens");
    }
}

fn class(c: Class) -> &'static str {
    match c {
        Class::Status => "status",
        Class::Interactive => "interactive",
        Class::Drafting => "drafting",
    }
}

fn kind(u: &Upstream) -> &'static str {
    match u {
        Upstream::Engine { .. } => "engine",
        Upstream::Plain { .. } => "plain",
    }
}

fn flag(on: bool) -> &'static str {
    if on { "yes" } else { "no" }
}
