//! Parser of the operators' rules files that reports errors with file and line.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    ops::Range,
};

use arcstr::ArcStr;
use serde::de::DeserializeOwned;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Error, ValueDeserializer},
};

use super::{Issue, Location, Rules, Section};

/// Error in a rules file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File name as given.
    pub file: String,
    /// Line, starting at 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// All findings in the files of one version, at least one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Findings(pub Vec<Finding>);

/// Rules file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// File name for findings.
    pub name: String,
    /// Content.
    pub text: String,
}

impl Rules {
    /// Parses and checks a version that is a single TOML file.
    ///
    /// # Errors
    ///
    /// All findings in the file, sorted by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        Self::read(&[SourceFile { name: file.into(), text: text.into() }])
    }

    /// Parses and checks a version that is split into several TOML files.
    ///
    /// # Errors
    ///
    /// All findings in all files, sorted by file and line.
    pub fn read(files: &[SourceFile]) -> Result<Self, Findings> {
        let mut reader = Reader::default();
        for f in files {
            reader.open(f);
        }
        for i in 0..reader.sources.len() {
            reader.file(i);
        }
        reader.finish()
    }
}

/// File that is being parsed.
struct Source<'a> {
    name: &'a str,
    table: DeTable<'a>,
    // Offsets of the newlines.
    line_ends: Vec<usize>,
    parsed: bool,
}

/// Index of a file, and a line in it.
type Position = (usize, usize);

#[derive(Default)]
struct Reader<'a> {
    sources: Vec<Source<'a>>,
    rules: Rules,
    findings: Vec<(Position, String)>,
    // Position of the definition of each section or item.
    seen: BTreeMap<(Section, ArcStr), Position>,
    // Items that could not be parsed. Findings that only follow from that are not reported.
    broken: BTreeSet<(Section, ArcStr)>,
    models: Vec<Position>,
}

impl<'a> Reader<'a> {
    fn open(&mut self, file: &'a SourceFile) {
        let (table, errors) = DeTable::parse_recoverable(&file.text);
        let line_ends = file.text.match_indices('\n').map(|(i, _)| i).collect();
        let (name, i) = (file.name.as_str(), self.sources.len());
        let table = table.into_inner();
        self.sources.push(Source { name, table, line_ends, parsed: errors.is_empty() });
        for e in errors {
            let position = (i, self.sources[i].line(e.span()));
            self.findings.push((position, e.message().into()));
        }
    }

    fn file(&mut self, i: usize) {
        if !self.sources[i].parsed {
            return;
        }
        for (key, value) in std::mem::take(&mut self.sources[i].table) {
            self.table(i, &key, &value);
            self.sources[i].table.insert(key, value);
        }
    }

    fn table(&mut self, i: usize, key: &Spanned<impl AsRef<str>>, value: &Spanned<DeValue<'a>>) {
        let position = (i, self.sources[i].line(Some(key.span())));
        let Some(section) = Section::from_key(key.get_ref().as_ref()) else {
            let message = format!("unknown table or key {}", key.get_ref().as_ref());
            return self.findings.push((position, message));
        };
        match section {
            Section::Hosts => {
                if let Some(v) = self.single(section, position, value) {
                    self.rules.hosts = v;
                }
            }
            Section::Store => {
                if let Some(v) = self.single(section, position, value) {
                    self.rules.store = v;
                }
            }
            Section::Objectives => {
                if let Some(v) = self.single(section, position, value) {
                    self.rules.objectives = v;
                }
            }
            Section::Models => self.model_list(position, value),
            Section::Adapters => self.items(section, position, value, |r, n, v| {
                r.adapters.insert(n, v);
            }),
            Section::Accounts => self.items(section, position, value, |r, n, v| {
                r.accounts.insert(n, v);
            }),
            Section::Upstreams => self.items(section, position, value, |r, n, v| {
                r.upstreams.insert(n, v);
            }),
            Section::Routes => self.items(section, position, value, |r, n, v| {
                r.routes.insert(n, v);
            }),
        }
    }

    /// Parses a value that only one file may define.
    fn single<T: DeserializeOwned>(
        &mut self,
        section: Section,
        position: Position,
        value: &Spanned<DeValue<'a>>,
    ) -> Option<T> {
        let none = ArcStr::new();
        if self.is_new(section, &none, position) {
            self.item(section, none, position, value)
        } else {
            None
        }
    }

    fn model_list(&mut self, position: Position, value: &Spanned<DeValue<'a>>) {
        let Some(list) = value.get_ref().as_array() else {
            self.broken.insert((Section::Models, ArcStr::new()));
            return self.findings.push((position, "models is not a list".into()));
        };
        for v in list.iter() {
            let position = (position.0, self.sources[position.0].line(Some(v.span())));
            match v.get_ref().as_str() {
                Some(m) if self.is_new(Section::Models, &m.into(), position) => {
                    self.rules.models.push(m.into());
                    self.models.push(position);
                }
                Some(_) => {}
                None => {
                    self.broken.insert((Section::Models, ArcStr::new()));
                    self.findings.push((position, "a model is not a string".into()));
                }
            }
        }
    }

    fn items<T: DeserializeOwned>(
        &mut self,
        section: Section,
        position: Position,
        value: &Spanned<DeValue<'a>>,
        put: impl Fn(&mut Rules, ArcStr, T),
    ) {
        let Some(table) = value.get_ref().as_table() else {
            return self.findings.push((position, format!("{section} is not a table")));
        };
        for (key, value) in table {
            let name = ArcStr::from(key.get_ref().as_ref());
            let position = (position.0, self.sources[position.0].line(Some(key.span())));
            if self.is_new(section, &name, position)
                && let Some(v) = self.item(section, name.clone(), position, value)
            {
                put(&mut self.rules, name, v);
            }
        }
    }

    fn is_new(&mut self, section: Section, name: &ArcStr, position: Position) -> bool {
        let Some(first) = self.seen.get(&(section, name.clone())) else {
            self.seen.insert((section, name.clone()), position);
            return true;
        };
        let file = self.sources[first.0].name;
        let what = section.describe(name);
        self.findings.push((position, format!("{what} is already defined at {file}:{}", first.1)));
        false
    }

    fn item<T: DeserializeOwned>(
        &mut self,
        section: Section,
        name: ArcStr,
        position: Position,
        value: &Spanned<DeValue<'a>>,
    ) -> Option<T> {
        let e = match read::<T>(value) {
            Ok(v) => return Some(v),
            Err(e) => e,
        };
        let span = error_span::<T>(value, &e);
        let line = span.map_or(position.1, |s| self.sources[position.0].line(Some(s)));
        self.findings
            .push(((position.0, line), format!("{}: {}", section.describe(&name), e.message())));
        self.broken.insert((section, name));
        None
    }

    fn finish(mut self) -> Result<Rules, Findings> {
        let parsed = self.sources.iter().all(|s| s.parsed);
        if parsed && !self.seen.contains_key(&(Section::Hosts, ArcStr::new())) {
            self.findings.push(((0, 1), "hosts is missing".into()));
            self.broken.insert((Section::Hosts, ArcStr::new()));
        }
        // References into a file with a syntax error cannot be checked.
        if parsed {
            for issue in self.rules.check() {
                if !self.is_consequence(&issue) {
                    self.findings.push((self.position(&issue.place), issue.message));
                }
            }
        }
        self.findings.sort();
        let files: Vec<_> = self.sources.iter().map(|s| s.name.to_owned()).collect();
        let finding = |((i, line), message): (Position, String)| Finding {
            file: files.get(i).cloned().unwrap_or_default(),
            line,
            message,
        };
        let findings: Vec<_> = self.findings.into_iter().map(finding).collect();
        if findings.is_empty() { Ok(self.rules) } else { Err(Findings(findings)) }
    }

    fn is_consequence(&self, issue: &Issue) -> bool {
        let broken = |s, n: &ArcStr| {
            self.broken.contains(&(s, n.clone())) || self.broken.contains(&(s, ArcStr::new()))
        };
        broken(issue.place.section, &issue.place.name)
            || issue.reference.as_ref().is_some_and(|(s, n)| broken(*s, n))
    }

    /// Most specific known position of a location.
    fn position(&self, place: &Location) -> Position {
        if place.section == Section::Models
            && let Some(position) = place.index.and_then(|i| self.models.get(i))
        {
            return *position;
        }
        let name = if place.section.is_single() { ArcStr::new() } else { place.name.clone() };
        let start = self.seen.get(&(place.section, name)).copied().unwrap_or((0, 1));
        let source = &self.sources[start.0];
        source.field(place).map_or(start, |span| (start.0, source.line(Some(span))))
    }
}

impl Source<'_> {
    fn line(&self, span: Option<Range<usize>>) -> usize {
        span.map_or(1, |s| self.line_ends.partition_point(|e| *e < s.start) + 1)
    }

    fn field(&self, place: &Location) -> Option<Range<usize>> {
        let mut table = self.table.get(place.section.key())?.get_ref().as_table()?;
        if !place.section.is_single() {
            table = table.get(place.name.as_str())?.get_ref().as_table()?;
        }
        let (key, value) = table.get_key_value(place.field)?;
        let item = place.index.and_then(|i| value.get_ref().as_array()?.get(i));
        Some(item.map_or(key.span(), Spanned::span))
    }
}

fn read<T: DeserializeOwned>(value: &Spanned<DeValue<'_>>) -> Result<T, Error> {
    T::deserialize(ValueDeserializer::from(value.clone()))
}

/// Span of the field that causes an error. Serde loses the span of a field in a tagged enum; in
/// that case, finds the field whose removal changes the error. The tag is tried last because its
/// removal changes every error.
fn error_span<T: DeserializeOwned>(
    value: &Spanned<DeValue<'_>>,
    e: &Error,
) -> Option<Range<usize>> {
    let table = value.get_ref().as_table()?;
    if let Some(s) = e.span().filter(|s| *s != value.span()) {
        return Some(s);
    }
    if e.message().starts_with("missing field") {
        return None;
    }
    let mut keys: Vec<_> = table.keys().collect();
    keys.sort_by_key(|k| k.get_ref() == "kind");
    keys.into_iter().find_map(|key| {
        let mut rest = table.clone();
        rest.remove(key.get_ref().as_ref());
        let rest = Spanned::new(value.span(), DeValue::Table(rest));
        let other = read::<T>(&rest).err();
        let same = other.is_some_and(|o| o.message() == e.message());
        (!same).then(|| key.span())
    })
}
