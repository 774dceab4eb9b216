//! Canonical values of a version: a head and parts addressed by their digest.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest as _, Sha256};

use super::{Account, Adapter, Rules, Upstream};

/// Index parts of a head.
pub const INDEX_COUNT: usize = 16;

/// Shards of an index part. Adapters, accounts and upstreams are hashed by name into 16 x 32 shards.
/// A change to one item replaces its shard, the shard's index part and the head: 6 KB with 21,000
/// adapters and 12,000 upstreams. With 64 shards and no index parts it was 54 KB, at a change every
/// 5 s more than the 9 KB/s that a host may use.
pub const SHARDS_PER_INDEX: usize = 32;

/// Largest value of the configuration service, in bytes.
pub const MAX_PART_BYTES: usize = 1_000_000;

/// Hexadecimal digest of a value: the first 128 bits of its SHA-256.
pub type Digest = ArcStr;

/// The value that names all parts of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version, rising.
    pub version: u64,
    /// Digest over version and parts.
    pub digest: Digest,
    /// Digests of the parts: the rules first, then [`INDEX_COUNT`] index parts, which are lists of the
    /// digests of [`SHARDS_PER_INDEX`] shards.
    pub parts: Vec<Digest>,
}

/// A head and its parts.
#[derive(Clone, Debug)]
pub struct Rendered {
    /// The head.
    pub head: Head,
    /// Bytes of each part by digest.
    pub parts: BTreeMap<Digest, String>,
}

/// Items whose names have the same hash. One value for all upstreams would exceed [`MAX_PART_BYTES`] at
/// 12,000 upstreams.
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

/// Why published values do not make a version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// A part is missing.
    #[error("part {0} is missing")]
    Missing(Digest),
    /// A digest does not match.
    #[error("digest of {0} does not match its content")]
    Mismatch(Digest),
    /// A part cannot be read.
    #[error("part {0} cannot be read: {1}")]
    Format(Digest, String),
    /// The rules do not pass the checks.
    #[error("version {0} is invalid: {1}")]
    Invalid(u64, String),
}

impl Head {
    /// The head of these parts.
    pub fn new(version: u64, parts: Vec<Digest>) -> Self {
        Self { version, digest: head_digest(version, &parts), parts }
    }

    /// Reads a published head.
    ///
    /// # Errors
    ///
    /// The value is too large, is no JSON of a head, or does not pass [`Head::check`].
    pub fn read(bytes: &[u8]) -> Result<Self, PublishError> {
        let format = |m: String| PublishError::Format("head".into(), m);
        if bytes.len() > MAX_PART_BYTES {
            return Err(format(format!("{} bytes, allowed are {MAX_PART_BYTES}", bytes.len())));
        }
        let head: Self = serde_json::from_slice(bytes).map_err(|e| format(e.to_string()))?;
        head.check()?;
        Ok(head)
    }

    /// Checks ranges, the form of the digests and the head's own digest.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), PublishError> {
        let invalid = |m: String| Err(PublishError::Invalid(self.version, m));
        if self.version == 0 {
            return invalid("versions start at 1".into());
        }
        if self.parts.len() != 1 + INDEX_COUNT {
            return invalid(format!(
                "the head has {} parts and not {}",
                self.parts.len(),
                1 + INDEX_COUNT
            ));
        }
        if !self.parts.iter().all(is_digest) {
            return invalid("the head names a part by something that is no digest".into());
        }
        if !self.is_intact() {
            return Err(PublishError::Mismatch(self.digest.clone()));
        }
        Ok(())
    }

    /// Whether the head's own digest is that of its version and parts.
    pub fn is_intact(&self) -> bool {
        self.digest == head_digest(self.version, &self.parts)
    }
}

impl Rules {
    /// Canonical values of this inventory under `version`.
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

    /// Reads a version back from its values.
    ///
    /// # Errors
    ///
    /// The first missing, changed or unreadable part, or the findings of the checks.
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

    /// Reads the version `new` back as a change to these rules, which are those of `old`. Only
    /// parts that differ are read, so that a change to one adapter does not cost the inventory.
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
            Err(PublishError::Format(d.clone(), "an item outside of its shard".into()))
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
    /// Reads shard `i`. An item of another shard is an error: two shards with the same item would
    /// make the result depend on the order of changes.
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

/// Digests of the shards that an index part names.
///
/// # Errors
///
/// The text is no list of [`SHARDS_PER_INDEX`] digests.
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

/// Digest of a value.
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
