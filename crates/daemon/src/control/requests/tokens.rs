//! Reserves tokens of the account's rate limit for requests, and retries those that have to wait.

use std::time::Duration;

use actix::Context;
use arcstr::ArcStr;
use yuccawing_core::{allowance::ReserveOutcome, time::Tick};

use crate::control::{
    Control,
    messages::{ErrorCode, Refusal, RequestKey},
};

/// How long a request may wait for tokens, which are borrowed from peers or refilled over time.
pub(super) const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the requests of one account that wait for tokens. It keeps an account far above its
/// rate from filling the host with waiting requests.
const MAX_TOKEN_WAITERS: usize = 32;

/// Result of a reservation of tokens.
pub(super) enum Reservation {
    Granted,
    /// The request has to wait for tokens.
    Wait,
    /// The request has been refused and removed.
    Refused,
}

impl Control {
    /// Appends a request to those of its account that wait for tokens, or refuses it if there are
    /// too many.
    pub(super) fn wait_for_tokens(
        &mut self,
        now: Tick,
        key: RequestKey,
        account: ArcStr,
        ctx: &mut Context<Self>,
    ) {
        let Some(id) = self.requests.open.get(key).map(|o| o.id) else { return };
        let waiting = self.requests.pending.entry(account).or_default();
        if waiting.len() >= MAX_TOKEN_WAITERS {
            return self.close(now, key, rate_limited(TOKEN_TIMEOUT));
        }
        waiting.push_back(id);
        self.poll_loans(now, ctx);
    }

    /// Reserves the tokens of a request, or refuses it if waiting would not help.
    pub(super) fn reserve(&mut self, now: Tick, key: RequestKey) -> Reservation {
        let authority = self.authority(now);
        let Some(o) = self.requests.open.get_mut(key) else { return Reservation::Refused };
        let Some(account) = o.account.as_ref().filter(|_| o.cost > 0) else {
            return Reservation::Granted;
        };
        let may_wait = now < o.token_deadline;
        let refusal = match self.allowance.reserve(now, authority, account, o.cost) {
            ReserveOutcome::Granted(g) => {
                o.grant = Some(g);
                o.waits.end_token_wait(now);
                return Reservation::Granted;
            }
            ReserveOutcome::Pending if may_wait => return Reservation::Wait,
            ReserveOutcome::Refused { retry: Some(t) } if may_wait && t <= TOKEN_TIMEOUT => {
                return Reservation::Wait;
            }
            ReserveOutcome::Pending => rate_limited(TOKEN_TIMEOUT),
            ReserveOutcome::Refused { retry: Some(t) } => rate_limited(t),
            ReserveOutcome::Refused { retry: None } => Refusal::not_run(
                ErrorCode::OverBurst,
                "the request can cost more tokens than the account's burst",
            ),
            ReserveOutcome::NoAuthority => {
                Refusal::not_run(ErrorCode::NoLease, "this host does not hold its lease")
            }
        };
        self.close(now, key, refusal);
        Reservation::Refused
    }

    /// Retries the reservations of requests that wait for tokens, and a pending load permit.
    pub(in crate::control) fn retry_pending(&mut self, now: Tick, ctx: &mut Context<Self>) {
        if self.commands.permit_pending {
            self.take_permit(now, ctx);
        }
        for account in self.requests.pending.keys().cloned().collect::<Vec<_>>() {
            self.retry_account(now, &account, ctx);
        }
        self.requests.pending.retain(|_, ids| !ids.is_empty());
    }

    /// Borrows tokens and retries while requests or a load permit wait for them.
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
            // The request is gone if its caller has disconnected.
            let reserved = known.map_or(Reservation::Refused, |f| self.reserve(now, f));
            if matches!(reserved, Reservation::Wait) {
                return;
            }
            if let Some(ids) = self.requests.pending.get_mut(account) {
                ids.pop_front();
            }
            if let (Reservation::Granted, Some(f)) = (reserved, known) {
                self.enqueue(now, f, ctx);
            }
        }
    }
}

fn rate_limited(retry: Duration) -> Refusal {
    Refusal::not_run(ErrorCode::RateLimited, "the account's allowance is used up")
        .with_retry_after(retry)
}
