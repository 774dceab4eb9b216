//! Typed access to the keys of a settings file. Errors are collected with their line numbers, so
//! that one run reports all of them.

use std::{net::SocketAddr, ops::RangeInclusive};

use serde::de::DeserializeOwned;
use slog::Level;
use toml::{Table, Value};
use yuccawing_core::rules::{Finding, Findings};

use crate::control::messages::KeyHash;

/// Tables of the settings file. Methods take an empty section for keys outside of any table.
const SECTIONS: &[&str] =
    &["listen", "platform", "plaintext", "tls", "log", "stop", "limits", "admin"];

pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    root: Table,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Result<Self, Findings> {
        let root = text.parse::<Table>().map_err(|e| {
            let line = e.span().map_or(1, |s| text[..s.start].matches('\n').count() + 1);
            Findings(vec![Finding { file: file.into(), line, message: e.message().into() }])
        })?;
        Ok(Self { file, text, root, findings: Vec::new() })
    }

    pub(super) fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub(super) fn into_findings(mut self) -> Findings {
        self.findings.sort_by_key(|f| f.line);
        Findings(self.findings)
    }

    pub(super) fn report(&mut self, section: &str, key: &str, message: impl Into<String>) {
        let line = self.find_line(section, key);
        self.findings.push(Finding { file: self.file.into(), line, message: message.into() });
    }

    pub(super) fn has_section(&self, section: &str) -> bool {
        self.root.contains_key(section)
    }

    pub(super) fn required<T: DeserializeOwned>(&mut self, section: &str, key: &str) -> Option<T> {
        match self.take_value(section, key) {
            Some(v) => self.convert(section, key, v),
            None => {
                self.report(section, key, format!("{} is missing", key_path(section, key)));
                None
            }
        }
    }

    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
    ) -> T {
        match self.take_value(section, key) {
            Some(v) => self.convert(section, key, v).unwrap_or(default),
            None => default,
        }
    }

    pub(super) fn addr(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text: String = self.required(section, key)?;
        let addr = text.parse().ok();
        if addr.is_none() {
            let message = format!("{}: {text:?} is not IP:PORT", key_path(section, key));
            self.report(section, key, message);
        }
        addr
    }

    pub(super) fn key_hash(&mut self, section: &str, key: &str) -> Option<KeyHash> {
        let text: Option<String> = self.optional(section, key, None);
        let hash = KeyHash::parse(text.as_deref()?);
        if hash.is_none() {
            let message = format!("{} is not a SHA-256 in hexadecimal", key_path(section, key));
            self.report(section, key, message);
        }
        hash
    }

    pub(super) fn level(&mut self, section: &str, key: &str) -> Level {
        let text: String = self.optional(section, key, "info".to_owned());
        text.parse().unwrap_or_else(|()| {
            let message = format!("{}: unknown level {text:?}", key_path(section, key));
            self.report(section, key, message);
            Level::Info
        })
    }

    pub(super) fn in_range(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        allowed: RangeInclusive<u64>,
    ) -> u64 {
        let n = self.optional(section, key, default);
        if allowed.contains(&n) {
            return n;
        }
        let (low, high) = (allowed.start(), allowed.end());
        let message = format!("{} is {n}, allowed are {low} to {high}", key_path(section, key));
        self.report(section, key, message);
        default
    }

    /// Reports the keys that have not been read.
    pub(super) fn report_unknown(&mut self) {
        for (name, value) in std::mem::take(&mut self.root) {
            match value {
                Value::Table(t) if SECTIONS.contains(&name.as_str()) => {
                    for key in t.keys() {
                        self.report(&name, key, format!("unknown key {}", key_path(&name, key)));
                    }
                }
                _ => self.report("", &name, format!("unknown key {name}")),
            }
        }
    }

    fn take_value(&mut self, section: &str, key: &str) -> Option<Value> {
        match section {
            "" => self.root.remove(key),
            _ => self.root.get_mut(section)?.as_table_mut()?.remove(key),
        }
    }

    fn convert<T: DeserializeOwned>(&mut self, section: &str, key: &str, v: Value) -> Option<T> {
        match v.try_into() {
            Ok(x) => Some(x),
            Err(e) => {
                let message = format!("{}: {}", key_path(section, key), e.message());
                self.report(section, key, message);
                None
            }
        }
    }

    fn find_line(&self, section: &str, key: &str) -> usize {
        let (mut current, mut header_line) = (String::new(), 1);
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[') {
                name.split(']').next().unwrap_or("").trim().clone_into(&mut current);
                if current == section || (section.is_empty() && current == key) {
                    header_line = i + 1;
                }
            } else if current == section
                && line.split('=').next().is_some_and(|k| k.trim().trim_matches('"') == key)
            {
                return i + 1;
            }
        }
        header_line
    }
}

fn key_path(section: &str, key: &str) -> String {
    if section.is_empty() { key.to_owned() } else { format!("{section}.{key}") }
}
