//! Simulation of hosts with drifting clocks and a network that loses, delays and repeats messages.

use std::collections::BTreeMap;

use super::super::{Allowance, BorrowAnswer, BorrowRequest, Grant, ReserveOutcome};
use crate::{
    ArcStr,
    bucket::Limits,
    ids::{Generation, Incarnation, Ordinal},
    lease::{Authority, Effect, Lease, LeaseRequest, Setup, Vote},
    time::Tick,
};

pub(crate) const MS: u64 = 1000;
pub(crate) const SECOND: u64 = 1000 * MS;
const ACCOUNT: ArcStr = arcstr::literal!("a");
const POLL: u64 = 20 * MS;

/// Configuration version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Version {
    pub(crate) number: u64,
    pub(crate) hosts: u8,
    pub(crate) limits: Limits,
}

/// Network faults; probabilities are per thousand messages, delays in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net {
    pub(crate) lost: u64,
    pub(crate) repeated: u64,
    pub(crate) late: u64,
    pub(crate) delay: (u64, u64),
    // Bit set of the ordinals on one side of a partition.
    pub(crate) isolated: u8,
}

pub(crate) struct Process {
    pub(crate) ordinal: u8,
    pub(crate) lease: Lease,
    pub(crate) allowance: Allowance,
    pub(crate) version: Version,
    pub(crate) paused: u64,
    pub(crate) ended: bool,
    // Rate of this process's clock in millionths of true time.
    speed: u64,
    offset: u64,
    waiting: Vec<Request>,
}

impl Process {
    pub(crate) fn clock(&self, now: u64) -> Tick {
        Tick(self.offset + (u128::from(now) * u128::from(self.speed) / 1_000_000) as u64)
    }

    pub(crate) fn authority(&self, now: u64) -> Option<Authority> {
        self.lease.authority(self.clock(now)).filter(|_| !self.ended)
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    id: usize,
    tokens: u64,
    used: u64,
    since: u64,
}

#[derive(Clone)]
enum Event {
    Poll,
    Ask { from: usize, request: LeaseRequest },
    Vote { from: u8, vote: Vote },
    Borrow { from: usize, request: BorrowRequest },
    Lent { from: u8, answer: BorrowAnswer },
    Request(Request),
    Settle { grant: Grant, used: u64 },
    Configure(Version),
}

#[derive(Clone, Copy)]
enum To {
    Process(usize),
    Ordinal(u8),
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) processes: Vec<Process>,
    pub(crate) net: Net,
    pub(crate) version: Version,
    /// True time and used tokens of every grant.
    pub(crate) spent: Vec<(u64, u64)>,
    /// Largest total capacity of all hosts so far.
    pub(crate) largest_capacity: u64,
    /// Ordinal whose processes cannot read new configurations.
    pub(crate) without_config: Option<u8>,
    /// Ordinal for which two processes had authority at the same time.
    pub(crate) double_holder: Option<u8>,
    /// Result of each request, `None` while it waits.
    pub(crate) granted: Vec<Option<bool>>,
    /// Number of borrow requests sent.
    pub(crate) borrows: u64,
    /// Duration of a request in microseconds.
    pub(crate) hold: u64,
    queue: BTreeMap<(u64, u64), (To, Event)>,
    sequence: u64,
    random: u64,
}

impl Fleet {
    /// Starts a group and runs it until all buckets are full.
    pub(crate) fn new(hosts: u8, limits: Limits, seed: u64) -> Self {
        let version = Version { number: 1, hosts, limits };
        let net = Net { lost: 0, repeated: 0, late: 0, delay: (500, 1500), isolated: 0 };
        let mut f = Self {
            now: 0,
            processes: Vec::new(),
            net,
            version,
            spent: Vec::new(),
            largest_capacity: 0,
            without_config: None,
            double_holder: None,
            granted: Vec::new(),
            borrows: 0,
            hold: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: seed | 1,
        };
        for o in 0..hosts {
            f.start(o, Some(Generation(1)));
        }
        f.run(8 * SECOND + limits.burst * SECOND / limits.rate.max(1));
        assert!(f.complete(), "not founded");
        f
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below.max(1)
    }

    pub(crate) fn start(&mut self, ordinal: u8, bootstrap: Option<Generation>) {
        let (speed, offset) = (995_100 + self.random(9_801), self.random(SECOND * 100));
        let incarnation = Incarnation(self.random(u64::MAX));
        let version = self.version;
        let (hosts, number) = (version.hosts, version.number);
        let setup =
            Setup { ordinal: Ordinal(ordinal), hosts, incarnation, bootstrap, version: number };
        let mut p = Process {
            ordinal,
            lease: Lease::new(setup, Tick(0)),
            allowance: Allowance::new(Ordinal(ordinal)),
            version,
            paused: 0,
            ended: false,
            speed,
            offset,
            waiting: Vec::new(),
        };
        let now = p.clock(self.now);
        p.lease = Lease::new(setup, now);
        p.allowance.configure(now, [(ACCOUNT, version.limits)]);
        self.processes.push(p);
        let i = self.processes.len() - 1;
        self.push(self.now, To::Process(i), Event::Poll);
    }

    /// Whether every ordinal of the group has a holder.
    pub(crate) fn complete(&self) -> bool {
        let held =
            |o| self.processes.iter().any(|p| p.ordinal == o && p.authority(self.now).is_some());
        (0..self.version.hosts).all(held)
    }

    /// Index of the ordinal's holder, or of its newest process if it has none.
    pub(crate) fn newest(&self, ordinal: u8) -> Option<usize> {
        let all = || self.processes.iter().enumerate();
        let mine = |p: &Process| p.ordinal == ordinal && !p.ended;
        let holder = all().find(|(_, p)| mine(p) && p.authority(self.now).is_some());
        holder.or_else(|| all().rfind(|(_, p)| mine(p))).map(|(i, _)| i)
    }

    pub(crate) fn configure(&mut self, process: usize, delay: u64, version: Version) {
        self.push(self.now + delay, To::Process(process), Event::Configure(version));
    }

    pub(crate) fn release(&mut self, i: usize) {
        let p = &mut self.processes[i];
        let now = p.clock(self.now);
        p.allowance.stop_lending();
        if p.paused > self.now || p.allowance.lent_until().is_some_and(|t| t > now) {
            return;
        }
        let mut out = Vec::new();
        p.lease.release(now, &mut out);
        p.ended = true;
        self.effects(i, out);
    }

    /// Sends a caller's request to the holder or newest process of `ordinal`.
    pub(crate) fn request(&mut self, ordinal: u8, tokens: u64, used: u64) {
        let id = self.granted.len();
        self.granted.push(None);
        let request = Request { id, tokens, used, since: self.now };
        match self.newest(ordinal) {
            Some(i) => self.push(self.now, To::Process(i), Event::Request(request)),
            None => self.granted[id] = Some(false),
        }
    }

    pub(crate) fn run(&mut self, us: u64) {
        let end = self.now + us;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (to, event) = entry.remove();
            self.now = self.now.max(at);
            self.handle(to, event);
            self.double_holder = self.double_holder.or_else(|| self.find_double_holder());
        }
        self.now = end;
    }

    fn push(&mut self, at: u64, to: To, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, event));
    }

    fn send(&mut self, from: u8, to_ordinal: u8, to: To, event: Event) {
        let apart = |o: u8| self.net.isolated >> o & 1;
        let cut = apart(from) != apart(to_ordinal);
        if cut || self.random(1000) < self.net.lost {
            return;
        }
        let copies = 1 + u64::from(self.random(1000) < self.net.repeated);
        for _ in 0..copies {
            let (low, high) = self.net.delay;
            let late = self.random(1000) < self.net.late;
            let extra = if late { self.random(6 * SECOND) } else { 0 };
            let at = self.now + low + self.random(high - low + 1) + extra;
            self.push(at, to, event.clone());
        }
    }

    fn handle(&mut self, to: To, event: Event) {
        let i = match to {
            To::Process(i) => i,
            To::Ordinal(o) => {
                // One message in four may reach an older process of the ordinal.
                let all: Vec<usize> = (0..self.processes.len())
                    .filter(|i| self.processes[*i].ordinal == o && !self.processes[*i].ended)
                    .collect();
                let old = self.random(4) == 0;
                let pick = self.random(all.len() as u64) as usize;
                let Some(i) = (if old { all.get(pick) } else { all.last() }) else { return };
                *i
            }
        };
        if self.processes[i].ended {
            if let Event::Request(w) = event {
                self.granted[w.id] = Some(false);
            }
            return;
        }
        if self.processes[i].paused > self.now {
            // Events that arrive during a pause are handled after it, in any order.
            let at = self.processes[i].paused + self.random(3);
            return self.push(at, To::Process(i), event);
        }
        self.act(i, event);
    }

    fn act(&mut self, i: usize, event: Event) {
        let now = self.processes[i].clock(self.now);
        let p = &mut self.processes[i];
        let ordinal = p.ordinal;
        let mut retry = false;
        match event {
            Event::Poll => {
                retry = true;
                self.push(self.now + POLL, To::Process(i), Event::Poll);
            }
            Event::Ask { from, request } => {
                let vote = p.lease.vote(now, &request);
                let to = self.processes[from].ordinal;
                self.send(ordinal, to, To::Process(from), Event::Vote { from: ordinal, vote });
            }
            Event::Vote { from, vote } => {
                let mut out = Vec::new();
                p.lease.handle_vote(now, Ordinal(from), vote, &mut out);
                self.effects(i, out);
            }
            Event::Borrow { from, request } => {
                let authority = p.lease.authority(now);
                let borrower = self.processes[from].ordinal;
                let p = &mut self.processes[i];
                let answer = p.allowance.lend(now, authority, Ordinal(borrower), &request);
                let to = To::Process(from);
                self.send(ordinal, borrower, to, Event::Lent { from: ordinal, answer });
            }
            Event::Lent { from, answer } => {
                p.allowance.handle_answer(now, Ordinal(from), answer);
                retry = true;
            }
            Event::Request(w) => self.reserve(i, w),
            Event::Settle { grant, used } => p.allowance.settle(now, grant, used),
            Event::Configure(v)
                if v.number > p.version.number && self.without_config != Some(ordinal) =>
            {
                p.version = v;
                p.lease.configure(now, v.number, v.hosts);
                p.allowance.configure(now, [(ACCOUNT, v.limits)]);
            }
            Event::Configure(_) => {}
        }
        if retry {
            for w in std::mem::take(&mut self.processes[i].waiting) {
                self.reserve(i, w);
            }
        }
        self.poll(i);
    }

    fn reserve(&mut self, i: usize, w: Request) {
        let p = &mut self.processes[i];
        let now = p.clock(self.now);
        let authority = p.lease.authority(now);
        match p.allowance.reserve(now, authority, &ACCOUNT, w.tokens) {
            ReserveOutcome::Granted(grant) => {
                self.granted[w.id] = Some(true);
                self.spent.push((self.now, w.used));
                let at = self.now + self.hold;
                self.push(at, To::Process(i), Event::Settle { grant, used: w.used });
            }
            ReserveOutcome::Pending if self.now < w.since + SECOND => p.waiting.push(w),
            _ => self.granted[w.id] = Some(false),
        }
    }

    fn poll(&mut self, i: usize) {
        let p = &mut self.processes[i];
        let now = p.clock(self.now);
        let mut out = Vec::new();
        p.lease.poll(now, &mut out);
        let authority = p.lease.authority(now);
        let (ordinal, mut asks) = (p.ordinal, Vec::new());
        let live: Vec<Ordinal> =
            (0..self.version.hosts).filter(|o| self.newest(*o).is_some()).map(Ordinal).collect();
        self.processes[i].allowance.poll(now, authority, &live, &mut asks);
        self.effects(i, out);
        for b in asks {
            self.borrows += 1;
            let event = Event::Borrow { from: i, request: b.request };
            self.send(ordinal, b.to.0, To::Ordinal(b.to.0), event);
        }
    }

    fn effects(&mut self, i: usize, out: Vec<Effect>) {
        let ordinal = self.processes[i].ordinal;
        for e in out {
            match e {
                Effect::SendRequest { to, request } => {
                    let event = Event::Ask { from: i, request };
                    self.send(ordinal, to.0, To::Ordinal(to.0), event);
                }
                Effect::Replaced(_) => {
                    self.processes[i].ended = true;
                    self.start(ordinal, None);
                }
                Effect::OutdatedConfig { .. } => {
                    let delay = 50 * MS + self.random(100 * MS);
                    self.configure(i, delay, self.version);
                }
                Effect::Admitted(_) | Effect::Lost | Effect::Regained => {}
            }
        }
    }

    /// Total bucket capacity of all hosts with authority.
    pub(crate) fn capacity(&mut self) -> u64 {
        let now = self.now;
        let burst = |p: &mut Process| {
            let authority = p.authority(now)?;
            let reports = p.allowance.report(p.clock(now), Some(authority));
            Some(reports.iter().map(|r| r.burst).sum::<u64>())
        };
        self.processes.iter_mut().filter_map(burst).sum()
    }

    fn find_double_holder(&self) -> Option<u8> {
        (0..7).find(|o| {
            let holders = self.processes.iter().filter(|p| p.ordinal == *o);
            holders.filter(|p| p.authority(self.now).is_some()).count() > 1
        })
    }

    /// Whether more than burst + rate x window was spent in a window that starts at `from` or
    /// later. The rate is raised by 0.5%, by which a clock may run faster than true time.
    pub(crate) fn exceeded(&mut self, limits: Limits, from: u64) -> bool {
        self.spent.sort_unstable();
        let all = &self.spent[self.spent.partition_point(|(at, _)| *at < from)..];
        // Largest excess over all windows that end at this grant, in millionths of a token.
        let (mut excess, mut last) = (0u128, from);
        all.iter().any(|(at, n)| {
            let allowed = u128::from(at - last) * u128::from(limits.rate) * 1005 / 1000;
            excess = excess.saturating_sub(allowed) + u128::from(*n) * 1_000_000;
            last = *at;
            excess > u128::from(limits.burst) * 1_000_000
        })
    }
}
