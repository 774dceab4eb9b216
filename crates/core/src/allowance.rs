//! Rate limits of client accounts (allowances), split over all hosts of a group.
//!
//! Each host holds an equal share of the rate and burst of every account in a token bucket. A host
//! that is short of tokens borrows from its peers: a loan moves tokens, and as much of the lender's
//! bucket capacity, for at most [`TOKEN_LOAN_DURATION`]. When the loan ends, the lender gets the
//! capacity back, and the borrower keeps the unspent tokens that fit into its own capacity. So the
//! buckets of all hosts stay similarly full.
//!
//! At any time the shares of all hosts sum to at most the account's limits, and so do the tokens in
//! their buckets. No account can spend more than burst + rate x window in any window.

mod search;
mod share;
#[cfg(test)]
pub(crate) mod tests;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use self::share::{LoanEnds, Share};
use crate::{
    ArcStr,
    bucket::{Limits, Reservation},
    ids::{Generation, Ordinal},
    lease::{Authority, MAX_GROUP_SIZE},
    time::{Tick, micros, minus_drift, plus_drift},
};

/// Maximum duration of a loan of tokens. They are borrowed for waiting requests, which spend them
/// within a few round trips. The lender's bucket does not refill the lent capacity, so a longer
/// loan wastes more of the rate.
pub const TOKEN_LOAN_DURATION: Duration = Duration::from_millis(100);

/// Maximum duration of a loan of capacity without tokens. It lets a bucket take the refunds of long
/// requests that together reserved more tokens than the host's own capacity; they would otherwise
/// be lost.
pub const CAPACITY_LOAN_DURATION: Duration = Duration::from_millis(500);

/// Timeout for the answer to a borrow request.
pub const BORROW_TIMEOUT: Duration = Duration::from_millis(100);

/// Internal account that limits the rate of loads from the weight store; a load costs one token.
pub const STORE_ACCOUNT: ArcStr = arcstr::literal!("$store");

/// Maximum number of accounts in one borrow request, which keeps the message below 4 KB.
pub const MAX_LOAN_ITEMS: usize = 64;

/// Shares are counted in thousandths of a token, so that small rates are not rounded to 0.
const MILLI_PER_TOKEN: u64 = 1000;

/// Request for a loan for one account; amounts are in thousandths of a token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanItem {
    /// Account name.
    pub account: ArcStr,
    /// Tokens that waiting requests lack.
    pub need: u64,
    /// `need` plus the tokens that would fill the borrower's bucket as far as the group's on
    /// average.
    pub want: u64,
    /// Tokens that the borrower has and no waiting request needs.
    pub level: u64,
    /// Capacity that the borrower lacks for refunds.
    pub room: u64,
}

/// Request to a peer for loans for several accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// Generation of the borrower's lease.
    pub generation: Generation,
    /// Request number, increasing within the generation.
    pub id: u64,
    /// Requested loans, one for each account, at most [`MAX_LOAN_ITEMS`].
    pub asks: Vec<LoanItem>,
}

/// Loan for one account; amounts are in thousandths of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Account name.
    pub account: ArcStr,
    /// Lent tokens and the capacity to hold them, for [`BorrowAnswer::lasts`].
    pub tokens: u64,
    /// Lent capacity without tokens, for [`BorrowAnswer::keeps`].
    pub room: u64,
    /// Tokens that the lender has left.
    pub left: u64,
}

/// Answer to a [`BorrowRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowAnswer {
    /// Number of the request that is answered.
    pub id: u64,
    /// Duration of the loans of tokens, in microseconds.
    pub lasts: u64,
    /// Duration of the loans of capacity, in microseconds.
    pub keeps: u64,
    /// One loan, possibly of 0 tokens, for each requested account that the lender knows.
    pub loans: Vec<Loan>,
}

/// Borrow request that the caller has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingBorrow {
    /// Receiver.
    pub to: Ordinal,
    /// Message.
    pub request: BorrowRequest,
}

/// Tokens reserved for one request, to be returned to [`Allowance::settle`].
#[derive(Clone, Debug)]
pub struct Grant {
    account: ArcStr,
    tokens: u64,
    reservation: Reservation,
    epoch: u64,
}

/// Result of [`Allowance::reserve`].
#[derive(Clone, Debug)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Granted(Grant),
    /// Loans are requested from peers. Try again after an answer, at the latest after 100 ms.
    Pending,
    /// The account's limit is reached.
    Refused {
        /// Delay before a retry can succeed, `None` if the request exceeds the burst or the account
        /// is unknown.
        retry: Option<Duration>,
    },
    /// This host has no valid lease or no share yet.
    NoAuthority,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    id: u64,
    sent: Tick,
    accounts: Vec<ArcStr>,
}

/// This host's shares of the allowances of all accounts.
#[derive(Clone, Debug)]
pub struct Allowance {
    ordinal: Ordinal,
    shares: BTreeMap<ArcStr, Share>,
    limits: BTreeMap<ArcStr, Limits>,
    generation: Generation,
    // Number of hosts over which the limits are split.
    parts: u8,
    // Number of the newest bucket; a reservation is settled only in the bucket that granted it.
    epoch: u64,
    last_id: u64,
    // At most one request to each peer, which bounds the number of loans with unknown outcome.
    pending: [Option<PendingRequest>; MAX_GROUP_SIZE],
    // Newest request of each peer that was answered.
    served: [(Generation, u64); MAX_GROUP_SIZE],
    live: Vec<Ordinal>,
    lending_stopped: bool,
    first_account: usize,
}

impl Allowance {
    /// Creates an allowance without accounts.
    pub fn new(ordinal: Ordinal) -> Self {
        Self {
            ordinal,
            shares: BTreeMap::new(),
            limits: BTreeMap::new(),
            generation: Generation(0),
            parts: 0,
            epoch: 0,
            last_id: 0,
            pending: Default::default(),
            served: Default::default(),
            live: Vec::new(),
            lending_stopped: false,
            first_account: 0,
        }
    }

    /// Applies the limits of all accounts. An account without limits is removed, or gets limits of
    /// 0 while peers have loans from it.
    pub fn configure(&mut self, now: Tick, limits: impl IntoIterator<Item = (ArcStr, Limits)>) {
        self.limits = limits.into_iter().collect();
        for (a, s) in &mut self.shares {
            s.set_account_limits(self.limits.get(a).copied().unwrap_or_default(), self.parts, now);
        }
        // Loans to peers must still count if the account is added again before they end.
        self.shares.retain(|a, s| self.limits.contains_key(a) || s.lent_until().is_some());
        if self.generation == Generation(0) {
            return;
        }
        for (a, l) in &self.limits {
            if !self.shares.contains_key(a) {
                self.epoch += 1;
                self.shares.insert(a.clone(), Share::new(*l, self.parts, self.epoch, now));
            }
        }
    }

    /// Reserves `tokens` for a request of `account`, or starts to borrow them.
    pub fn reserve(
        &mut self,
        now: Tick,
        authority: Option<Authority>,
        account: &ArcStr,
        tokens: u64,
    ) -> ReserveOutcome {
        if !self.refresh(now, authority) {
            return ReserveOutcome::NoAuthority;
        }
        let Some(share) = self.shares.get_mut(account) else {
            return ReserveOutcome::Refused { retry: None };
        };
        if tokens > share.account_limits.burst {
            return ReserveOutcome::Refused { retry: None };
        }
        if let Some(reservation) = share.take(tokens * MILLI_PER_TOKEN, now) {
            let account = account.clone();
            let epoch = share.epoch;
            return ReserveOutcome::Granted(Grant { account, tokens, reservation, epoch });
        }
        if self.live.is_empty() || !share.search.start(tokens * MILLI_PER_TOKEN, now) {
            return ReserveOutcome::Refused {
                retry: Some(share.retry(tokens * MILLI_PER_TOKEN, now)),
            };
        }
        ReserveOutcome::Pending
    }

    /// Ends a reservation: `used` tokens were spent, the rest is refunded.
    pub fn settle(&mut self, now: Tick, grant: Grant, used: u64) {
        let share = self.shares.get_mut(&grant.account);
        if let Some(share) = share.filter(|s| s.epoch == grant.epoch) {
            share.settle(
                grant.reservation,
                grant.tokens.saturating_sub(used) * MILLI_PER_TOKEN,
                now,
            );
        }
    }

    /// Creates the borrow requests that are due. `live` are the peers that answer probes.
    pub fn poll(
        &mut self,
        now: Tick,
        authority: Option<Authority>,
        live: &[Ordinal],
        out: &mut Vec<OutgoingBorrow>,
    ) {
        self.live.clear();
        self.live.extend(live.iter().filter(|o| **o != self.ordinal && o.0 < MAX_GROUP_SIZE as u8));
        self.expire_pending(now);
        if !self.refresh(now, authority) {
            return;
        }
        let mut asks: [Vec<LoanItem>; MAX_GROUP_SIZE] = Default::default();
        let free: Vec<Ordinal> = self.live.iter().copied().filter(|o| self.can_ask(*o)).collect();
        // Starts with another account each time, so that the last ones get into full messages too.
        self.first_account = (self.first_account + 1) % self.shares.len().max(1);
        let (first_account, live) = (self.first_account, &self.live);
        let mut order: Vec<_> = self.shares.iter_mut().collect();
        order.rotate_left(first_account);
        for (account, share) in order {
            share.plan(now, live, &free, |to, ask| {
                let list = &mut asks[usize::from(to.0)];
                if list.len() == MAX_LOAN_ITEMS {
                    return false;
                }
                list.push(LoanItem { account: account.clone(), ..ask });
                true
            });
        }
        for (i, asks) in asks.into_iter().enumerate().filter(|(_, a)| !a.is_empty()) {
            self.last_id += 1;
            let accounts = asks.iter().map(|a| a.account.clone()).collect();
            self.pending[i] = Some(PendingRequest { id: self.last_id, sent: now, accounts });
            let request = BorrowRequest { generation: self.generation, id: self.last_id, asks };
            out.push(OutgoingBorrow { to: Ordinal(i as u8), request });
        }
    }

    /// Answers a borrow request. Lent tokens and capacity are subtracted before this returns.
    pub fn lend(
        &mut self,
        now: Tick,
        authority: Option<Authority>,
        from: Ordinal,
        q: &BorrowRequest,
    ) -> BorrowAnswer {
        let mut answer = BorrowAnswer { id: q.id, lasts: 0, keeps: 0, loans: Vec::new() };
        let can_lend = self.refresh(now, authority) && !self.lending_stopped;
        let (Some(a), Some(served)) = (authority, self.served.get_mut(usize::from(from.0))) else {
            return answer;
        };
        // A duplicate or reordered request gets nothing: the borrower would ignore the answer.
        if !can_lend || from == self.ordinal || (q.generation, q.id) <= *served {
            return answer;
        }
        *served = (q.generation, q.id);
        // Loans end no later than the lender's lease, so that its successor starts without loans.
        let (lasts, keeps) = (
            TOKEN_LOAN_DURATION.min(a.until.since(now)),
            CAPACITY_LOAN_DURATION.min(a.until.since(now)),
        );
        (answer.lasts, answer.keeps) = (micros(lasts), micros(keeps));
        let ends = LoanEnds { tokens: now + plus_drift(lasts), capacity: now + plus_drift(keeps) };
        for ask in q.asks.iter().take(MAX_LOAN_ITEMS) {
            if let Some(share) = self.shares.get_mut(&ask.account) {
                answer.loans.push(share.lend(now, ends, from, ask));
            }
        }
        answer
    }

    /// Adds the loans of a peer's answer; late, duplicate and unknown answers are ignored.
    pub fn handle_answer(&mut self, now: Tick, from: Ordinal, answer: BorrowAnswer) {
        let Some(slot) = self.pending.get_mut(usize::from(from.0)) else { return };
        if !slot.as_ref().is_some_and(|f| f.id == answer.id && now < f.sent + BORROW_TIMEOUT) {
            return;
        }
        let Some(request) = slot.take() else { return };
        let end =
            |us, most: Duration| request.sent + minus_drift(most.min(Duration::from_micros(us)));
        let ends = LoanEnds {
            tokens: end(answer.lasts, TOKEN_LOAN_DURATION),
            capacity: end(answer.keeps, CAPACITY_LOAN_DURATION),
        };
        for a in request.accounts {
            let Some(share) = self.shares.get_mut(&a) else { continue };
            match answer.loans.iter().find(|l| l.account == a) {
                Some(loan) => share.borrowed(now, ends, from, loan),
                None => share.search.peer_failed(from),
            }
        }
    }

    /// Stops lending; a graceful shutdown does this before it releases the lease.
    pub fn stop_lending(&mut self) {
        self.lending_stopped = true;
    }

    /// When the last loan to a peer ends. The lease must not be released earlier.
    pub fn lent_until(&self) -> Option<Tick> {
        self.shares.values().filter_map(Share::lent_until).max()
    }

    /// State of all accounts, for operators.
    pub fn report(&mut self, now: Tick, authority: Option<Authority>) -> Vec<AccountReport> {
        self.refresh(now, authority);
        self.shares.iter_mut().map(|(a, s)| s.report(a.clone(), now)).collect()
    }

    fn refresh(&mut self, now: Tick, authority: Option<Authority>) -> bool {
        let Some(a) = authority.filter(|a| a.is_valid(now)) else { return false };
        if a.generation != self.generation {
            // Buckets start empty, as the predecessor may have spent all tokens.
            self.generation = a.generation;
            self.epoch += 1;
            self.pending = Default::default();
            let epoch = self.epoch;
            let fresh =
                |(n, l): (&ArcStr, &Limits)| (n.clone(), Share::new(*l, a.parts, epoch, now));
            self.shares = self.limits.iter().map(fresh).collect();
        } else if a.parts != self.parts {
            self.shares.values_mut().for_each(|s| s.set_parts(a.parts, now));
        }
        self.parts = a.parts;
        a.parts > 0
    }

    fn can_ask(&self, o: Ordinal) -> bool {
        self.pending[usize::from(o.0)].is_none()
    }

    fn expire_pending(&mut self, now: Tick) {
        for (i, slot) in self.pending.iter_mut().enumerate() {
            if slot.as_ref().is_some_and(|f| now >= f.sent + BORROW_TIMEOUT) {
                for a in slot.take().into_iter().flat_map(|f| f.accounts) {
                    if let Some(s) = self.shares.get_mut(&a) {
                        s.search.peer_failed(Ordinal(i as u8));
                    }
                }
            }
        }
    }
}

/// State of one account on this host; amounts are in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Account name.
    pub account: ArcStr,
    /// Tokens in the bucket.
    pub available: u64,
    /// Bucket capacity, including what is borrowed and without what is lent.
    pub burst: u64,
    /// Capacity lent to peers.
    pub given: u64,
    /// Capacity borrowed from peers.
    pub taken: u64,
}
