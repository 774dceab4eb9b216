//! Listing of the declared versions of adapters, apart from the configuration: it may take long or fail,
//! which must not hold up the configuration and the keys.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use slog::kv;
use yuccawing_core::{
    fleet::{
        config::NewestVersion, digest::Message as PeerMessage, freshness::Freshness,
        versions::VersionReport,
    },
    time::Tick,
};
use yuccawing_platform::store as wire;

use super::Control;
use crate::{
    events::{Event, emit},
    front::{
        clock,
        store::{self, Listing, OutageLog},
    },
};

/// Interval at which the versions of adapters are listed if the operators' items fill more than one
/// page. A listing at the design size takes about a third of a second, and a change is to
/// be known within 5 s.
const VERSIONS_POLL: Duration = Duration::from_millis(1500);

/// Shortest time between two reports of the versions.
const VERSION_REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// State of the listing.
pub(super) struct VersionListing {
    copy: Freshness,
    outage: OutageLog,
    // Whether the operators' items fill more than one page, so that the configuration is read by itself.
    pub(super) apart: bool,
    // Key after which the next listing goes on after a failed one.
    after: Option<String>,
    // When the peers were last told.
    reported: Option<Tick>,
}

impl Default for VersionListing {
    fn default() -> Self {
        Self {
            copy: Freshness::default(),
            outage: OutageLog::new("versions"),
            apart: false,
            after: None,
            reported: None,
        }
    }
}

impl Control {
    /// Lists the versions of adapters if the page with the configuration does not show them all.
    pub(super) fn read_versions(&mut self, now: Tick, rank: usize, ctx: &mut Context<Self>) {
        if self.store.operator.read_at().is_none()
            || !self.store.versions.copy.read_due(now, rank, VERSIONS_POLL)
        {
            return;
        }
        self.store.versions.copy.start_read(now);
        let after = self.store.versions.after.take();
        let whole = after.is_none();
        let (client, address) = (self.client.clone(), self.settings.store);
        let read = store::read_from(client, address, wire::VERSION_PREFIX, after);
        ctx.spawn(read.into_actor(self).map(move |(listing, error), act, _| {
            act.finish_versions(now, listing, error, whole);
        }));
    }

    // Applies a listing of the versions, also one that has failed halfway: versions only rise. The next
    // one then goes on where it ended, and only after that all are listed anew.
    fn finish_versions(
        &mut self,
        sent_at: Tick,
        listing: Listing,
        error: Option<store::Error>,
        whole: bool,
    ) {
        let now = clock::now();
        let last = listing.items.last().map(|i| i.key.clone());
        let position = listing.position;
        let read = error.map_or(Ok(position), Err);
        self.store.versions.outage.record(&self.log, sent_at, read.as_ref().copied());
        let current = listing.items.is_empty() || self.observe_era(now, sent_at, position);
        if current {
            self.apply_operator(now, sent_at, listing.items, position);
        }
        match read {
            Ok(_) if current && whole => self.note_versions_read(now, sent_at),
            Ok(_) => self.store.versions.copy.fail_read(),
            Err(_) => {
                self.store.versions.after = last.filter(|_| current);
                self.store.versions.copy.fail_read();
            }
        }
    }

    /// Records that all versions were listed, and tells the peers.
    pub(super) fn note_versions_read(&mut self, now: Tick, sent_at: Tick) {
        self.store.versions.copy.finish_read(sent_at, self.dispatcher.versions.hash());
        let reported = self.store.versions.reported;
        if reported.is_none_or(|t| now.since(t) >= VERSION_REPORT_INTERVAL) {
            self.store.versions.reported = Some(now);
            let report = self.dispatcher.versions.report(now, now.since(sent_at));
            self.broadcast(now, &PeerMessage::Versions(report));
        }
    }

    /// Applies the versions that a peer has listed and stamped after `stamped_after`.
    pub(super) fn handle_versions(
        &mut self,
        now: Tick,
        r: VersionReport,
        stamped_after: Option<Tick>,
    ) {
        self.raise_versions(now, r.changes);
        self.store.versions.copy.set_copy(self.dispatcher.versions.hash());
        self.store.versions.copy.observe(now, r.mark, stamped_after);
    }

    /// Raises the known versions of adapters.
    pub(super) fn raise_versions(&mut self, now: Tick, versions: Vec<NewestVersion>) {
        for v in self.dispatcher.versions.raise(now, versions) {
            let fields = kv!("adapter" => v.artifact.as_str(), "version" => v.version);
            emit(&self.log, Event::VersionRaised, &fields);
        }
    }
}
