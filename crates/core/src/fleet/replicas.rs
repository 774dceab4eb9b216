//! State of the replicas as one host knows it: from the store's entries, its own requests and its
//! peers' digests.

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
    config::ReplicaEntry, digest, hash32, health::Health, history::STALE_ENTRIES, limit::SendLimit,
    order::Ownership, report::Resident, request::InferenceSpec,
};
use crate::time::Tick;

new_key_type! {
    /// One start of a replica; a restarted replica gets a new key.
    pub struct ReplicaKey;
}

/// Time after an outage of the store in which a missing entry may only have expired during the
/// outage. Replicas that are alive and reach the store renew their entries within two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2500);

/// Time after which a missing replica is removed; by then no request can still run there.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Age up to which an owner's report of an engine takes precedence over the store's entry.
const OWNER_PRECEDENCE: Duration = Duration::from_secs(2);

/// Adapters that the machine of an engine keeps in memory after they were unloaded.
const MAX_WARM_ADAPTERS: usize = 48;

/// Prefix blocks that are tracked per engine.
const MAX_BLOCKS: usize = 4096;

/// Fraction of an engine's KV cache that holds blocks of ended requests.
const CACHE_SHARE: f64 = 0.7;

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// Id, which a restarted replica may reuse.
    pub id: ArcStr,
    /// Name of its service.
    pub service: ArcStr,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: ArcStr,
    /// Version of its software.
    pub software: ArcStr,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Hash of id and start time, which identifies it in digests.
    pub id_hash: u32,
    /// Whether it is draining and takes no new requests.
    pub leaving: bool,
    /// Since when its entry is missing from the store.
    pub missing_since: Option<Tick>,
    // Whether the last listing contains its entry.
    listed: bool,
    /// Whether it responds to the host that reads its reports.
    pub alive: bool,
    /// Whether a reachable host may send it orders.
    pub orderable: bool,
    /// Resident models and adapters with their versions.
    pub residents: BTreeMap<ArcStr, u64>,
    /// Number of loads that are under way or queued at it.
    pub loading: u32,
    /// When an owner last reported its resident artifacts.
    pub reported_at: Option<Tick>,
    // Resident artifacts in its newest entry.
    listed_residents: Vec<Resident>,
    /// Outcomes of requests that were sent to it.
    pub health: Health,
    /// This host's authority to send it orders.
    pub ownership: Ownership,
    /// Limit that it names.
    pub limit: SendLimit,
    /// Load from requests of this host.
    pub local: LocalLoad,
    // Hashes of the artifacts that requests of this host use, with the number of requests.
    local_uses: Vec<(u32, u32)>,
    /// Moving average of the observed time to the first event relative to the expected one, at
    /// least 1.
    pub slowdown: f64,
    /// Moving average of the duration of plain requests, in ms; 0 before the first one.
    pub latency_ms: f64,
    peer_loads: BTreeMap<Ipv4Addr, digest::ReplicaLoad>,
    warm: Vec<ArcStr>,
    // Block keys, with the value of `tokens_sent` at their last use.
    blocks: HashMap<u32, u64>,
    // Uncached prompt tokens and output tokens of the requests sent to it so far.
    tokens_sent: u64,
}

/// Load from requests of this host at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalLoad {
    /// Prefill time of the prompts without a first event.
    pub prefill_ms: f64,
    /// Number of requests in progress.
    pub inflight: u32,
    /// KV cache tokens that they need.
    pub kv_tokens: u32,
}

/// Load from requests of all hosts at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TotalLoad {
    /// Prefill time of the prompts without a first event.
    pub prefill_ms: f64,
    /// Number of requests in progress.
    pub inflight: u32,
    /// KV cache tokens that they need.
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
            software: e.software,
            started_ms: e.started_ms,
            slots: e.slots,
            leaving: e.leaving,
            missing_since: None,
            listed: true,
            alive: true,
            orderable: false,
            residents: BTreeMap::new(),
            loading: 0,
            reported_at: None,
            listed_residents: e.residents.clone(),
            health: Health::default(),
            ownership: Ownership::default(),
            limit: SendLimit::default(),
            local: LocalLoad::default(),
            local_uses: Vec::new(),
            slowdown: 1.0,
            latency_ms: 0.0,
            peer_loads: BTreeMap::new(),
            warm: Vec::new(),
            blocks: HashMap::new(),
            tokens_sent: 0,
        };
        out.set_residents(e.residents);
        out
    }

    /// Whether it may be sent new requests.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.missing_since.is_none() && self.alive
    }

    /// Load from requests of all hosts.
    pub fn total_load(&self) -> TotalLoad {
        let local = TotalLoad {
            prefill_ms: self.local.prefill_ms,
            inflight: self.local.inflight,
            kv_tokens: u64::from(self.local.kv_tokens),
        };
        self.peer_loads.values().fold(local, |t, p| TotalLoad {
            prefill_ms: t.prefill_ms + f64::from(p.prefill_ms),
            inflight: t.inflight + u32::from(p.inflight),
            kv_tokens: t.kv_tokens + u64::from(p.kv_thousands) * 1000,
        })
    }

    /// Counts a request of this host that uses an artifact.
    pub fn begin_use(&mut self, artifact: u32) {
        match self.local_uses.iter_mut().find(|(a, _)| *a == artifact) {
            Some((_, n)) => *n += 1,
            None => self.local_uses.push((artifact, 1)),
        }
    }

    /// Ends the use of an artifact by one request.
    pub fn end_use(&mut self, artifact: u32) {
        if let Some((_, n)) = self.local_uses.iter_mut().find(|(a, _)| *a == artifact) {
            *n -= 1;
        }
        self.local_uses.retain(|(_, n)| *n > 0);
    }

    /// Hashes of the artifacts that requests of this host use.
    pub fn local_artifacts(&self) -> Vec<u32> {
        self.local_uses.iter().map(|(a, _)| *a).collect()
    }

    /// Whether a request of any host uses the artifact.
    pub fn in_use(&self, artifact: u32) -> bool {
        self.local_uses.iter().any(|(a, _)| *a == artifact)
            || self.peer_loads.values().any(|l| l.artifacts.contains(&artifact))
    }

    /// Number of artifacts that requests of any host use.
    pub fn used_artifacts(&self) -> usize {
        let mut all = self.local_artifacts();
        all.extend(self.peer_loads.values().flat_map(|l| &l.artifacts));
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Replaces the resident artifacts.
    pub fn set_residents(&mut self, residents: Vec<Resident>) {
        for r in &residents {
            self.mark_warm(&r.artifact);
        }
        self.residents = residents.into_iter().map(|r| (r.artifact, r.version)).collect();
    }

    /// Moves an adapter to the end of the warm list.
    pub fn mark_warm(&mut self, artifact: &ArcStr) {
        if !artifact.contains('/') || self.warm.last() == Some(artifact) {
            return;
        }
        self.warm.retain(|w| w != artifact);
        self.warm.push(artifact.clone());
        if self.warm.len() > MAX_WARM_ADAPTERS {
            self.warm.remove(0);
        }
    }

    /// Whether the adapter was resident recently, so that it loads from the memory of the engine's
    /// machine.
    pub fn is_warm(&self, artifact: &str) -> bool {
        self.warm.iter().any(|w| w == artifact)
    }

    /// Prompt tokens in its prefix cache, given the size of the KV cache in tokens. A block counts
    /// only if all blocks before it are cached.
    pub fn cached_tokens(&self, inference: &InferenceSpec, kv_tokens: u32) -> u32 {
        let cache_size = (f64::from(kv_tokens) * CACHE_SHARE) as u64;
        let cached = inference.prefix.iter().take_while(|p| {
            let key = block_key(&inference.artifact, p.id);
            self.blocks.get(&key).is_some_and(|at| self.tokens_sent - at <= cache_size)
        });
        cached.map(|p| p.tokens).sum::<u32>().min(inference.prompt_tokens)
    }

    /// Records that a prompt was sent, of which `uncached` tokens were not cached. Returns the keys
    /// of its blocks.
    pub fn record_prompt(&mut self, inference: &InferenceSpec, uncached: u32) -> Vec<u32> {
        self.tokens_sent += u64::from(uncached + inference.output_tokens);
        let keys: Vec<_> =
            inference.prefix.iter().map(|p| block_key(&inference.artifact, p.id)).collect();
        for k in &keys {
            self.record_block(*k);
        }
        keys
    }

    /// Records a block that this host or a peer has sent.
    pub fn record_block(&mut self, key: u32) {
        if self.blocks.len() >= MAX_BLOCKS {
            let mid = self.tokens_sent / 2;
            self.blocks.retain(|_, at| *at > mid);
            if self.blocks.len() >= MAX_BLOCKS {
                self.blocks.clear();
            }
        }
        self.blocks.insert(key, self.tokens_sent);
    }
}

/// Key of a prefix block of an artifact; caches are not shared between adapters.
pub fn block_key(artifact: &str, block: u64) -> u32 {
    hash32(&[artifact, &block.to_string()])
}

/// Change found by a listing of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// A replica has appeared.
    Joined(ReplicaKey),
    /// A replica has started to drain.
    Leaving(ReplicaKey),
    /// The entry of a replica is gone.
    Missing(ReplicaKey),
    /// The entry of a replica is back.
    Returned(ReplicaKey),
}

/// All known replicas.
#[derive(Debug, Default)]
pub struct Replicas {
    map: SlotMap<ReplicaKey, Replica>,
    ids: HashMap<ArcStr, ReplicaKey>,
    hashes: HashMap<u32, ReplicaKey>,
    // Replicas at which each peer has requests.
    peer_replicas: HashMap<Ipv4Addr, Vec<ReplicaKey>>,
    // When the store last responded, and since when it has done so without a gap.
    last_listed: Option<Tick>,
    listed_since: Option<Tick>,
    // When the store was restored from an older copy.
    restored_at: Option<Tick>,
}

impl Replicas {
    /// Replica with this key.
    pub fn get(&self, k: ReplicaKey) -> Option<&Replica> {
        self.map.get(k)
    }

    /// Replica with this key.
    pub fn get_mut(&mut self, k: ReplicaKey) -> Option<&mut Replica> {
        self.map.get_mut(k)
    }

    /// Key of the replica with this hash in digests.
    pub fn find_hash(&self, hash: u32) -> Option<ReplicaKey> {
        self.hashes.get(&hash).copied()
    }

    /// All known replicas.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.map.iter()
    }

    /// All known replicas.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ReplicaKey, &mut Replica)> {
        self.map.iter_mut()
    }

    /// Records that a peer's read, sent after `read`, found the same entries as the last listing here.
    pub fn confirm_listing(&mut self, now: Tick, read: Tick, gap: Duration) {
        if self.last_listed.is_some_and(|t| read.since(t) > gap) {
            self.listed_since = Some(now);
        }
        self.last_listed = self.last_listed.max(Some(read));
    }

    /// Records that this process was paused for `pause`, in which it would have read no listing. That
    /// is no outage of the store, in which entries expire.
    pub fn note_pause(&mut self, pause: Duration) {
        self.last_listed = self.last_listed.map(|t| t + pause);
    }

    /// Takes the replicas that the last listing lacks for missing, unless their entries may have
    /// expired in an outage of the store. The listing itself may not change when that time ends.
    pub fn expire_unlisted(&mut self, now: Tick) -> Vec<ReplicaChange> {
        let within = |t: Option<Tick>| t.is_some_and(|t| now.since(t) < EXPIRY_GRACE);
        if within(self.listed_since) || within(self.restored_at) {
            return Vec::new();
        }
        let mut out = Vec::new();
        for (k, r) in self.map.iter_mut().filter(|(_, r)| !r.listed) {
            if r.missing_since.is_none() {
                r.missing_since = Some(now);
                out.push(ReplicaChange::Missing(k));
            }
        }
        out
    }

    /// Records that the store was restored at `at`. For a while its listing may lack running
    /// replicas and contain ones that have gone.
    pub fn note_restore(&mut self, at: Tick) {
        self.restored_at = Some(at);
    }

    /// Applies a complete listing that was requested at `sent_at`. `gap` is the length of an outage
    /// of the store after which entries may have expired.
    pub fn sync(
        &mut self,
        now: Tick,
        sent_at: Tick,
        entries: Vec<ReplicaEntry>,
        gap: Duration,
    ) -> Vec<ReplicaChange> {
        if self.last_listed.is_some_and(|t| sent_at.since(t) > gap) {
            self.listed_since = Some(now);
        }
        self.last_listed = Some(now);
        let mut out = Vec::new();
        let mut listed = Vec::new();
        for e in entries {
            listed.push(self.upsert(now, e, &mut out));
        }
        let mut dead = Vec::new();
        for (k, r) in &mut self.map {
            r.listed = listed.contains(&k);
            if !r.listed && r.missing_since.is_some_and(|t| now.since(t) > FORGET_AFTER) {
                dead.push(k);
            }
        }
        out.extend(self.expire_unlisted(now));
        for k in dead {
            self.remove(k);
        }
        out
    }

    fn upsert(&mut self, now: Tick, e: ReplicaEntry, out: &mut Vec<ReplicaChange>) -> ReplicaKey {
        let known = self.ids.get(&e.id).copied();
        let mut seen = 0;
        if let Some(k) = known
            && let Some(r) = self.map.get_mut(k)
        {
            let same = r.address == e.address && r.service == e.service && r.software == e.software;
            if r.started_ms == e.started_ms && same {
                let outdated = self.restored_at.filter(|t| now.since(*t) < STALE_ENTRIES);
                if r.missing_since.is_some_and(|t| outdated.is_none_or(|o| t >= o)) {
                    r.missing_since = None;
                    out.push(ReplicaChange::Returned(k));
                }
                if e.leaving && !r.leaving {
                    out.push(ReplicaChange::Leaving(k));
                }
                // A process that has begun to leave does not come back; an entry that says so is
                // outdated.
                r.leaving |= e.leaving;
                // A listing that was updated by a peer's delta repeats the entries that the delta
                // does not contain.
                if r.reported_at.is_none_or(|t| now.since(t) > OWNER_PRECEDENCE)
                    && r.listed_residents != e.residents
                {
                    r.listed_residents.clone_from(&e.residents);
                    r.set_residents(e.residents);
                }
                return k;
            }
            if r.started_ms > e.started_ms {
                // A delayed entry of an earlier start.
                return k;
            }
            r.missing_since = Some(now);
            self.hashes.remove(&r.id_hash);
            // Tokens rise across the starts of a replica that keeps its id.
            seen = r.ownership.highest_fence();
        }
        let mut r = Replica::new(e);
        r.ownership.observe_fence(now, seen);
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

    /// Records that a replica has said that it leaves. Returns whether that is new.
    pub fn note_leaving(&mut self, k: ReplicaKey) -> bool {
        self.map.get_mut(k).is_some_and(|r| !std::mem::replace(&mut r.leaving, true))
    }

    /// Replaces the load that a peer reports.
    pub fn set_peer_loads(&mut self, ip: Ipv4Addr, loads: &[digest::ReplicaLoad]) {
        self.remove_peer(ip);
        let mut peer_replicas = Vec::with_capacity(loads.len());
        for l in loads {
            let Some(k) = self.hashes.get(&l.replica).copied() else { continue };
            if let Some(r) = self.map.get_mut(k) {
                r.peer_loads.insert(ip, l.clone());
                peer_replicas.push(k);
            }
        }
        self.peer_replicas.insert(ip, peer_replicas);
    }

    /// Removes the load that a peer reported.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        for k in self.peer_replicas.remove(&ip).unwrap_or_default() {
            if let Some(r) = self.map.get_mut(k) {
                r.peer_loads.remove(&ip);
            }
        }
    }
}
