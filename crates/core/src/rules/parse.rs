//! Reading and checking of the operators' files.

use std::{collections::BTreeMap, fmt};

use arcstr::ArcStr;

use super::{Rules, Upstream};

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File name as given.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// All findings of one check, at least one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Findings(pub Vec<Finding>);

impl Rules {
    /// Reads and checks one TOML file.
    ///
    /// # Errors
    ///
    /// All findings, each with file and line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let rules: Self = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line_at(text, s.start));
            Findings(vec![Finding { file: file.into(), line, message: e.message().into() }])
        })?;
        let found: Vec<_> = rules
            .check()
            .into_iter()
            .map(|(key, message)| Finding { file: file.into(), line: line_of(text, &key), message })
            .collect();
        if found.is_empty() { Ok(rules) } else { Err(Findings(found)) }
    }

    /// Checks references and ranges. Each finding is the name it is about and a message.
    pub fn check(&self) -> Vec<(String, String)> {
        let mut out = Vec::new();
        let mut bad = |key: &str, message: String| out.push((key.to_owned(), message));
        if !(1..=7).contains(&self.hosts) {
            bad("hosts", format!("hosts is {}, allowed are 1 to 7", self.hosts));
        }
        for (name, a) in &self.adapters {
            if !self.models.contains(&a.model) {
                bad(name, format!("adapter {name}: unknown model {}", a.model));
            }
            if a.versions.is_empty() {
                bad(name, format!("adapter {name}: no versions"));
            }
        }
        let mut owners: BTreeMap<&ArcStr, &ArcStr> = BTreeMap::new();
        for (name, a) in &self.accounts {
            for k in &a.keys {
                if k.len() != 64 || !k.bytes().all(|b| b.is_ascii_hexdigit()) {
                    bad(k, format!("account {name}: a key is not a SHA-256 in hexadecimal"));
                }
                if let Some(other) = owners.insert(k, name) {
                    bad(k, format!("account {name}: key already belongs to {other}"));
                }
            }
        }
        for (path, r) in &self.routes {
            for u in &r.upstreams {
                match self.upstreams.get(u) {
                    Some(Upstream::Plain { .. }) => {}
                    Some(Upstream::Engine { .. }) => {
                        bad(path, format!("route {path}: upstream {u} is an engine"));
                    }
                    None => bad(path, format!("route {path}: unknown upstream {u}")),
                }
            }
        }
        for (name, u) in &self.upstreams {
            if let Upstream::Engine { model, .. } = u
                && !self.models.contains(model)
            {
                bad(name, format!("upstream {name}: unknown model {model}"));
            }
            if u.addr().parse::<std::net::SocketAddr>().is_err() {
                bad(name, format!("upstream {name}: addr {} is not IP:PORT", u.addr()));
            }
        }
        out
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

fn line_of(text: &str, key: &str) -> usize {
    text.find(key).map_or(1, |at| line_at(text, at))
}
