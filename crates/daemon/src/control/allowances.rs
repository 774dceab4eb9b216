//! Rate limits of the client accounts: applies their configuration and borrows unused tokens from
//! peers.

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use yuccawing_core::{
    allowance::{BORROW_TIMEOUT, STORE_ACCOUNT},
    bucket::Limits,
    ids::Ordinal,
    rules::Rules,
    time::Tick,
};

use super::Control;

impl Control {
    /// Sets the limits of all accounts and of the weight store.
    pub(super) fn configure_allowances(&mut self, now: Tick, rules: &Rules) {
        let accounts = rules
            .accounts
            .iter()
            .map(|(n, a)| (n.clone(), Limits { rate: a.rate, burst: a.burst }));
        // The store's burst is one second of its rate.
        let store = Limits { rate: rules.store.rate, burst: rules.store.rate.max(1) };
        self.allowance.configure(now, accounts.chain([(STORE_ACCOUNT, store)]));
    }

    /// Sends the due requests to borrow tokens.
    pub(super) fn poll_loans(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let authority = self.authority(now);
        let live: Vec<Ordinal> = self.membership.alive_ordinals(now).into_iter().collect();
        let mut out = Vec::new();
        self.allowance.poll(now, authority, &live, &mut out);
        for b in out {
            let Some(link) = self.ordinal_link(now, b.to) else { continue };
            let (own, to) = (self.ordinal(), b.to);
            let call = async move {
                link.call(BORROW_TIMEOUT, |c, x| async move { c.borrow(x, own, b.request).await })
                    .await
            };
            ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
                if let Ok(Some(answer)) = answer {
                    let now = act.clock.now();
                    act.allowance.handle_answer(now, to, answer);
                    act.retry_pending(now, ctx);
                }
            }));
        }
    }
}
