//! Calls to plain services.

use std::time::Duration;

use actix::Context;
use arcstr::ArcStr;
use yuccawing_core::{
    rules::Upstream,
    ticket::{SpendError, Ticket, TicketOutcome},
    time::Tick,
};

use super::Work;
use crate::control::{
    Control,
    history::Place,
    messages::{AdmitPlain, Code, Dispatch, Flight, Refusal, Reply, Run},
};

impl Control {
    /// Admits a call to a plain service; spends its ticket if the call must not be repeated.
    pub(super) fn admit_plain(
        &mut self,
        now: Tick,
        a: AdmitPlain,
        reply: Reply<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        // An open route needs no allowance, so it works without a lease as well.
        let rules = match (&a.account, self.config.rules()) {
            (None, Some(r)) => Ok(r.clone()),
            _ => self.usable_rules(now),
        };
        let rules = match rules {
            Ok(r) => r,
            Err(r) => return self.refuse(a.id, reply, r),
        };
        let Some(route) = rules.routes.get(&a.route) else {
            let r = Refusal::not_run(Code::NotFound, "no such route");
            return self.refuse(a.id, reply, r);
        };
        if !route.idempotent
            && let Err(r) = self.spend(now, &a)
        {
            return self.refuse(a.id, reply, r);
        }
        let work = Work::Plain { upstreams: route.upstreams.clone() };
        self.open(now, a.id, a.account, a.cost, a.deadline, work, reply, ctx);
    }

    fn spend(&mut self, now: Tick, a: &AdmitPlain) -> Result<(), Refusal> {
        let needed = || Refusal::not_run(Code::TicketNeeded, "this route needs a ticket");
        let ticket = a.ticket.as_ref().ok_or_else(needed)?;
        let ticket: Ticket = ticket
            .parse()
            .map_err(|e| Refusal::not_run(Code::BadRequest, format!("ticket: {e}")))?;
        match self.tickets.spend(now, a.account.as_ref(), ticket) {
            Ok(()) => {
                self.requests.spent.insert(a.id, ticket);
                Ok(())
            }
            Err(d) => Err(denied(d)),
        }
    }

    /// Sends a call to the least busy upstream of its route.
    pub(super) fn dispatch_plain(&mut self, now: Tick, flight: Flight, upstreams: &[ArcStr]) {
        let rules = self.config.rules().cloned();
        self.requests.turn = self.requests.turn.wrapping_add(1);
        let turn = self.requests.turn;
        let Some(o) = self.requests.open.get_mut(flight) else { return };
        let plain = &mut self.requests.plain;
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
        // The least busy one, and by turns among equals.
        let least = (0..open.len())
            .map(|i| open[(i + turn) % open.len()])
            .min_by_key(|u| plain.get(*u).copied().unwrap_or(0));
        let addr = |u: &ArcStr| rules.as_ref()?.upstreams.get(u)?.addr().parse().ok();
        let Some((upstream, addr)) = least.and_then(|u| Some((u.clone(), addr(u)?))) else {
            let r = if known.is_empty() {
                Refusal::not_run(Code::NoUpstream, "no upstream can take the call")
            } else {
                Refusal::not_run(Code::Overloaded, "all upstreams of the route are busy")
            };
            return self.close(now, flight, r.retry(Duration::from_secs(1)));
        };
        *plain.entry(upstream.clone()).or_default() += 1;
        o.tries += 1;
        let instance = ArcStr::new();
        o.at = Some(Place { upstream: upstream.clone(), instance: instance.clone() });
        let d = Dispatch { upstream, addr, instance, priority: 0, flight };
        if let Some(r) = o.reply.take() {
            let _ = r.send(Ok(d));
        }
    }
}

fn denied(d: SpendError) -> Refusal {
    let (code, run) = match d {
        // The process that issued it may have run the request.
        SpendError::OtherProcess => (Code::TicketUnknown, Run::Unknown),
        SpendError::Unknown => (Code::TicketUnknown, Run::Unknown),
        SpendError::Spent(TicketOutcome::Ran) => (Code::TicketSpent, Run::Yes),
        SpendError::Spent(TicketOutcome::Unknown) => (Code::TicketSpent, Run::Unknown),
    };
    Refusal { code, message: d.to_string(), run, retry_after: None }
}
