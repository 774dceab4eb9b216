//! Relays a stream of events, and continues it at another replica when the first one stops sending.

use std::{
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use slog::kv;
use tokio::time::timeout;
use yuccawing_core::{
    fleet::{config::RouteKind, health::Outcome},
    retry::Cause,
    time::Tick,
};

use super::{Failure, Received, admit, exchange, log_end, next_event, report_ended};
use crate::{
    events::{Event, emit},
    front::{
        client::Reply,
        clock,
        control::{Admission, PlacedRequest},
        edge::{CallerRequest, Worker},
        sse::{Event as SseEvent, Splitter},
    },
};

/// Time without an event after which a resumable stream moves to another replica.
const MAX_EVENT_GAP: Duration = Duration::from_millis(2000);

/// Stream from the replica that serves it now.
pub(super) struct ReplicaStream {
    pub(super) reply: Option<Box<Reply>>,
    pub(super) placed: Option<PlacedRequest>,
    pub(super) splitter: Splitter,
    // First event, which is read before the response to the caller begins.
    pub(super) first_event: Option<SseEvent>,
    // Events that were passed on from this replica.
    pub(super) events: u64,
}

/// The response was cut off: the connection to the caller is closed before the end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the stream was cut off")]
pub struct CutOff;

/// Body of a streamed response.
pub(super) struct EventBody {
    inner: Pin<Box<dyn Stream<Item = Result<Bytes, CutOff>>>>,
}

impl EventBody {
    /// Body of the response to `r` that `upstream` has begun.
    pub(super) fn new(w: Worker, r: CallerRequest, upstream: ReplicaStream) -> Self {
        let last_id = r.last_event;
        let time_to_first = clock::now().since(r.arrived);
        let progress_at = clock::now();
        let state = StreamState { w, r, upstream, last_id, events: 0, time_to_first, progress_at };
        let state = Some(state);
        let inner = stream::unfold(state, |state| async {
            let mut s = state?;
            match s.next_bytes().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(s))),
                Ok(None) => {
                    s.end("answered");
                    None
                }
                Err(f) => {
                    s.end(&f.to_string());
                    Some((Err(CutOff), None))
                }
            }
        });
        Self { inner: inner.boxed_local() }
    }
}

impl Stream for EventBody {
    type Item = Result<Bytes, CutOff>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.inner.as_mut().poll_next(cx)
    }
}

struct StreamState {
    w: Worker,
    r: CallerRequest,
    upstream: ReplicaStream,
    // Id of the last event that was passed on.
    last_id: Option<u64>,
    events: u64,
    // Time from the arrival of the request to its first event.
    time_to_first: Duration,
    // When the last event that is not empty arrived, or another replica was last requested.
    progress_at: Tick,
}

/// Result of waiting for an event of a replica.
enum Progress {
    Event(SseEvent),
    End,
    /// There was none for too long; another replica takes over.
    Stalled(PlacedRequest),
}

impl From<Option<SseEvent>> for Progress {
    fn from(event: Option<SseEvent>) -> Self {
        event.map_or(Self::End, Self::Event)
    }
}

impl StreamState {
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let event = match self.read_event().await {
                Ok(Progress::Event(e)) => e,
                Ok(Progress::End) => {
                    self.finish(Outcome::Success);
                    return Ok(None);
                }
                Ok(Progress::Stalled(next)) => {
                    let f = Failure::AttemptTimeout(MAX_EVENT_GAP);
                    self.finish(f.outcome());
                    self.resume(f, Some(next)).await?;
                    continue;
                }
                Err(f) => {
                    if let Some(placed) = self.upstream.placed.as_ref().filter(|_| self.at_start())
                    {
                        report_ended(&self.w, &self.r, &placed.assignment, &f).await;
                    }
                    self.finish(f.outcome());
                    self.resume(f, None).await?;
                    continue;
                }
            };
            if !event.empty {
                self.progress_at = clock::now();
            }
            // A replica that resumes a stream may repeat events.
            if event.id.is_some() && event.id <= self.last_id {
                continue;
            }
            self.last_id = event.id.or(self.last_id);
            self.events += 1;
            self.upstream.events += 1;
            if let (2, Some(placed)) = (self.upstream.events, &self.upstream.placed) {
                placed.guard.served();
            }
            return Ok(Some(event.bytes));
        }
    }

    // Waits for an event. After a long gap another replica is requested for a resumable stream;
    // until one is assigned, the stream goes on where it is, since it may only be slow.
    async fn read_event(&mut self) -> Result<Progress, Failure> {
        if let Some(first) = self.upstream.first_event.take() {
            return Ok(Progress::Event(first));
        }
        let may_resume = self.may_resume();
        let reply = self.upstream.reply.as_mut().ok_or(Failure::Deadline)?;
        let mut next = pin!(next_event(reply, &mut self.upstream.splitter));
        loop {
            let now = clock::now();
            let left = self.r.request.remaining(now);
            let gap = MAX_EVENT_GAP.saturating_sub(now.since(self.progress_at));
            let limit = if may_resume { gap.min(left) } else { left };
            match timeout(limit, &mut next).await {
                Ok(out) => return out.map(Progress::from),
                Err(_) if limit >= left => return Err(Failure::Deadline),
                Err(_) => {}
            }
            tokio::select! {
                out = &mut next => return out.map(Progress::from),
                admission = admit(&self.w, &self.r, Some(Cause::Unknown)) => {
                    if let Admission::Placed(placed) = admission {
                        return Ok(Progress::Stalled(placed));
                    }
                }
            }
            self.progress_at = clock::now();
        }
    }

    // Whether the replica has sent no more than one event.
    fn at_start(&self) -> bool {
        self.upstream.events <= 1
    }

    fn may_resume(&self) -> bool {
        self.r.request.kind == RouteKind::Stream { resumable: true }
            && self.r.request.attempts < self.r.route.max_attempts
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(mut placed) = self.upstream.placed.take() {
            if outcome == Outcome::Success {
                placed.guard.served();
            }
            placed.guard.outcome = outcome;
        }
        match self.upstream.reply.take() {
            Some(reply) if outcome == Outcome::Success => self.w.client.release(*reply),
            // Dropping the reply closes the connection, which ends the request at the replica.
            _ => {}
        }
    }

    // Continues the stream at another replica, at `successor` if it is assigned already, after the
    // last event that was passed on.
    async fn resume(
        &mut self,
        mut f: Failure,
        mut successor: Option<PlacedRequest>,
    ) -> Result<(), Failure> {
        while self.may_resume() && clock::now() < self.r.request.deadline {
            let admission = match successor.take() {
                Some(placed) => Admission::Placed(placed),
                None => admit(&self.w, &self.r, Some(f.cause())).await,
            };
            let Admission::Placed(mut placed) = admission else { return Err(f) };
            self.r.request.attempts += 1;
            self.r.request.excluded.push(placed.assignment.replica);
            self.r.last_event = self.last_id;
            let fields = kv!(
                "id" => self.r.id.as_str(), "failure" => f.to_string(), "events" => self.events,
                "replica" => placed.assignment.id.as_str(), "last" => self.last_id,
            );
            emit(&self.w.shared.log, Event::StreamResumed, &fields);
            match exchange(&self.w, &self.r, &placed).await {
                Ok(Received::Stream(reply, splitter, first)) => {
                    placed.guard.first_event();
                    self.upstream = ReplicaStream {
                        reply: Some(reply),
                        placed: Some(placed),
                        splitter,
                        first_event: Some(first),
                        events: 0,
                    };
                    self.progress_at = clock::now();
                    return Ok(());
                }
                Ok(Received::Full(status, ..)) => f = Failure::Status(status.as_u16()),
                Err(e) => {
                    report_ended(&self.w, &self.r, &placed.assignment, &e.failure).await;
                    placed.guard.outcome = e.failure.outcome();
                    (f, successor) = (e.failure, e.successor);
                }
            }
        }
        Err(f)
    }

    fn end(&mut self, outcome: &str) {
        log_end(&self.w, &self.r, 200, outcome, Some(self.time_to_first));
    }
}

impl Drop for StreamState {
    fn drop(&mut self) {
        if self.upstream.placed.is_some() {
            log_end(&self.w, &self.r, 200, "caller_left", Some(self.time_to_first));
        }
    }
}
