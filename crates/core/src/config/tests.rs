use std::{collections::BTreeMap, sync::LazyLock};

use proptest::prelude::*;

use super::{Config, Effect, Event, FetchTarget, Reason, Source, Stamp};
use crate::{
    ArcStr,
    ids::Ordinal,
    rules::{Adapter, Class, Digest, Head, Rendered, Rules},
    time::Tick,
};

const BASE: &str = "hosts = 3\nmodels = [\"base\"]\n";

fn rendered(version: u64, adapters: u32) -> Rendered {
    let mut text = BASE.to_owned();
    for i in 0..adapters {
        text += &format!("[adapters.a{i}]\nmodel = \"base\"\nversions = [\"1\"]\n");
    }
    Rules::parse("r.toml", &text).unwrap().render(version)
}

fn peer(name: &str) -> Source {
    Source::Peer(name.into())
}

/// A host, the heads and parts that its sources serve, and its effects so far.
struct TestHost {
    config: Config,
    values: BTreeMap<Digest, String>,
    heads: BTreeMap<Source, Head>,
    now: Tick,
    log: Vec<Effect>,
}

impl TestHost {
    fn new(bootstrap: bool) -> Self {
        Self {
            config: Config::new(Ordinal(0), bootstrap),
            values: BTreeMap::new(),
            heads: BTreeMap::new(),
            now: Tick(0),
            log: Vec::new(),
        }
    }

    fn publish(&mut self, r: &Rendered, at: Source) {
        self.values.extend(r.parts.clone());
        self.heads.insert(at, r.head.clone());
    }

    fn send(&mut self, event: Event) {
        let mut out = Vec::new();
        self.config.handle(self.now, event, &mut out);
        self.log.extend(out);
    }

    /// Answers fetches until there are none left.
    fn settle(&mut self) {
        let mut done = 0;
        while let Some(i) =
            (done..self.log.len()).find(|i| matches!(self.log[*i], Effect::Fetch { .. }))
        {
            done = i + 1;
            let Effect::Fetch { from, target } = self.log[i].clone() else { unreachable!() };
            let event = match &target {
                FetchTarget::Head => match self.heads.get(&from) {
                    Some(h) => Event::HeadReceived { from, head: h.clone() },
                    None => Event::FetchFailed { from, target },
                },
                FetchTarget::Part(d) => match self.values.get(d) {
                    Some(t) => {
                        Event::PartReceived { from, digest: d.clone(), bytes: t.clone().into() }
                    }
                    None => Event::FetchFailed { from, target },
                },
            };
            self.send(event);
        }
    }

    fn offer(&mut self, r: &Rendered, from: Source) {
        self.publish(r, from.clone());
        self.send(Event::HeadReceived { from, head: r.head.clone() });
        self.settle();
    }

    fn fetched(&self) -> usize {
        let part = |e: &&Effect| matches!(e, Effect::Fetch { target: FetchTarget::Part(_), .. });
        self.log.iter().filter(part).count()
    }

    fn reasons(&self) -> Vec<&Reason> {
        fn reason(e: &Effect) -> Option<&Reason> {
            if let Effect::Rejected(r) = e { Some(&r.reason) } else { None }
        }
        self.log.iter().filter_map(reason).collect()
    }

    fn answer(&mut self, ordinal: u8, ready: bool, r: Option<&Rendered>) {
        let name: ArcStr = format!("h{ordinal}").into();
        if let Some(r) = r {
            self.publish(r, Source::Peer(name.clone()));
        }
        let stamp = r.map(|r| Stamp::from(&r.head));
        self.send(Event::PeerAnswered { ordinal: Ordinal(ordinal), peer: name, ready, stamp });
        self.settle();
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against fetching all parts for a change to one adapter.
    a_change_fetches_only_new_parts: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(1, 500), Source::Service);
        assert_eq!(host.config.version(), 1);
        let before = host.fetched();
        host.offer(&rendered(2, 501), Source::Service);
        assert_eq!(host.config.version(), 2);
        // The shard and its index.
        assert_eq!(host.fetched() - before, 2);
    }
    // Guards against going back to an old version that a stale service or peer offers.
    a_lower_version_is_ignored: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(5, 3), Source::Service);
        host.offer(&rendered(4, 1), peer("h1"));
        assert_eq!(host.config.version(), 5);
        assert!(host.reasons().is_empty());
    }
    // Guards against switching between two contents of one version, and against an event per probe.
    the_same_version_with_another_digest_is_rejected_once: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(5, 3), Source::Service);
        host.offer(&rendered(5, 4), peer("h1"));
        host.offer(&rendered(5, 4), peer("h1"));
        assert_eq!(host.config.rules().unwrap().adapters.len(), 3);
        assert!(matches!(host.reasons()[..], [Reason::Conflict { .. }]));
    }
    // Guards against an invalid version that is applied, is fetched again or blocks the next one.
    an_invalid_version_is_refused_and_the_next_one_applies: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(1, 1), Source::Service);
        let mut bad = Rules::parse("r.toml", BASE).unwrap();
        bad.hosts = 9;
        host.offer(&bad.render(2), Source::Service);
        assert!(matches!(host.reasons()[..], [Reason::Invalid(_)]));
        let before = host.fetched();
        host.offer(&bad.render(2), peer("h1"));
        assert_eq!((host.config.version(), host.fetched()), (1, before));
        host.offer(&rendered(3, 1), Source::Service);
        assert_eq!(host.config.version(), 3);
    }
    // Guards against a peer that blocks a version by sending wrong bytes.
    a_wrong_part_is_fetched_from_the_service: {
        let mut host = TestHost::new(false);
        let r = rendered(1, 0);
        host.publish(&r, Source::Service);
        host.send(Event::HeadReceived { from: peer("h1"), head: r.head.clone() });
        let wrong = r.head.parts[0].clone();
        let bytes = b"{}  ".to_vec();
        host.send(Event::PartReceived { from: peer("h1"), digest: wrong.clone(), bytes });
        assert!(host.log.contains(&Effect::Fetch {
            from: Source::Service,
            target: FetchTarget::Part(wrong),
        }));
        host.settle();
        assert_eq!(host.config.version(), 1);
    }
    // Guards against a fetch that never ends because neither a result nor a failure is reported.
    a_silent_source_is_given_up: {
        let mut host = TestHost::new(false);
        let r = rendered(1, 0);
        host.publish(&r, Source::Service);
        host.send(Event::HeadReceived { from: peer("h1"), head: r.head.clone() });
        host.log.clear();
        host.now = Tick(2_000_000);
        host.send(Event::Tick);
        host.settle();
        assert_eq!(host.config.version(), 1);
    }
    // Guards against keeping a version that no source can serve as a candidate: the host would
    // never be confirmed again and would refuse requests with a key.
    an_unavailable_version_is_dropped: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(1, 1), Source::Service);
        host.send(Event::HeadReceived { from: peer("h1"), head: rendered(2, 2).head });
        host.now = Tick(29_000_000);
        host.send(Event::HeadUnchanged);
        assert!(host.config.is_stale(host.now));
        host.now = Tick(40_000_000);
        host.send(Event::Tick);
        assert!(matches!(host.reasons()[..], [Reason::Unavailable(_)]));
        host.send(Event::HeadUnchanged);
        assert!(!host.config.is_stale(host.now));
    }
    // Guards against admitting requests with a key under rules that may be outdated.
    a_host_without_confirmation_is_stale_after_ten_seconds: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(1, 1), Source::Service);
        assert!(!host.config.is_stale(Tick(9_999_999)));
        assert!(host.config.is_stale(Tick(10_000_000)));
        host.now = Tick(10_000_000);
        host.send(Event::MajorityConfirmed);
        assert!(!host.config.is_stale(Tick(19_000_000)));
    }
    // Guards against a confirmation by a stale service that does not have the active version.
    a_stale_service_confirms_nothing: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(1, 1), Source::Service);
        host.now = Tick(1_000_000);
        host.offer(&rendered(2, 1), peer("h1"));
        host.now = Tick(10_000_000);
        host.send(Event::HeadUnchanged);
        assert!(host.config.is_stale(host.now));
        host.offer(&rendered(2, 1), Source::Service);
        assert!(!host.config.is_stale(host.now));
    }
    // Guards against a replacement that starts with an old version. In a group of 3, only both
    // peers together are certain to include one with the newest version.
    a_replacement_waits_for_a_majority_and_its_highest_version: {
        let mut host = TestHost::new(false);
        host.answer(1, true, Some(&rendered(7, 1)));
        assert_eq!(host.config.version(), 7);
        assert!(!host.config.is_ready());
        host.answer(2, true, Some(&rendered(8, 2)));
        let at = |f: fn(&Effect) -> bool| host.log.iter().position(f).unwrap();
        let applied = at(|e| matches!(e, Effect::Apply { version: 8, .. }));
        assert!(at(|e| *e == Effect::Ready) > applied);
    }
    // Guards against starting with the peers' version although the service has a newer one.
    a_start_waits_for_the_version_of_the_service: {
        let mut host = TestHost::new(false);
        let newest = rendered(9, 3);
        host.send(Event::HeadReceived { from: Source::Service, head: newest.head.clone() });
        host.answer(1, true, Some(&rendered(8, 2)));
        host.answer(2, true, Some(&rendered(8, 2)));
        assert!(!host.config.is_ready());
        host.offer(&newest, Source::Service);
        host.now = Tick(2_000_000);
        host.send(Event::Tick);
        host.settle();
        assert!(host.config.is_ready());
        assert_eq!(host.config.version(), 9);
    }
    // Guards against counting the answer of a peer that is starting and has no version itself.
    a_starting_peer_counts_only_at_a_first_start: {
        for bootstrap in [false, true] {
            let mut host = TestHost::new(bootstrap);
            host.offer(&rendered(1, 1), Source::Service);
            host.answer(1, true, Some(&rendered(1, 1)));
            host.answer(2, false, None);
            assert_eq!(host.config.is_ready(), bootstrap);
        }
    }
    // Guards against never fetching a version that is only announced by a probe or vote.
    an_announced_version_is_fetched_from_its_announcer: {
        let mut host = TestHost::new(false);
        host.offer(&rendered(1, 1), Source::Service);
        host.publish(&rendered(2, 2), peer("h1"));
        host.send(Event::VersionAnnounced { from: peer("h1"), version: 2, digest: None });
        host.settle();
        assert_eq!(host.config.version(), 2);
        let last = Stamp::from(&rendered(2, 2).head);
        assert!(host.log.contains(&Effect::Announce(last)));
    }
    // Guards against an unanswered head fetch that prevents later head fetches.
    a_silent_announcer_is_asked_again: {
        let mut host = TestHost::new(false);
        for at in [0, 2_000_000] {
            host.now = Tick(at);
            host.send(Event::Tick);
            host.log.clear();
            host.send(Event::VersionAnnounced { from: peer("h1"), version: 2, digest: None });
            host.send(Event::VersionAnnounced { from: peer("h1"), version: 2, digest: None });
            assert_eq!(host.log, [Effect::Fetch { from: peer("h1"), target: FetchTarget::Head }]);
        }
    }
    // Guards against fetching the same head from every peer that announces it.
    one_head_is_fetched_for_a_version: {
        let mut host = TestHost::new(false);
        for i in 1..9 {
            let from = peer(&format!("h{i}"));
            host.send(Event::VersionAnnounced { from, version: 2, digest: None });
        }
        assert_eq!(host.log.len(), 1);
    }
    // Guards against never completing a version when new ones arrive quickly, and against memory
    // that grows with their number.
    the_oldest_and_the_newest_candidates_are_kept: {
        let mut host = TestHost::new(false);
        for v in 1..20 {
            host.send(Event::HeadReceived { from: peer("h1"), head: rendered(v, v as u32).head });
        }
        let kept: Vec<_> = host.config.candidates.iter().map(|c| c.head.version).collect();
        assert_eq!(kept, [1, 17, 18, 19]);
    }
    // Guards against a version that exhausts the memory of the hosts.
    a_version_that_is_too_large_is_refused: {
        let long = "x".repeat(127);
        let mut rules = Rules::parse("r.toml", BASE).unwrap();
        for i in 0..5_000 {
            let versions = (0..27).map(|v| format!("{v:02}{}", &long[2..]).into()).collect();
            let a = Adapter { model: "base".into(), versions, class: Class::Status };
            rules.adapters.insert(format!("a{i}").into(), a);
        }
        let (mut host, large) = (TestHost::new(false), rules.render(1));
        host.offer(&large, Source::Service);
        assert!(matches!(host.reasons()[..], [Reason::Invalid(m)] if m.contains("bytes")));
        assert!(host.fetched() < large.parts.len());
        assert!(host.config.parts.is_empty() && host.config.candidates.is_empty());
    }
    // Guards against keeping the parts of old versions in memory.
    old_parts_are_dropped: {
        let mut host = TestHost::new(false);
        for v in 1..20 {
            host.offer(&rendered(v, v as u32), Source::Service);
        }
        // The active version and the previous one.
        let mut kept = rendered(18, 18).parts;
        kept.extend(rendered(19, 19).parts);
        assert!(host.config.parts.keys().eq(kept.keys()));
        assert!(host.config.fetches.is_empty());
    }
}

// Rendered once because rendering is slow in a debug build.
static VERSIONS: LazyLock<Vec<Rendered>> =
    LazyLock::new(|| (1..6).flat_map(|v| (0..3).map(move |n| rendered(v, n))).collect());

fn event() -> impl Strategy<Value = Event> {
    let source =
        || prop_oneof![Just(Source::Service), (0..3u8).prop_map(|i| peer(&format!("h{i}")))];
    let version = || prop::sample::select(VERSIONS.as_slice());
    prop_oneof![
        (source(), version()).prop_map(|(from, r)| Event::HeadReceived { from, head: r.head }),
        (source(), version(), any::<bool>()).prop_map(|(from, r, with)| Event::VersionAnnounced {
            from,
            version: r.head.version,
            digest: with.then_some(r.head.digest),
        }),
        (source(), version(), any::<prop::sample::Index>()).prop_map(|(from, r, i)| {
            let parts: Vec<_> = r.parts.into_iter().collect();
            let (digest, text) = i.get(&parts).clone();
            Event::PartReceived { from, bytes: text.into(), digest }
        }),
        (source(), version(), any::<Vec<u8>>()).prop_map(|(from, r, bytes)| Event::PartReceived {
            from,
            digest: r.head.parts[0].clone(),
            bytes,
        }),
        source().prop_map(|from| Event::FetchFailed { from, target: FetchTarget::Head }),
        Just(Event::MajorityConfirmed),
        Just(Event::HeadUnchanged),
        Just(Event::Tick),
    ]
}

proptest! {
    // Guards against an active version that decreases and against unbounded effects, for any events
    // in any order.
    #[test]
    fn the_version_in_force_only_rises(
        events in prop::collection::vec((event(), 0..2_000_000u64), 1..80),
    ) {
        let mut c = Config::new(Ordinal(0), false);
        let mut now = Tick(0);
        for (e, us) in events {
            now = Tick(now.0 + us);
            let before = c.stamp();
            let mut out = Vec::new();
            c.handle(now, e, &mut out);
            prop_assert!(out.len() < 40);
            let after = c.stamp();
            prop_assert!(before == after || c.version() > before.map_or(0, |s| s.version));
            prop_assert!(c.candidates.len() <= super::MAX_CANDIDATES);
        }
    }
    // Guards against a panic on a head that is not JSON, not a head or has wrong digests.
    #[test]
    fn any_bytes_are_read_as_a_head_without_panic(
        bytes in any::<Vec<u8>>(), version: u64, parts: Vec<String>,
    ) {
        prop_assert!(Head::read(&bytes).is_err());
        let parts = parts.into_iter().map(ArcStr::from).collect();
        let head = Head { version, digest: "0".into(), parts };
        prop_assert!(Head::read(&serde_json::to_vec(&head).unwrap()).is_err());
        let mut out = Vec::new();
        let mut c = Config::new(Ordinal(0), false);
        c.handle(Tick(0), Event::HeadReceived { from: Source::Service, head }, &mut out);
        prop_assert!(matches!(out[..], [Effect::Rejected(_)]));
    }
}

/// Hosts that exchange announcements and fetches, and the configuration service.
struct Group {
    hosts: Vec<Config>,
    service: Option<Rendered>,
    now: Tick,
}

impl Group {
    /// Delivers an event and all messages that follow; `lost` decides which of them are lost.
    fn send(&mut self, to: usize, event: Event, lost: &mut impl FnMut() -> bool) {
        let mut queue = vec![(to, event)];
        while let Some((at, event)) = queue.pop() {
            let mut out = Vec::new();
            self.hosts[at].handle(self.now, event, &mut out);
            for e in out {
                match e {
                    Effect::Fetch { from, target } => {
                        let event = if lost() { None } else { self.fetch(&from, &target) };
                        queue.push((at, event.unwrap_or(Event::FetchFailed { from, target })));
                    }
                    Effect::Announce(s) => {
                        for peer in (0..self.hosts.len()).filter(|p| *p != at && !lost()) {
                            queue.push((peer, announce(at, &s)));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn fetch(&self, from: &Source, target: &FetchTarget) -> Option<Event> {
        let host = match from {
            Source::Service => None,
            Source::Peer(name) => name[1..].parse::<usize>().ok(),
        };
        match (target, host) {
            (FetchTarget::Head, Some(i)) => {
                let head = self.hosts[i].head()?.clone();
                Some(Event::HeadReceived { from: from.clone(), head })
            }
            (FetchTarget::Head, None) => {
                let head = self.service.as_ref()?.head.clone();
                Some(Event::HeadReceived { from: from.clone(), head })
            }
            (FetchTarget::Part(d), i) => {
                let bytes = match i {
                    Some(i) => self.hosts[i].part(d)?.as_bytes().to_vec(),
                    None => self.service.as_ref()?.parts.get(d)?.clone().into_bytes(),
                };
                Some(Event::PartReceived { from: from.clone(), digest: d.clone(), bytes })
            }
        }
    }

    /// One round of probes between all hosts.
    fn probe(&mut self, lost: &mut impl FnMut() -> bool) {
        self.now = Tick(self.now.0 + 500_000);
        for i in 0..self.hosts.len() {
            self.send(i, Event::Tick, lost);
            let Some(s) = self.hosts[i].stamp() else { continue };
            for to in (0..self.hosts.len()).filter(|t| *t != i) {
                if !lost() {
                    self.send(to, announce(i, &s), lost);
                }
            }
        }
    }
}

fn announce(from: usize, s: &Stamp) -> Event {
    let (version, digest) = (s.version, Some(s.digest.clone()));
    Event::VersionAnnounced { from: peer(&format!("h{from}")), version, digest }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    // Guards against hosts that stay on different versions after lost messages. Once messages
    // arrive again, all hosts must reach the newest version that any host has seen.
    #[test]
    fn all_hosts_reach_the_newest_version(
        steps in prop::collection::vec((0..4usize, any::<bool>()), 1..12),
        losses in prop::collection::vec(0..4u8, 1..64),
    ) {
        let mut g = Group {
            hosts: (0..4).map(|i| Config::new(Ordinal(i), false)).collect(),
            service: None,
            now: Tick(0),
        };
        let mut n = 0;
        let mut lost = move || {
            n += 1;
            losses[n % losses.len()] == 0
        };
        for (i, (reader, publish)) in steps.iter().enumerate() {
            if *publish || i == 0 {
                g.service = Some(rendered(i as u64 + 1, i as u32));
            }
            let head = g.service.as_ref().unwrap().head.clone();
            g.send(*reader, Event::HeadReceived { from: Source::Service, head }, &mut lost);
            g.probe(&mut lost);
        }
        // One read without losses, then probes for the longest retry delay.
        let head = g.service.as_ref().unwrap().head.clone();
        g.send(0, Event::HeadReceived { from: Source::Service, head }, &mut || false);
        for _ in 0..12 {
            g.probe(&mut || false);
        }
        let newest = g.service.as_ref().map(|r| Stamp::from(&r.head));
        for h in &g.hosts {
            prop_assert_eq!(h.stamp(), newest.clone());
        }
    }
}
