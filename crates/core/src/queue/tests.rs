use std::collections::BTreeMap;

use arcstr::ArcStr;
use proptest::prelude::*;

use super::{AGING_DELAY, Item, Limits, Queue, Reason, Running};
use crate::{rules::Class, time::Tick};

const LIMITS: Limits =
    Limits { slots: 2, reserved: 1, per_account: 50, total: 200, token_rate: 100 };

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn item(account: &str, class: Class, tokens: u64, deadline: Tick, data: u32) -> Item<u32> {
    Item { account: ArcStr::from(account), weight: 1, class, tokens, deadline, data }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against drafting requests that use the slots reserved for the `status` class.
    status_has_a_slot_while_drafting_fills_the_rest: {
        let mut q = Queue::new(LIMITS);
        for i in 0..5 {
            q.push(at(0), item("a", Class::Drafting, 10, at(60_000), i)).unwrap();
        }
        assert!(q.pop(at(0), |_| true).is_some());
        assert!(q.pop(at(0), |_| true).is_none());
        q.push(at(1), item("b", Class::Status, 10, at(60_000), 9)).unwrap();
        assert_eq!(q.pop(at(1), |_| true).unwrap().item.data, 9);
    }
    // Guards against a request whose adapter is loading that blocks the requests behind it.
    a_blocked_request_does_not_block_others: {
        let mut q = Queue::new(LIMITS);
        q.push(at(0), item("a", Class::Interactive, 10, at(60_000), 1)).unwrap();
        q.push(at(0), item("a", Class::Interactive, 10, at(60_000), 2)).unwrap();
        assert_eq!(q.pop(at(0), |i| i.data != 1).unwrap().item.data, 2);
        assert_eq!(q.len(), 1);
    }
    // Guards against drafting requests that are starved by interactive ones.
    drafting_counts_as_interactive_after_the_aging_delay: {
        let mut q = Queue::new(Limits { slots: 100, ..LIMITS });
        q.push(at(0), item("a", Class::Drafting, 10, at(60_000), 1)).unwrap();
        let late = at(0) + AGING_DELAY;
        q.push(late + std::time::Duration::from_millis(1),
            item("a", Class::Interactive, 10, at(60_000), 2)).unwrap();
        assert_eq!(q.pop(late + std::time::Duration::from_millis(2), |_| true).unwrap().item.data, 1);
    }
    // Guards against queueing requests that would time out in the queue.
    a_request_that_would_wait_too_long_is_refused_at_once: {
        let mut q = Queue::new(LIMITS);
        for i in 0..10 {
            q.push(at(0), item("a", Class::Interactive, 100, at(60_000), i)).unwrap();
        }
        let r = q.push(at(0), item("a", Class::Interactive, 100, at(5_000), 99)).unwrap_err();
        assert_eq!(r.reason, Reason::WaitTooLong);
        assert_eq!(r.item.data, 99);
        assert!(r.retry_after.as_millis() >= 4_000, "{:?}", r.retry_after);
        // Another account has its own share, so this account's backlog does not delay it.
        assert!(q.push(at(0), item("b", Class::Interactive, 100, at(5_000), 3)).is_ok());
    }
    // Guards against refusals for lack of capacity while there are free slots for all waiting
    // requests. A graceful stop refused four of six long requests whose adapters were loading.
    requests_that_wait_for_adapters_do_not_count_as_load: {
        let mut q = Queue::new(Limits { slots: 24, reserved: 3, ..LIMITS });
        for i in 0..20 {
            q.push(at(0), item("a", Class::Interactive, 5_000, at(5_000), i)).unwrap();
        }
        q.push(at(0), item("a", Class::Interactive, 5_000, at(5_000), 20)).unwrap();
        let r = q.push(at(0), item("a", Class::Interactive, 5_000, at(5_000), 21)).unwrap_err();
        assert_eq!(r.reason, Reason::WaitTooLong);
    }
    // Guards against charging the reserved tokens instead of the used ones. An account with a large
    // `max_tokens` and short answers would get a tenth of its share.
    unused_tokens_are_not_charged: {
        let mut q = Queue::new(Limits { slots: 1, reserved: 0, ..LIMITS });
        let mut served = BTreeMap::new();
        for i in 0..400 {
            for (account, tokens) in [("a", 100), ("b", 10)] {
                let _ = q.push(at(i), item(account, Class::Interactive, tokens, at(600_000), 0));
            }
            let p = q.pop(at(i), |_| true).unwrap();
            *served.entry(p.item.account).or_insert(0) += 10;
            q.finish(at(i + 1), p.running, 10);
        }
        assert!(served["a"] >= 1900 && served["b"] >= 1900, "{served:?}");
    }
    // Guards against a queue of unlimited length.
    a_full_queue_refuses_requests: {
        let mut q = Queue::new(Limits { per_account: 3, ..LIMITS });
        for i in 0..3 {
            q.push(at(0), item("a", Class::Drafting, 1, at(60_000), i)).unwrap();
        }
        let r = q.push(at(0), item("a", Class::Drafting, 1, at(60_000), 9)).unwrap_err();
        assert_eq!(r.reason, Reason::Full);
    }
    // Guards against running a request whose caller has been told that it timed out.
    an_expired_request_is_removed_and_not_popped: {
        let mut q = Queue::new(LIMITS);
        q.push(at(0), item("a", Class::Interactive, 1, at(100), 1)).unwrap();
        assert!(q.pop(at(100), |_| true).is_none());
        let mut out = Vec::new();
        q.expire(at(100), &mut out);
        assert_eq!((out.len(), q.len()), (1, 0));
    }
}

/// A server that runs `slots` requests at a time, each at [`TOKEN_RATE`] tokens per second.
struct Server {
    queue: Queue<u32>,
    now: u64,
    running: Vec<(u64, Running, u64, ArcStr, Tick)>,
    served: BTreeMap<ArcStr, u64>,
    // Time of completion and tokens of each request that met its deadline.
    completed: Vec<(u64, u64)>,
    waits: BTreeMap<&'static str, Vec<u64>>,
    refused: u32,
}

const TOKEN_RATE: u64 = 100;

impl Server {
    fn new(slots: u32, reserved: u32) -> Self {
        let limits =
            Limits { slots, reserved, per_account: 500, total: 2000, token_rate: TOKEN_RATE };
        Self {
            queue: Queue::new(limits),
            now: 0,
            running: Vec::new(),
            served: BTreeMap::new(),
            completed: Vec::new(),
            waits: BTreeMap::new(),
            refused: 0,
        }
    }

    fn push(&mut self, account: &str, class: Class, tokens: u64, deadline_ms: u64) {
        let mut i = item(account, class, tokens, at(self.now + deadline_ms), 0);
        // Requests use half of the tokens that they reserve.
        i.tokens *= 2;
        if self.queue.push(at(self.now), i).is_err() {
            self.refused += 1;
        }
    }

    fn step(&mut self, ms: u64) {
        self.now += ms;
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|r| r.0 <= now);
        self.running = running;
        for (end, r, used, account, deadline) in ended {
            *self.served.entry(account).or_default() += used;
            if at(end) <= deadline {
                self.completed.push((end, used));
            }
            self.queue.finish(at(now), r, used);
        }
        self.queue.expire(at(now), &mut Vec::new());
        while let Some(p) = self.queue.pop(at(now), |_| true) {
            let used = p.item.tokens / 2;
            let class = match p.item.class {
                Class::Status => "status",
                Class::Interactive => "interactive",
                Class::Drafting => "drafting",
            };
            self.waits.entry(class).or_default().push(p.waited.as_millis() as u64);
            let end = now + used * 1000 / TOKEN_RATE;
            self.running.push((end, p.running, used, p.item.account, p.item.deadline));
        }
    }

    fn goodput(&self, from: u64, to: u64) -> u64 {
        self.completed.iter().filter(|(t, _)| (from..to).contains(t)).map(|(_, n)| n).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 0, ..ProptestConfig::with_cases(16) })]

    // Guards against an account that sends five times its share and so takes capacity from another,
    // whatever the lengths of the answers.
    #[test]
    fn an_overload_of_one_account_leaves_the_others_their_share(
        small in 5..60u64, large in 5..200u64, share in 10..=100u64,
    ) {
        // The capacity is 1000 tokens/s, so the fair share of each account is 500.
        let mut s = Server::new(10, 0);
        let demand = 500 * share / 100;
        let (mut calm, mut greedy) = (0, 0);
        for step in 0..6_000u64 {
            let ms = step * 10;
            while calm * 1000 <= demand * ms {
                s.push("calm", Class::Interactive, small, 60_000);
                calm += small;
            }
            while greedy * 1000 <= 2500 * ms {
                s.push("greedy", Class::Interactive, large, 60_000);
                greedy += large;
            }
            s.step(10);
        }
        let served = s.served.get("calm").copied().unwrap_or(0);
        prop_assert!(served * 100 >= demand * 60 * 95, "{served} of {}", demand * 60);
    }
}

cases! {
    // Guards against `status` requests that wait behind drafting, and against starving drafting.
    status_does_not_wait_and_drafting_is_not_starved: {
        let mut s = Server::new(10, 2);
        for step in 0..6_000 {
            if step % 20 == 0 {
                s.push("a", Class::Status, 5, 60_000);
            }
            if step % 4 == 0 {
                s.push("b", Class::Drafting, 100, 60_000);
            }
            // Interactive requests alone exceed the capacity that is not reserved.
            if step % 6 == 0 {
                s.push("c", Class::Interactive, 60, 60_000);
            }
            s.step(10);
        }
        assert!(s.waits["status"].iter().all(|w| *w <= 10), "{:?}", s.waits["status"]);
        // By aging, drafting shares the interactive capacity of 800 tokens/s.
        assert!(s.served["b"] > 60 * 250, "{:?}", s.served);
    }
    // Guards against a backlog that makes answers miss their deadlines long after a burst.
    goodput_recovers_after_a_burst_of_twice_the_capacity: {
        let mut s = Server::new(10, 0);
        let mut sent = 0;
        for step in 0..6_000u64 {
            let ms = step * 10;
            // 900 tokens/s of 1000, with 2000 tokens/s from 20 s to 30 s.
            let burst = ms.clamp(20_000, 30_000) - 20_000;
            while sent * 1000 <= 900 * ms + 1100 * burst {
                s.push(["a", "b", "c"][sent as usize / 20 % 3], Class::Interactive, 20, 5_000);
                sent += 20;
            }
            s.step(10);
        }
        let before = s.goodput(10_000, 20_000);
        let after = s.goodput(31_000, 41_000);
        assert!(after * 100 >= before * 95, "{before} before, {after} after");
        assert!(s.refused > 0);
    }
}
