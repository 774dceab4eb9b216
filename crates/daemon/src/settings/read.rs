//! Reads keys one by one and collects findings with their line.

use std::{net::SocketAddr, ops::RangeInclusive};

use serde::de::DeserializeOwned;
use slog::Level;
use toml::{Table, Value};
use yuccawing_core::rules::{Finding, Findings};

use crate::control::messages::KeyHash;

/// Tables of the settings; the empty name is the root.
const SECTIONS: &[&str] =
    &["listen", "platform", "plaintext", "tls", "log", "stop", "limits", "admin"];

pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    root: Table,
    found: Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Result<Self, Findings> {
        let root = text.parse::<Table>().map_err(|e| {
            let line = e.span().map_or(1, |s| text[..s.start].matches('\n').count() + 1);
            Findings(vec![Finding { file: file.into(), line, message: e.message().into() }])
        })?;
        Ok(Self { file, text, root, found: Vec::new() })
    }

    pub(super) fn is_clean(&self) -> bool {
        self.found.is_empty()
    }

    pub(super) fn findings(mut self) -> Findings {
        self.found.sort_by_key(|f| f.line);
        Findings(self.found)
    }

    pub(super) fn find(&mut self, section: &str, key: &str, message: impl Into<String>) {
        let line = self.line(section, key);
        self.found.push(Finding { file: self.file.into(), line, message: message.into() });
    }

    pub(super) fn has(&self, section: &str) -> bool {
        self.root.contains_key(section)
    }

    pub(super) fn need<T: DeserializeOwned>(&mut self, section: &str, key: &str) -> Option<T> {
        match self.take(section, key) {
            Some(v) => self.convert(section, key, v),
            None => {
                self.find(section, key, format!("{} is missing", path(section, key)));
                None
            }
        }
    }

    pub(super) fn or<T: DeserializeOwned>(&mut self, section: &str, key: &str, other: T) -> T {
        match self.take(section, key) {
            Some(v) => self.convert(section, key, v).unwrap_or(other),
            None => other,
        }
    }

    pub(super) fn addr(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text: String = self.need(section, key)?;
        let addr = text.parse().ok();
        if addr.is_none() {
            let message = format!("{}: {text:?} is not IP:PORT", path(section, key));
            self.find(section, key, message);
        }
        addr
    }

    pub(super) fn hash(&mut self, section: &str, key: &str) -> Option<KeyHash> {
        let text: Option<String> = self.or(section, key, None);
        let hash = KeyHash::parse(text.as_deref()?);
        if hash.is_none() {
            let message = format!("{} is not a SHA-256 in hexadecimal", path(section, key));
            self.find(section, key, message);
        }
        hash
    }

    pub(super) fn level(&mut self, section: &str, key: &str) -> Level {
        let text: String = self.or(section, key, "info".to_owned());
        text.parse().unwrap_or_else(|()| {
            let message = format!("{}: unknown level {text:?}", path(section, key));
            self.find(section, key, message);
            Level::Info
        })
    }

    pub(super) fn range(
        &mut self,
        section: &str,
        key: &str,
        other: u64,
        allowed: RangeInclusive<u64>,
    ) -> u64 {
        let n = self.or(section, key, other);
        if allowed.contains(&n) {
            return n;
        }
        let (low, high) = (allowed.start(), allowed.end());
        let message = format!("{} is {n}, allowed are {low} to {high}", path(section, key));
        self.find(section, key, message);
        other
    }

    /// Reports the keys that nothing has read.
    pub(super) fn unknown(&mut self) {
        for (name, value) in std::mem::take(&mut self.root) {
            match value {
                Value::Table(t) if SECTIONS.contains(&name.as_str()) => {
                    for key in t.keys() {
                        self.find(&name, key, format!("unknown key {}", path(&name, key)));
                    }
                }
                _ => self.find("", &name, format!("unknown key {name}")),
            }
        }
    }

    fn take(&mut self, section: &str, key: &str) -> Option<Value> {
        match section {
            "" => self.root.remove(key),
            _ => self.root.get_mut(section)?.as_table_mut()?.remove(key),
        }
    }

    fn convert<T: DeserializeOwned>(&mut self, section: &str, key: &str, v: Value) -> Option<T> {
        match v.try_into() {
            Ok(x) => Some(x),
            Err(e) => {
                let message = format!("{}: {}", path(section, key), e.message());
                self.find(section, key, message);
                None
            }
        }
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let (mut current, mut header) = (String::new(), 1);
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[') {
                name.split(']').next().unwrap_or("").trim().clone_into(&mut current);
                if current == section || (section.is_empty() && current == key) {
                    header = i + 1;
                }
            } else if current == section
                && line.split('=').next().is_some_and(|k| k.trim().trim_matches('"') == key)
            {
                return i + 1;
            }
        }
        header
    }
}

fn path(section: &str, key: &str) -> String {
    if section.is_empty() { key.to_owned() } else { format!("{section}.{key}") }
}
