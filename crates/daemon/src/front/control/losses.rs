//! Replicas that ended while they ran requests.

use actix::{Handler, Message};
use arcstr::ArcStr;
use slog::kv;
use yuccawing_core::fleet::replicas::ReplicaKey;

use super::Control;
use crate::events::{Event, emit};

/// Reports that a replica ended while it ran a request that had not got more than one event.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReplicaEnded {
    /// Id of the caller's attempt.
    pub id: ArcStr,
    /// The replica.
    pub replica: ReplicaKey,
    /// Whether the response had begun.
    pub begun: bool,
    /// Prompt blocks of the request that others may share.
    pub blocks: Vec<u64>,
}

impl Handler<ReplicaEnded> for Control {
    type Result = ();

    fn handle(&mut self, msg: ReplicaEnded, _: &mut Self::Context) {
        let Some(r) = self.dispatcher.replicas.get(msg.replica) else { return };
        let fields = kv!(
            "id" => msg.id.as_str(), "replica" => r.id.as_str(), "begun" => msg.begun,
            "blocks" => hex(&msg.blocks),
        );
        emit(&self.log, Event::ReplicaEnded, &fields);
    }
}

// Block ids as callers write them, separated by commas.
fn hex(blocks: &[u64]) -> String {
    blocks.iter().map(|b| format!("{b:x}")).collect::<Vec<_>>().join(",")
}
