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
    ask::Demand, digest, hash32, health::Health, inventory::Entry, order::Tenure, report::Resident,
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
    pub born: u64,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Hash of its id, for digests.
    pub hash: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Since when the store has no entry of it.
    pub missing: Option<Tick>,
    /// Whether it answers the host that reads its reports.
    pub alive: bool,
    /// Whether a host that can be reached may order it.
    pub held: bool,
    /// Models and adapters in place, with their versions.
    pub residents: BTreeMap<ArcStr, u64>,
    /// Adapters on their way to it.
    pub loading: u32,
    /// When an owner last told what is in place.
    pub told: Option<Tick>,
    // What its entry listed last.
    listed: Vec<Resident>,
    /// What its answers tell.
    pub health: Health,
    /// This host's authority over it.
    pub tenure: Tenure,
    /// This host's requests there.
    pub own: Own,
    // Artifacts that this host's requests use, with their number.
    uses: Vec<(u32, u32)>,
    /// Observed time to the first event relative to the expected one.
    pub pace: f64,
    /// Observed duration of a request, in ms, for plain services.
    pub latency: f64,
    peers: BTreeMap<Ipv4Addr, digest::Load>,
    warm: Vec<ArcStr>,
    // Hash of artifact and part, with the volume at its last use.
    parts: HashMap<u32, u64>,
    // Tokens sent so far.
    volume: u64,
}

/// Requests of this host at a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own {
    /// Reading time of the prompts without a first event, in ms.
    pub reading: f64,
    /// Requests.
    pub runs: u32,
    /// Tokens of memory.
    pub memory: u32,
}

/// Requests of all hosts at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Reading time of the prompts without a first event, in ms.
    pub reading: f64,
    /// Requests.
    pub runs: u32,
    /// Tokens of memory.
    pub memory: u64,
}

impl Replica {
    fn new(e: Entry) -> Self {
        let mut out = Self {
            hash: hash32(&[&e.id, &e.born.to_string()]),
            id: e.id,
            service: e.service,
            address: e.address,
            zone: e.zone,
            born: e.born,
            slots: e.slots,
            leaving: e.leaving,
            missing: None,
            alive: true,
            held: false,
            residents: BTreeMap::new(),
            loading: 0,
            told: None,
            listed: e.residents.clone(),
            health: Health::default(),
            tenure: Tenure::default(),
            own: Own::default(),
            uses: Vec::new(),
            pace: 1.0,
            latency: 0.0,
            peers: BTreeMap::new(),
            warm: Vec::new(),
            parts: HashMap::new(),
            volume: 0,
        };
        out.hold(e.residents);
        out
    }

    /// Whether it may get new work.
    pub fn usable(&self) -> bool {
        !self.leaving && self.missing.is_none() && self.alive
    }

    /// Requests of all hosts.
    pub fn total(&self) -> Total {
        let own = Total {
            reading: self.own.reading,
            runs: self.own.runs,
            memory: u64::from(self.own.memory),
        };
        self.peers.values().fold(own, |t, p| Total {
            reading: t.reading + f64::from(p.reading),
            runs: t.runs + u32::from(p.runs),
            memory: t.memory + u64::from(p.memory) * 1000,
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
    pub fn own_uses(&self) -> Vec<u32> {
        self.uses.iter().map(|(a, _)| *a).collect()
    }

    /// Whether a request of any host uses the artifact.
    pub fn in_use(&self, artifact: u32) -> bool {
        self.uses.iter().any(|(a, _)| *a == artifact)
            || self.peers.values().any(|l| l.uses.contains(&artifact))
    }

    /// Number of artifacts that requests of any host use.
    pub fn used(&self) -> usize {
        let mut all = self.own_uses();
        all.extend(self.peers.values().flat_map(|l| &l.uses));
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Replaces what is in place.
    pub fn hold(&mut self, residents: Vec<Resident>) {
        for r in &residents {
            self.touch(&r.artifact);
        }
        self.residents = residents.into_iter().map(|r| (r.artifact, r.version)).collect();
    }

    /// Notes that an adapter is or was in place.
    pub fn touch(&mut self, artifact: &ArcStr) {
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
    pub fn warm(&self, artifact: &str) -> bool {
        self.warm.iter().any(|w| w == artifact)
    }

    /// Prompt tokens that it keeps from earlier requests: a part counts if all before it do.
    pub fn kept(&self, demand: &Demand, memory: u32) -> u32 {
        let reach = (f64::from(memory) * KEPT_SHARE) as u64;
        let kept = demand.parts.iter().take_while(|p| {
            let key = part_key(&demand.artifact, p.id);
            self.parts.get(&key).is_some_and(|at| self.volume - at <= reach)
        });
        kept.map(|p| p.tokens).sum::<u32>().min(demand.prompt)
    }

    /// Notes that the parts of a prompt were sent, and returns their keys.
    pub fn keep(&mut self, demand: &Demand, unread: u32) -> Vec<u32> {
        self.volume += u64::from(unread + demand.output);
        let keys: Vec<_> = demand.parts.iter().map(|p| part_key(&demand.artifact, p.id)).collect();
        for k in &keys {
            self.note(*k);
        }
        keys
    }

    /// Notes a part that a peer sent.
    pub fn note(&mut self, key: u32) {
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
pub fn part_key(artifact: &str, part: u64) -> u32 {
    hash32(&[artifact, &part.to_string()])
}

/// What a listing of the store changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A replica is there.
    Joined(ReplicaKey),
    /// A replica begins to leave.
    Leaving(ReplicaKey),
    /// A replica's entry is gone.
    Missing(ReplicaKey),
    /// A replica's entry is back.
    Back(ReplicaKey),
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
    pub fn find(&self, hash: u32) -> Option<ReplicaKey> {
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
    pub fn confirm(&mut self, now: Tick, gap: Duration) {
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
        entries: Vec<Entry>,
        gap: Duration,
    ) -> Vec<Change> {
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
            match r.missing {
                None if !lapsed => {
                    r.missing = Some(now);
                    out.push(Change::Missing(k));
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

    fn upsert(&mut self, now: Tick, e: Entry, out: &mut Vec<Change>) -> ReplicaKey {
        let known = self.ids.get(&e.id).copied();
        if let Some(k) = known {
            let r = &mut self.map[k];
            if r.born == e.born && r.address == e.address && r.service == e.service {
                if r.missing.take().is_some() {
                    out.push(Change::Back(k));
                }
                if e.leaving && !r.leaving {
                    out.push(Change::Leaving(k));
                }
                r.leaving = e.leaving;
                // A list that a peer changed repeats what the entry said before.
                if r.told.is_none_or(|t| now.since(t) > TOLD) && r.listed != e.residents {
                    r.listed.clone_from(&e.residents);
                    r.hold(e.residents);
                }
                return k;
            }
            if r.born > e.born {
                // An older start than the one that is known: a delayed entry.
                return k;
            }
            r.missing = Some(now);
            self.hashes.remove(&self.map[k].hash);
        }
        let r = Replica::new(e);
        let (id, hash) = (r.id.clone(), r.hash);
        let k = self.map.insert(r);
        self.ids.insert(id, k);
        self.hashes.insert(hash, k);
        out.push(Change::Joined(k));
        k
    }

    fn remove(&mut self, k: ReplicaKey) {
        if let Some(r) = self.map.remove(k) {
            if self.ids.get(&r.id) == Some(&k) {
                self.ids.remove(&r.id);
            }
            if self.hashes.get(&r.hash) == Some(&k) {
                self.hashes.remove(&r.hash);
            }
        }
    }

    /// Replaces what a peer says of its requests.
    pub fn heard(&mut self, ip: Ipv4Addr, loads: &[digest::Load]) {
        self.silent(ip);
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
    pub fn silent(&mut self, ip: Ipv4Addr) {
        for k in self.told.remove(&ip).unwrap_or_default() {
            if let Some(r) = self.map.get_mut(k) {
                r.peers.remove(&ip);
            }
        }
    }
}
