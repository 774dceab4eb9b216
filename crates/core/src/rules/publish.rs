//! Published form of a version: a head (manifest) and parts addressed by their digest.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest as _, Sha256};

use super::{Account, Adapter, Rules, Upstream};

/// Number of index parts that a head names.
pub const INDEX_COUNT: usize = 16;

/// Number of shards that an index part names. Adapters, accounts and upstreams are hashed by name
/// into 16 x 32 shards. A change to one item replaces its shard, the shard's index part and the
/// head: 6 KB with 21,000 adapters and 12,000 upstreams. With 64 shards and no index parts it would
/// be 54 KB, which at a change every 5 s exceeds the 9 KB/s that a host may use.
pub const SHARDS_PER_INDEX: usize = 32;

/// Largest value that the configuration service accepts.
pub const MAX_PART_BYTES: usize = 1_000_000;

/// First 128 bits of the SHA-256 of a value, in hexadecimal.
pub type Digest = ArcStr;

/// Manifest of a version, which names all its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version number, from 1, increasing.
    pub version: u64,
    /// Digest of the version number and the parts.
    pub digest: Digest,
    /// Digests of the parts: the rules without items in shards, then [`INDEX_COUNT`] index parts.
    /// Each index part lists the digests of [`SHARDS_PER_INDEX`] shards.
    pub parts: Vec<Digest>,
}

/// Values of a version, ready to be published.
#[derive(Clone, Debug)]
pub struct Rendered {
    /// Manifest.
    pub head: Head,
    /// Content of each part, by digest.
    pub parts: BTreeMap<Digest, String>,
}

/// Part with the items whose names have the same hash. One part for all upstreams would exceed
/// [`MAX_PART_BYTES`] with 12,000 of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Shard {
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    adapters: BTreeMap<ArcStr, Adapter>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    accounts: BTreeMap<ArcStr, Account>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    upstreams: BTreeMap<ArcStr, Upstream>,
}

/// Why published values are not a valid version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// A part is missing.
    #[error("part {0} is missing")]
    Missing(Digest),
    /// A value does not match its digest.
    #[error("digest of {0} does not match its content")]
    Mismatch(Digest),
    /// A part cannot be parsed.
    #[error("part {0} cannot be read: {1}")]
    Format(Digest, String),
    /// The rules do not pass the checks.
    #[error("version {0} is invalid: {1}")]
    Invalid(u64, String),
}

impl Head {
    /// Creates a head with the digests of these parts.
    pub fn new(version: u64, parts: Vec<Digest>) -> Self {
        Self { version, digest: head_digest(version, &parts), parts }
    }

    /// Parses and checks a published head.
    ///
    /// # Errors
    ///
    /// The value is too large, is not JSON of a head, or does not pass [`Head::check`].
    pub fn read(bytes: &[u8]) -> Result<Self, PublishError> {
        let format = |m: String| PublishError::Format("head".into(), m);
        if bytes.len() > MAX_PART_BYTES {
            return Err(format(format!("{} bytes, allowed are {MAX_PART_BYTES}", bytes.len())));
        }
        let head: Self = serde_json::from_slice(bytes).map_err(|e| format(e.to_string()))?;
        head.check()?;
        Ok(head)
    }

    /// Checks the version number, the number and format of the digests, and the head's own digest.
    ///
    /// # Errors
    ///
    /// The first failed check.
    pub fn check(&self) -> Result<(), PublishError> {
        let invalid = |m: String| Err(PublishError::Invalid(self.version, m));
        if self.version == 0 {
            return invalid("versions start at 1".into());
        }
        if self.parts.len() != 1 + INDEX_COUNT {
            return invalid(format!(
                "the head has {} parts instead of {}",
                self.parts.len(),
                1 + INDEX_COUNT
            ));
        }
        if !self.parts.iter().all(is_digest) {
            return invalid("the head has an invalid digest of a part".into());
        }
        if !self.is_intact() {
            return Err(PublishError::Mismatch(self.digest.clone()));
        }
        Ok(())
    }

    /// Whether the head's own digest matches its version number and parts.
    pub fn is_intact(&self) -> bool {
        self.digest == head_digest(self.version, &self.parts)
    }
}

impl Rules {
    /// Creates the values to publish these rules as `version`. Equal rules give equal values.
    pub fn render(&self, version: u64) -> Rendered {
        let mut base = self.clone();
        let mut shards = vec![Shard::default(); INDEX_COUNT * SHARDS_PER_INDEX];
        for (name, a) in std::mem::take(&mut base.adapters) {
            shards[shard(&name)].adapters.insert(name, a);
        }
        for (name, a) in std::mem::take(&mut base.accounts) {
            shards[shard(&name)].accounts.insert(name, a);
        }
        for (name, u) in std::mem::take(&mut base.upstreams) {
            shards[shard(&name)].upstreams.insert(name, u);
        }
        let mut parts = BTreeMap::new();
        let mut named = vec![add_part(&base, &mut parts)];
        for chunk in shards.chunks(SHARDS_PER_INDEX) {
            let index: Vec<_> = chunk.iter().map(|s| add_part(s, &mut parts)).collect();
            named.push(add_part(&index, &mut parts));
        }
        Rendered { head: Head::new(version, named), parts }
    }

    /// Reads the rules of a version from its values; `get` returns the content of a part.
    ///
    /// # Errors
    ///
    /// The first part that is missing or invalid, or the first failed check.
    pub fn assemble(
        head: &Head,
        get: impl Fn(&Digest) -> Option<ArcStr>,
    ) -> Result<Self, PublishError> {
        head.check()?;
        let mut rules = Self::base(&head.parts[0], &get)?;
        for (i, d) in head.parts[1..].iter().enumerate() {
            for (j, d) in index(d, &get)?.iter().enumerate() {
                rules.insert(Shard::read(d, i * SHARDS_PER_INDEX + j, &get)?);
            }
        }
        rules.checked(head.version)
    }

    /// Reads the rules of version `new` as a change to these rules, which are those of version
    /// `old`. Reads only parts that differ, so that the cost depends on the size of the change.
    ///
    /// # Errors
    ///
    /// As for [`Rules::assemble`].
    pub fn update(
        &self,
        old: &Head,
        new: &Head,
        get: impl Fn(&Digest) -> Option<ArcStr>,
    ) -> Result<Self, PublishError> {
        old.check()?;
        new.check()?;
        let mut rules = if old.parts[0] == new.parts[0] {
            self.clone()
        } else {
            let base = Self::base(&new.parts[0], &get)?;
            Self {
                adapters: self.adapters.clone(),
                accounts: self.accounts.clone(),
                upstreams: self.upstreams.clone(),
                ..base
            }
        };
        for (i, (o, n)) in old.parts.iter().zip(&new.parts).enumerate().skip(1) {
            if o == n {
                continue;
            }
            let pairs = index(o, &get)?.into_iter().zip(index(n, &get)?).enumerate();
            for (j, (o, n)) in pairs.filter(|(_, (o, n))| o != n) {
                let at = (i - 1) * SHARDS_PER_INDEX + j;
                rules.remove(&Shard::read(&o, at, &get)?);
                rules.insert(Shard::read(&n, at, &get)?);
            }
        }
        rules.checked(new.version)
    }

    fn base(d: &Digest, get: impl Fn(&Digest) -> Option<ArcStr>) -> Result<Self, PublishError> {
        let base: Self = read(d, get)?;
        if base.adapters.is_empty() && base.accounts.is_empty() && base.upstreams.is_empty() {
            Ok(base)
        } else {
            Err(PublishError::Format(d.clone(), "an item is outside its shard".into()))
        }
    }

    fn insert(&mut self, shard: Shard) {
        self.adapters.extend(shard.adapters);
        self.accounts.extend(shard.accounts);
        self.upstreams.extend(shard.upstreams);
    }

    fn remove(&mut self, shard: &Shard) {
        for name in shard.adapters.keys() {
            self.adapters.remove(name);
        }
        for name in shard.accounts.keys() {
            self.accounts.remove(name);
        }
        for name in shard.upstreams.keys() {
            self.upstreams.remove(name);
        }
    }

    fn checked(self, version: u64) -> Result<Self, PublishError> {
        match self.check().into_iter().next() {
            Some(issue) => Err(PublishError::Invalid(version, issue.message)),
            None => Ok(self),
        }
    }
}

impl Shard {
    /// Reads shard `i`. An item that belongs to another shard is an error: with the same item in
    /// two shards, the result would depend on the order of changes.
    fn read(
        d: &Digest,
        i: usize,
        get: impl Fn(&Digest) -> Option<ArcStr>,
    ) -> Result<Self, PublishError> {
        let part: Self = read(d, get)?;
        let mut names =
            part.adapters.keys().chain(part.accounts.keys()).chain(part.upstreams.keys());
        match names.find(|n| shard(n) != i) {
            Some(n) => Err(PublishError::Format(d.clone(), format!("{n} is in the wrong shard"))),
            None => Ok(part),
        }
    }
}

/// Parses the index part `d` and returns the digests of its shards.
///
/// # Errors
///
/// The text is not a list of [`SHARDS_PER_INDEX`] digests.
pub fn read_index(d: &Digest, text: &str) -> Result<Vec<Digest>, PublishError> {
    let format = |m: String| PublishError::Format(d.clone(), m);
    let list: Vec<Digest> = serde_json::from_str(text).map_err(|e| format(e.to_string()))?;
    if list.len() == SHARDS_PER_INDEX && list.iter().all(is_digest) {
        Ok(list)
    } else {
        Err(format(format!("not a list of {SHARDS_PER_INDEX} digests")))
    }
}

fn index(d: &Digest, get: impl Fn(&Digest) -> Option<ArcStr>) -> Result<Vec<Digest>, PublishError> {
    read_index(d, &text(d, get)?)
}

fn add_part(value: &impl Serialize, parts: &mut BTreeMap<Digest, String>) -> Digest {
    let text = serde_json::to_string(value).expect("the values have string keys only");
    let d = digest(text.as_bytes());
    parts.insert(d.clone(), text);
    d
}

fn text(d: &Digest, get: impl Fn(&Digest) -> Option<ArcStr>) -> Result<ArcStr, PublishError> {
    let text = get(d).ok_or_else(|| PublishError::Missing(d.clone()))?;
    if digest(text.as_bytes()) == *d { Ok(text) } else { Err(PublishError::Mismatch(d.clone())) }
}

fn read<T: DeserializeOwned>(
    d: &Digest,
    get: impl Fn(&Digest) -> Option<ArcStr>,
) -> Result<T, PublishError> {
    let text = text(d, get)?;
    serde_json::from_str(&text).map_err(|e| PublishError::Format(d.clone(), e.to_string()))
}

/// Computes the digest of a value.
pub fn digest(bytes: &[u8]) -> Digest {
    let hash = Sha256::digest(bytes);
    hash[..16].iter().map(|b| format!("{b:02x}")).collect::<String>().into()
}

fn is_digest(d: &Digest) -> bool {
    d.len() == 32 && d.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn head_digest(version: u64, parts: &[Digest]) -> Digest {
    let mut text = version.to_string();
    for p in parts {
        text.push(' ');
        text.push_str(p);
    }
    digest(text.as_bytes())
}

fn shard(name: &str) -> usize {
    let hash = Sha256::digest(name.as_bytes());
    usize::from(u16::from_be_bytes([hash[0], hash[1]])) % (INDEX_COUNT * SHARDS_PER_INDEX)
}
