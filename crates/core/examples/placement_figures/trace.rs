//! Generated traces of requests, and the figures of a run of one.

/// Parameters of a trace.
pub struct Workload {
    /// Exponent of the Zipf distribution of adapters.
    pub zipf: f64,
    /// Requests per second.
    pub rate: f64,
    /// Share of the popular adapters that swap ranks with other adapters every 120 s.
    pub shift: f64,
    pub seconds: u64,
    /// Mean duration of a request on an engine.
    pub mean_ms: u64,
    pub seed: u64,
}

/// Size and limits of the simulated fleet.
pub struct FleetShape {
    pub engines: usize,
    pub slots: usize,
    pub batch: usize,
    pub hosts: usize,
    /// Loads per second in the whole fleet.
    pub rate: f64,
    /// Loads in flight at once in the whole fleet.
    pub flight: usize,
    pub load_us: u64,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self { engines: 20, slots: 8, batch: 8, hosts: 5, rate: 4.0, flight: 8, load_us: 250_000 }
    }
}

#[derive(Clone, Copy)]
pub struct Request {
    /// Arrival time in microseconds.
    pub at: u64,
    pub adapter: usize,
    /// Time that the request runs on an engine.
    pub duration_us: u64,
    /// Host at which it arrives.
    pub host: usize,
}

pub const ADAPTERS: usize = 3000;
const SHIFT_INTERVAL_US: u64 = 120_000_000;
/// Requests before this time load adapters on the empty engines and are not counted.
pub const WARM_UP_US: u64 = 300_000_000;

pub struct Trace {
    /// By arrival time.
    pub requests: Vec<Request>,
    /// End of the trace in microseconds.
    pub end: u64,
    /// Arrival times of the requests of each adapter.
    pub uses: Vec<Vec<u64>>,
}

/// SplitMix64 generator.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut h = self.0;
        h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        h ^ (h >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

impl Trace {
    pub fn new(l: &Workload) -> Self {
        let mut r = Random(l.seed);
        let mut sums = Vec::with_capacity(ADAPTERS);
        let mut sum = 0.0;
        for k in 1..=ADAPTERS {
            sum += (k as f64).powf(-l.zipf);
            sums.push(sum);
        }
        // Adapters by popularity rank.
        let mut ranks: Vec<usize> = (0..ADAPTERS).collect();
        let end = l.seconds * 1_000_000;
        let (mut now, mut shifted) = (0.0, 0);
        let mut requests = Vec::new();
        let mut uses = vec![Vec::new(); ADAPTERS];
        loop {
            now += r.exponential(1e6 / l.rate);
            let at = now as u64;
            if at >= end {
                break;
            }
            while at >= shifted + SHIFT_INTERVAL_US {
                shifted += SHIFT_INTERVAL_US;
                // Each popular adapter swaps ranks with a random one with probability `shift`.
                for k in 0..160 {
                    if r.unit() < l.shift {
                        ranks.swap(k, (r.next() % ADAPTERS as u64) as usize);
                    }
                }
            }
            let x = r.unit() * sum;
            let rank = sums.partition_point(|s| *s < x).min(ADAPTERS - 1);
            let adapter = ranks[rank];
            let duration_us =
                r.exponential(l.mean_ms as f64 * 1e3).clamp(2e5, l.mean_ms as f64 * 8e3) as u64;
            // The traffic is uneven: host 0 gets twice as many requests as each other host.
            let host = [0, 0, 1, 2, 3, 4][(r.next() % 6) as usize];
            uses[adapter].push(at);
            requests.push(Request { at, adapter, duration_us, host });
        }
        Self { requests, end, uses }
    }

    /// Time of the next request for an adapter after `now`.
    pub fn next_use(&self, adapter: usize, now: u64) -> u64 {
        let u = &self.uses[adapter];
        u.get(u.partition_point(|t| *t <= now)).copied().unwrap_or(u64::MAX)
    }
}

/// Measured figures of a run.
#[derive(Default)]
pub struct Outcome {
    pub requests: usize,
    pub loads: usize,
    pub seconds: f64,
    /// Waits of requests that waited for a load, in microseconds.
    pub stalls: Vec<u64>,
    /// Waits of the other requests, in microseconds.
    pub waits: Vec<u64>,
    /// Slot-microseconds used while requests waited.
    pub used: u128,
    /// Slot-microseconds available while requests waited.
    pub available: u128,
}

impl Outcome {
    pub fn new(t: &Trace) -> Self {
        let requests = t.requests.iter().filter(|r| r.at >= WARM_UP_US).count();
        Self { requests, seconds: t.end as f64 / 1e6, ..Self::default() }
    }

    /// Counts a request that starts.
    pub fn started(&mut self, r: &Request, now: u64, stalled: bool) {
        if r.at >= WARM_UP_US {
            if stalled { &mut self.stalls } else { &mut self.waits }.push(now - r.at);
        }
    }

    pub const HEADER: &'static str = "policy                                           stalls/1000 \
         stall p50 ms  p99 ms  stall s/1000  other wait p99 ms  loads/s  batch %  started %";

    pub fn line(mut self, name: &str) -> String {
        self.stalls.sort_unstable();
        self.waits.sort_unstable();
        let per = 1000.0 / self.requests as f64;
        let total: u64 = self.stalls.iter().sum();
        let ms = |v: &[u64], q: f64| {
            let i = ((v.len() as f64 * q) as usize).min(v.len().saturating_sub(1));
            v.get(i).copied().unwrap_or(0) / 1000
        };
        format!(
            "{name:<48} {:>11.1} {:>13} {:>7} {:>13.1} {:>18} {:>8.2} {:>8.1} {:>7.1}",
            self.stalls.len() as f64 * per,
            ms(&self.stalls, 0.5),
            ms(&self.stalls, 0.99),
            total as f64 / 1e6 * per,
            ms(&self.waits, 0.99),
            self.loads as f64 / self.seconds,
            100.0 * self.used as f64 / self.available.max(1) as f64,
            100.0 * (self.stalls.len() + self.waits.len()) as f64 / self.requests as f64,
        )
    }
}
