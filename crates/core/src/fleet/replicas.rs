//! Replicas as one host knows them.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use arcstr::ArcStr;
use slotmap::{SlotMap, new_key_type};

use super::{
    config::ReplicaEntry, digest, hash32, health::Health, order::Ownership, report::Resident,
    request::InferenceSpec,
};
use crate::time::Tick;

new_key_type! {
    /// One start of a replica.
    pub struct ReplicaKey;
}

/// Time after the store's return in which a missing entry may only have lapsed. Replicas that live
/// and reach the store are back within two seconds.
const LAPSE: Duration = Duration::from_millis(2500);

/// Time after which an absent replica is forgotten, when no request can still run there.
const FORGET: Duration = Duration::from_secs(60);

/// Age up to which what an owner said of an engine goes before the store's entry.
const TOLD: Duration = Duration::from_secs(2);

/// Adapters that an engine keeps in its host's memory after an unload.
const WARM: usize = 48;

/// Prompt parts that are remembered for an engine.
const MAX_PARTS: usize = 4096;

/// Part of an engine's memory that holds parts of ended requests.
const KEPT_SHARE: f64 = 0.7;

/// A replica.
#[derive(Debug)]
pub struct Replica {
    /// Id, which a restarted replica may keep.
    pub id: ArcStr,
    /// Name of its service.
    pub service: ArcStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: ArcStr,
    /// Unix milliseconds of its start.
    pub started_ms: u64,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Hash of its id, for digests.
    pub id_hash: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Since when the store has no entry of it.
    pub missing_since: Option<Tick>,
    /// Whether it answers the host that reads its reports.
    pub alive: bool,
    /// Whether a host that can be reached may order it.
    pub orderable: bool,
    /// Models and adapters in place, with their versions.
    pub residents: BTreeMap<ArcStr, u64>,
    /// Adapters on their way to it.
    pub loading: u32,
    /// When an owner last told what is in place.
    pub told_at: Option<Tick>,
    // What its entry listed last.
    listed: Vec<Resident>,
    /// What its answers tell.
    pub health: Health,
    /// This host's authority over it.
    pub ownership: Ownership,
    /// This host's requests there.
    pub local: LocalLoad,
    // Artifacts that this host's requests use, with their number.
    uses: Vec<(u32, u32)>,
    /// Observed time to the first event relative to the expected one.
    pub slowdown: f64,
    /// Observed duration of a request, in ms, for plain services.
    pub latency_ms: f64,
    peers: BTreeMap<Ipv4Addr, digest::ReplicaLoad>,
    warm: Vec<ArcStr>,
    // Hash of artifact and part, with the volume at its last use.
    parts: HashMap<u32, u64>,
    // Tokens sent so far.
    volume: u64,
}

/// Requests of this host at a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalLoad {
    /// Reading time of the prompts without a first event, in ms.
    pub prefill_ms: f64,
    /// Requests.
    pub inflight: u32,
    /// Tokens of memory.
    pub kv_tokens: u32,
}

/// Requests of all hosts at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TotalLoad {
    /// Reading time of the prompts without a first event, in ms.
    pub prefill_ms: f64,
    /// Requests.
    pub inflight: u32,
    /// Tokens of memory.
    pub kv_tokens: u64,
}

impl Replica {
    fn new(e: ReplicaEntry) -> Self {
        let mut out = Self {
            id_hash: hash32(&[&e.id, &e.started_ms.to_string()]),
            id: e.id,
            service: e.service,
            address: e.address,
            zone: e.zone,
            started_ms: e.started_ms,
            slots: e.slots,
            leaving: e.leaving,
            missing_since: None,
            alive: true,
            orderable: false,
            residents: BTreeMap::new(),
            loading: 0,
            told_at: None,
            listed: e.residents.clone(),
            health: Health::default(),
            ownership: Ownership::default(),
            local: LocalLoad::default(),
            uses: Vec::new(),
            slowdown: 1.0,
            latency_ms: 0.0,
            peers: BTreeMap::new(),
            warm: Vec::new(),
            parts: HashMap::new(),
            volume: 0,
        };
        out.set_residents(e.residents);
        out
    }

    /// Whether it may get new work.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.missing_since.is_none() && self.alive
    }

    /// Requests of all hosts.
    pub fn total_load(&self) -> TotalLoad {
        let own = TotalLoad {
            prefill_ms: self.local.prefill_ms,
            inflight: self.local.inflight,
            kv_tokens: u64::from(self.local.kv_tokens),
        };
        self.peers.values().fold(own, |t, p| TotalLoad {
            prefill_ms: t.prefill_ms + f64::from(p.prefill_ms),
            inflight: t.inflight + u32::from(p.inflight),
            kv_tokens: t.kv_tokens + u64::from(p.kv_thousands) * 1000,
        })
    }

    /// Counts a request of this host that uses an artifact.
    pub fn begin_use(&mut self, artifact: u32) {
        match self.uses.iter_mut().find(|(a, _)| *a == artifact) {
            Some((_, n)) => *n += 1,
            None => self.uses.push((artifact, 1)),
        }
    }

    /// Ends the use of an artifact by one request.
    pub fn end_use(&mut self, artifact: u32) {
        if let Some((_, n)) = self.uses.iter_mut().find(|(a, _)| *a == artifact) {
            *n -= 1;
        }
        self.uses.retain(|(_, n)| *n > 0);
    }

    /// Artifacts that requests of this host use.
    pub fn local_artifacts(&self) -> Vec<u32> {
        self.uses.iter().map(|(a, _)| *a).collect()
    }

    /// Whether a request of any host uses the artifact.
    pub fn in_use(&self, artifact: u32) -> bool {
        self.uses.iter().any(|(a, _)| *a == artifact)
            || self.peers.values().any(|l| l.artifacts.contains(&artifact))
    }

    /// Number of artifacts that requests of any host use.
    pub fn used_artifacts(&self) -> usize {
        let mut all = self.local_artifacts();
        all.extend(self.peers.values().flat_map(|l| &l.artifacts));
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Replaces what is in place.
    pub fn set_residents(&mut self, residents: Vec<Resident>) {
        for r in &residents {
            self.mark_warm(&r.artifact);
        }
        self.residents = residents.into_iter().map(|r| (r.artifact, r.version)).collect();
    }

    /// Notes that an adapter is or was in place.
    pub fn mark_warm(&mut self, artifact: &ArcStr) {
        if !artifact.contains('/') || self.warm.last() == Some(artifact) {
            return;
        }
        self.warm.retain(|w| w != artifact);
        self.warm.push(artifact.clone());
        if self.warm.len() > WARM {
            self.warm.remove(0);
        }
    }

    /// Whether the adapter was in place lately, so that loading it is quick.
    pub fn is_warm(&self, artifact: &str) -> bool {
        self.warm.iter().any(|w| w == artifact)
    }

    /// Prompt tokens that it keeps from earlier requests: a part counts if all before it do.
    pub fn cached_tokens(&self, demand: &InferenceSpec, memory: u32) -> u32 {
        let reach = (f64::from(memory) * KEPT_SHARE) as u64;
        let kept = demand.prefix.iter().take_while(|p| {
            let key = block_key(&demand.artifact, p.id);
            self.parts.get(&key).is_some_and(|at| self.volume - at <= reach)
        });
        kept.map(|p| p.tokens).sum::<u32>().min(demand.prompt_tokens)
    }

    /// Notes that the parts of a prompt were sent, and returns their keys.
    pub fn record_prompt(&mut self, demand: &InferenceSpec, unread: u32) -> Vec<u32> {
        self.volume += u64::from(unread + demand.output_tokens);
        let keys: Vec<_> =
            demand.prefix.iter().map(|p| block_key(&demand.artifact, p.id)).collect();
        for k in &keys {
            self.record_block(*k);
        }
        keys
    }

    /// Notes a part that a peer sent.
    pub fn record_block(&mut self, key: u32) {
        if self.parts.len() >= MAX_PARTS {
            let mid = self.volume / 2;
            self.parts.retain(|_, at| *at > mid);
            if self.parts.len() >= MAX_PARTS {
                self.parts.clear();
            }
        }
        self.parts.insert(key, self.volume);
    }
}

/// Key of a prompt part of an artifact.
pub fn block_key(artifact: &str, part: u64) -> u32 {
    hash32(&[artifact, &part.to_string()])
}

/// What a listing of the store changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// A replica is there.
    Joined(ReplicaKey),
    /// A replica begins to leave.
    Leaving(ReplicaKey),
    /// A replica's entry is gone.
    Missing(ReplicaKey),
    /// A replica's entry is back.
    Returned(ReplicaKey),
}

/// All replicas.
#[derive(Debug, Default)]
pub struct Replicas {
    map: SlotMap<ReplicaKey, Replica>,
    ids: HashMap<ArcStr, ReplicaKey>,
    hashes: HashMap<u32, ReplicaKey>,
    // Replicas at which a peer has requests.
    told: HashMap<Ipv4Addr, Vec<ReplicaKey>>,
    // When the store last answered, and since when it has done so without a gap.
    answered: Option<Tick>,
    sound: Option<Tick>,
}

impl Replicas {
    /// A replica by its key.
    pub fn get(&self, k: ReplicaKey) -> Option<&Replica> {
        self.map.get(k)
    }

    /// A replica by its key.
    pub fn get_mut(&mut self, k: ReplicaKey) -> Option<&mut Replica> {
        self.map.get_mut(k)
    }

    /// A replica by the hash in digests.
    pub fn find_hash(&self, hash: u32) -> Option<ReplicaKey> {
        self.hashes.get(&hash).copied()
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.map.iter()
    }

    /// All replicas.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ReplicaKey, &mut Replica)> {
        self.map.iter_mut()
    }

    /// A peer's read showed the entries that the last listing here had.
    pub fn confirm_listing(&mut self, now: Tick, gap: Duration) {
        if self.answered.is_some_and(|t| now.since(t) > gap) {
            self.sound = Some(now);
        }
        self.answered = Some(now);
    }

    /// Takes a complete listing that was asked for at `asked`. `gap` is the silence of the store
    /// after which entries may have lapsed.
    pub fn sync(
        &mut self,
        now: Tick,
        asked: Tick,
        entries: Vec<ReplicaEntry>,
        gap: Duration,
    ) -> Vec<ReplicaChange> {
        if self.answered.is_some_and(|t| asked.since(t) > gap) {
            self.sound = Some(now);
        }
        self.answered = Some(now);
        let mut out = Vec::new();
        let mut listed = Vec::new();
        for e in entries {
            listed.push(self.upsert(now, e, &mut out));
        }
        let lapsed = self.sound.is_some_and(|t| now.since(t) < LAPSE);
        let mut dead = Vec::new();
        for (k, r) in &mut self.map {
            if listed.contains(&k) {
                continue;
            }
            match r.missing_since {
                None if !lapsed => {
                    r.missing_since = Some(now);
                    out.push(ReplicaChange::Missing(k));
                }
                Some(t) if now.since(t) > FORGET => dead.push(k),
                _ => {}
            }
        }
        for k in dead {
            self.remove(k);
        }
        out
    }

    fn upsert(&mut self, now: Tick, e: ReplicaEntry, out: &mut Vec<ReplicaChange>) -> ReplicaKey {
        let known = self.ids.get(&e.id).copied();
        if let Some(k) = known {
            let r = &mut self.map[k];
            if r.started_ms == e.started_ms && r.address == e.address && r.service == e.service {
                if r.missing_since.take().is_some() {
                    out.push(ReplicaChange::Returned(k));
                }
                if e.leaving && !r.leaving {
                    out.push(ReplicaChange::Leaving(k));
                }
                r.leaving = e.leaving;
                // A list that a peer changed repeats what the entry said before.
                if r.told_at.is_none_or(|t| now.since(t) > TOLD) && r.listed != e.residents {
                    r.listed.clone_from(&e.residents);
                    r.set_residents(e.residents);
                }
                return k;
            }
            if r.started_ms > e.started_ms {
                // An older start than the one that is known: a delayed entry.
                return k;
            }
            r.missing_since = Some(now);
            self.hashes.remove(&self.map[k].id_hash);
        }
        let r = Replica::new(e);
        let (id, hash) = (r.id.clone(), r.id_hash);
        let k = self.map.insert(r);
        self.ids.insert(id, k);
        self.hashes.insert(hash, k);
        out.push(ReplicaChange::Joined(k));
        k
    }

    fn remove(&mut self, k: ReplicaKey) {
        if let Some(r) = self.map.remove(k) {
            if self.ids.get(&r.id) == Some(&k) {
                self.ids.remove(&r.id);
            }
            if self.hashes.get(&r.id_hash) == Some(&k) {
                self.hashes.remove(&r.id_hash);
            }
        }
    }

    /// Replaces what a peer says of its requests.
    pub fn set_peer_loads(&mut self, ip: Ipv4Addr, loads: &[digest::ReplicaLoad]) {
        self.remove_peer(ip);
        let mut told = Vec::with_capacity(loads.len());
        for l in loads {
            let Some(k) = self.hashes.get(&l.replica).copied() else { continue };
            if let Some(r) = self.map.get_mut(k) {
                r.peers.insert(ip, l.clone());
                told.push(k);
            }
        }
        self.told.insert(ip, told);
    }

    /// Drops what a peer said of its requests.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        for k in self.told.remove(&ip).unwrap_or_default() {
            if let Some(r) = self.map.get_mut(k) {
                r.peers.remove(&ip);
            }
        }
    }
}
