//! Reservation of tokens, and requests that wait for them.

use std::time::Duration;

use actix::Context;
use arcstr::ArcStr;
use yuccawing_core::{allowance::ReserveOutcome, time::Tick};

use crate::control::{
    Control,
    messages::{Code, Flight, Refusal},
};

/// How long a request waits for tokens before it is refused: for loans, and for the refill of an
/// allowance that is used up for a moment.
pub(super) const TOKEN_WAIT: Duration = Duration::from_secs(1);
/// Requests of one account that wait for tokens. Beyond it they are refused at once, so that an
/// account far above its rate does not fill the host.
const TOKEN_QUEUE: usize = 32;

/// What became of a reservation of tokens.
pub(super) enum Reserved {
    /// The tokens are reserved.
    Granted,
    /// It waits for loans or for the refill.
    Wait,
    /// The request has been refused.
    Refused,
}

impl Control {
    /// Puts a request behind the others of its account that wait, or refuses it.
    pub(super) fn wait_for_tokens(
        &mut self,
        now: Tick,
        flight: Flight,
        account: ArcStr,
        ctx: &mut Context<Self>,
    ) {
        let Some(id) = self.requests.open.get(flight).map(|o| o.id) else { return };
        let waiting = self.requests.pending.entry(account).or_default();
        if waiting.len() >= TOKEN_QUEUE {
            return self.close(now, flight, used_up(TOKEN_WAIT));
        }
        waiting.push_back(id);
        self.poll_loans(now, ctx);
    }

    /// Reserves the tokens of a request.
    pub(super) fn reserve(&mut self, now: Tick, flight: Flight) -> Reserved {
        let authority = self.authority(now);
        let Some(o) = self.requests.open.get_mut(flight) else { return Reserved::Refused };
        let Some(account) = o.account.as_ref().filter(|_| o.cost > 0) else {
            return Reserved::Granted;
        };
        let may_wait = now < o.token_limit;
        let refusal = match self.allowance.reserve(now, authority, account, o.cost) {
            ReserveOutcome::Granted(g) => {
                o.grant = Some(g);
                o.waits.granted(now);
                return Reserved::Granted;
            }
            ReserveOutcome::Pending if may_wait => return Reserved::Wait,
            ReserveOutcome::Refused { retry: Some(t) } if may_wait && t <= TOKEN_WAIT => {
                return Reserved::Wait;
            }
            ReserveOutcome::Pending => used_up(TOKEN_WAIT),
            ReserveOutcome::Refused { retry: Some(t) } => used_up(t),
            ReserveOutcome::Refused { retry: None } => Refusal::not_run(
                Code::OverBurst,
                "the request can cost more tokens than the account's burst",
            ),
            ReserveOutcome::NoAuthority => {
                Refusal::not_run(Code::NoLease, "this host does not hold its lease")
            }
        };
        self.close(now, flight, refusal);
        Reserved::Refused
    }

    /// Tries again for the requests that wait for tokens, and for a load permit.
    pub(in crate::control) fn retry_pending(&mut self, now: Tick, ctx: &mut Context<Self>) {
        if self.commands.permit_pending {
            self.take_permit(now, ctx);
        }
        for account in self.requests.pending.keys().cloned().collect::<Vec<_>>() {
            self.retry_account(now, &account, ctx);
        }
        self.requests.pending.retain(|_, ids| !ids.is_empty());
    }

    /// Drives loans while requests wait for tokens.
    pub(in crate::control) fn wake_pending(&mut self, ctx: &mut Context<Self>) {
        if self.requests.pending.is_empty() && !self.commands.permit_pending {
            return;
        }
        let now = self.clock.now();
        self.poll_loans(now, ctx);
        self.retry_pending(now, ctx);
    }

    fn retry_account(&mut self, now: Tick, account: &ArcStr, ctx: &mut Context<Self>) {
        let waiting = |s: &Self| s.requests.pending.get(account)?.front().copied();
        while let Some(id) = waiting(self) {
            let known = self.requests.ids.get(&id).copied();
            // A request whose caller has gone is unknown.
            let reserved = known.map_or(Reserved::Refused, |f| self.reserve(now, f));
            if matches!(reserved, Reserved::Wait) {
                return;
            }
            if let Some(ids) = self.requests.pending.get_mut(account) {
                ids.pop_front();
            }
            if let (Reserved::Granted, Some(f)) = (reserved, known) {
                self.enqueue(now, f, ctx);
            }
        }
    }
}

fn used_up(retry: Duration) -> Refusal {
    Refusal::not_run(Code::RateLimited, "the account's allowance is used up").retry(retry)
}
