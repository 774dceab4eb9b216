//! Calls to plain services: admission, tickets and the choice of an upstream.

use std::time::Duration;

use actix::Context;
use arcstr::ArcStr;
use yuccawing_core::{
    rules::Upstream,
    ticket::{SpendError, Ticket, TicketOutcome},
    time::Tick,
};

use super::RequestKind;
use crate::control::{
    Control,
    history::Location,
    messages::{AdmitPlain, AnswerSender, Dispatch, ErrorCode, Executed, Refusal, RequestKey},
};

impl Control {
    /// Admits a call to a plain service, and uses up its ticket if the route is not idempotent.
    pub(super) fn admit_plain(
        &mut self,
        now: Tick,
        a: AdmitPlain,
        reply: AnswerSender<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        // A call without an account needs no rate limit, so it works without the lease too.
        let rules = match (&a.account, self.config.rules()) {
            (None, Some(r)) => Ok(r.clone()),
            _ => self.usable_rules(now),
        };
        let rules = match rules {
            Ok(r) => r,
            Err(r) => return self.refuse(a.id, reply, r),
        };
        let Some(route) = rules.routes.get(&a.route) else {
            let r = Refusal::not_run(ErrorCode::NotFound, "no such route");
            return self.refuse(a.id, reply, r);
        };
        if !route.idempotent
            && let Err(r) = self.spend_ticket(now, &a)
        {
            return self.refuse(a.id, reply, r);
        }
        let kind = RequestKind::Plain { upstreams: route.upstreams.clone() };
        self.open_request(now, a.id, a.account, a.cost, a.deadline, kind, reply, ctx);
    }

    fn spend_ticket(&mut self, now: Tick, a: &AdmitPlain) -> Result<(), Refusal> {
        let needed = || Refusal::not_run(ErrorCode::TicketNeeded, "this route needs a ticket");
        let ticket = a.ticket.as_ref().ok_or_else(needed)?;
        let ticket: Ticket = ticket
            .parse()
            .map_err(|e| Refusal::not_run(ErrorCode::BadRequest, format!("ticket: {e}")))?;
        match self.tickets.spend(now, a.account.as_ref(), ticket) {
            Ok(()) => {
                self.requests.spent_tickets.insert(a.id, ticket);
                Ok(())
            }
            Err(d) => Err(ticket_refusal(d)),
        }
    }

    /// Dispatches a call to the upstream of its route with the fewest calls in progress.
    pub(super) fn dispatch_plain(&mut self, now: Tick, key: RequestKey, upstreams: &[ArcStr]) {
        let rules = self.config.rules().cloned();
        self.requests.round_robin = self.requests.round_robin.wrapping_add(1);
        let turn = self.requests.round_robin;
        let Some(o) = self.requests.open.get_mut(key) else { return };
        let plain = &mut self.requests.plain_calls;
        let free = |u: &&ArcStr| {
            let limit = match rules.as_ref().and_then(|r| r.upstreams.get(*u)) {
                Some(Upstream::Plain { limit, .. }) => *limit,
                _ => 0,
            };
            plain.get(*u).copied().unwrap_or(0) < limit
        };
        let known: Vec<_> = upstreams
            .iter()
            .filter(|u| !o.avoid.contains(u) && !self.membership.is_upstream_leaving(u))
            .collect();
        let open: Vec<_> = known.iter().copied().filter(free).collect();
        // Equally busy upstreams are chosen in rotation.
        let least = (0..open.len())
            .map(|i| open[(i + turn) % open.len()])
            .min_by_key(|u| plain.get(*u).copied().unwrap_or(0));
        let addr = |u: &ArcStr| rules.as_ref()?.upstreams.get(u)?.addr().parse().ok();
        let Some((upstream, addr)) = least.and_then(|u| Some((u.clone(), addr(u)?))) else {
            let r = if known.is_empty() {
                Refusal::not_run(ErrorCode::NoUpstream, "no upstream can take the call")
            } else {
                Refusal::not_run(ErrorCode::Overloaded, "all upstreams of the route are busy")
            };
            return self.close(now, key, r.with_retry_after(Duration::from_secs(1)));
        };
        *plain.entry(upstream.clone()).or_default() += 1;
        o.tries += 1;
        let instance = ArcStr::new();
        o.location = Some(Location { upstream: upstream.clone(), instance: instance.clone() });
        let d = Dispatch { upstream, addr, instance, priority: 0, key };
        if let Some(r) = o.reply.take() {
            let _ = r.send(Ok(d));
        }
    }
}

fn ticket_refusal(d: SpendError) -> Refusal {
    let (code, executed) = match d {
        // The process that issued it may have run the call.
        SpendError::OtherProcess => (ErrorCode::TicketUnknown, Executed::Unknown),
        SpendError::Unknown => (ErrorCode::TicketUnknown, Executed::Unknown),
        SpendError::Spent(TicketOutcome::Ran) => (ErrorCode::TicketSpent, Executed::Yes),
        SpendError::Spent(TicketOutcome::Unknown) => (ErrorCode::TicketSpent, Executed::Unknown),
    };
    Refusal { code, message: d.to_string(), executed, retry_after: None }
}
