//! Reads the limit that a response names.

use slog::kv;
use yuccawing_core::time::Tick;
use yuccawing_platform::headers::{self, LimitHeader};

use super::{LimitSeen, PlacedRequest, Reply, Worker};
use crate::events::{Event, emit};

/// Tells the control actor about the limit that a response names, and about its end if the replica
/// had a limit when it was chosen. An unusable value changes nothing.
pub(super) fn report_limit(w: &Worker, placed: &PlacedRequest, reply: &Reply, sent_at: Tick) {
    let values = reply.response.headers().get_all(headers::REPLICA_LIMIT);
    let named = match headers::parse_limit(values.iter().map(|v| v.as_bytes())) {
        LimitHeader::Rate(rate) => Some(rate),
        LimitHeader::Absent if placed.assignment.limited => None,
        LimitHeader::Absent => return,
        LimitHeader::Invalid => {
            let fields = kv!("replica" => placed.assignment.id.as_str());
            emit(&w.shared.log, Event::LimitInvalid, &fields);
            return;
        }
    };
    let replica = placed.assignment.replica;
    w.shared.control.do_send(LimitSeen { replica, sent_at, named });
}
