//! What replicas say about themselves in their responses: that they leave, or that they want a pause.

use std::time::Duration;

use actix::{Handler, Message};
use slog::kv;
use yuccawing_core::{
    fleet::{digest::Message as PeerMessage, replicas::ReplicaKey},
    time::Tick,
};
use yuccawing_platform::headers::{self, PauseHeader, ReplicaSignals};

use super::Control;
use crate::{
    events::{Event, emit},
    front::clock,
};

/// Interval at which unreadable values of one host are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reads what a response of a replica says about the replica.
pub fn read<T>(response: &hyper::Response<T>) -> ReplicaSignals {
    let head = response.headers();
    headers::replica_signals(response.status().as_u16(), |name| {
        head.get_all(name).iter().map(|v| v.as_bytes())
    })
}

/// Reports what a response of a replica says about the replica.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SignalsSeen {
    /// The replica.
    pub replica: ReplicaKey,
    /// What it says.
    pub signals: ReplicaSignals,
}

impl Handler<SignalsSeen> for Control {
    type Result = ();

    fn handle(&mut self, msg: SignalsSeen, _: &mut Self::Context) {
        self.note_signals(clock::now(), msg.replica, msg.signals);
    }
}

impl Control {
    /// Applies what a replica says about itself.
    pub(super) fn note_signals(&mut self, now: Tick, k: ReplicaKey, signals: ReplicaSignals) {
        if signals.leaving
            && self.note_leaving(k, "response")
            && let Some(r) = self.dispatcher.replicas.get(k)
        {
            self.broadcast(now, &PeerMessage::Leaving(r.id_hash));
        }
        let Some(r) = self.dispatcher.replicas.get_mut(k) else { return };
        match signals.pause {
            PauseHeader::Absent => {}
            PauseHeader::Time(time) => {
                if let Some(left) = r.limit.pause(now, time) {
                    let fields = kv!(
                        "replica" => r.id.as_str(), "pause_ms" => left.as_millis() as u64,
                        "asked_ms" => u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
                    );
                    emit(&self.log, Event::PauseAsked, &fields);
                }
            }
            PauseHeader::Invalid => {
                if self.signal_logged.is_none_or(|t| now.since(t) >= LOG_INTERVAL) {
                    self.signal_logged = Some(now);
                    emit(&self.log, Event::PauseInvalid, &kv!("replica" => r.id.as_str()));
                }
            }
        }
    }

    /// Applies a peer's message that a replica leaves.
    pub(super) fn handle_leaving(&mut self, replica: u32) {
        if let Some(k) = self.dispatcher.replicas.find_hash(replica) {
            self.note_leaving(k, "peer");
        }
    }

    fn note_leaving(&mut self, k: ReplicaKey, source: &str) -> bool {
        if !self.dispatcher.replicas.note_leaving(k) {
            return false;
        }
        if let Some(r) = self.dispatcher.replicas.get(k) {
            let fields = kv!(
                "replica" => r.id.as_str(), "service" => r.service.as_str(),
                "address" => r.address.to_string(), "zone" => r.zone.as_str(), "source" => source,
            );
            emit(&self.log, Event::UpstreamLeaving, &fields);
        }
        true
    }
}
