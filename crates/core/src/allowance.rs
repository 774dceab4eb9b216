//! Allowances of accounts over all hosts: base shares and loans.
//!
//! Each ordinal holds an equal part of the rate and of the burst of every account. A host that is
//! short of tokens borrows from its peers: a loan moves tokens and as much of the lender's
//! capacity for at most [`TOKEN_LOAN_DURATION`]. Tokens that are unspent at its end stay as far as the borrower's
//! own capacity has room, which keeps the hosts at about the same level. At any time the shares of all hosts sum to at most the whole, and so do the tokens
//! in their buckets, so no account receives more than burst + rate x window over any window.

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

/// Longest time of a loan. Tokens are borrowed for requests that wait, so a loan is used within a
/// few round trips. While it lasts the lender's bucket cannot fill up, so a longer one wastes more.
pub const TOKEN_LOAN_DURATION: Duration = Duration::from_millis(100);

/// Longest time for which capacity without tokens is lent. It holds the refunds of long requests,
/// which would otherwise be lost where a host's requests are larger than its own capacity.
pub const CAPACITY_LOAN_DURATION: Duration = Duration::from_millis(500);

/// How long an answer to a borrow request is waited for.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Account that stands for the load rate of the weight store; a load costs one token.
pub const STORE_ACCOUNT: ArcStr = arcstr::literal!("$store");

/// Accounts in one borrow request, so that a message stays below 4 KB.
pub const MAX_LOAN_ITEMS: usize = 64;

/// Tokens are counted in thousandths, so that shares of small rates are not rounded to nothing.
const MILLI_PER_TOKEN: u64 = 1000;

/// What one account asks of a peer, in thousandths of a token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanItem {
    /// Account.
    pub account: ArcStr,
    /// Tokens that requests wait for.
    pub need: u64,
    /// Tokens that would bring the borrower to the mean level of the group, at least `need`.
    pub want: u64,
    /// Tokens that the borrower has beyond those that requests wait for.
    pub level: u64,
    /// Capacity that the borrower needs for refunds.
    pub room: u64,
}

/// A request for loans for several accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// Generation of the borrower.
    pub generation: Generation,
    /// Number of the request, rising within the generation.
    pub id: u64,
    /// At most [`MAX_LOAN_ITEMS`].
    pub asks: Vec<LoanItem>,
}

/// A loan for one account, in thousandths of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Account.
    pub account: ArcStr,
    /// Tokens, and the capacity that holds them for [`BorrowAnswer::lasts`].
    pub tokens: u64,
    /// Capacity for [`BorrowAnswer::keeps`].
    pub room: u64,
    /// Tokens that the lender could still lend.
    pub left: u64,
}

/// Answer to a [`BorrowRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowAnswer {
    /// Number of the request.
    pub id: u64,
    /// Duration of the loans of tokens in microseconds.
    pub lasts: u64,
    /// Duration of the loans of capacity in microseconds.
    pub keeps: u64,
    /// One loan for each account that was asked for and is known; it may be empty.
    pub loans: Vec<Loan>,
}

/// A borrow request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingBorrow {
    /// Peer.
    pub to: Ordinal,
    /// Request.
    pub request: BorrowRequest,
}

/// Tokens reserved for one request.
#[derive(Clone, Debug)]
pub struct Grant {
    account: ArcStr,
    tokens: u64,
    reservation: Reservation,
    epoch: u64,
}

/// Answer to a reservation.
#[derive(Clone, Debug)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Granted(Grant),
    /// Peers are asked for loans. Ask again when an answer arrives, after 100 ms at most.
    Pending,
    /// The account has no room; `retry` is `None` when the request can never fit.
    Refused {
        /// Time after which there may be room.
        retry: Option<Duration>,
    },
    /// This host does not hold its ordinal, or has no share yet.
    NoAuthority,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    id: u64,
    sent: Tick,
    accounts: Vec<ArcStr>,
}

/// This host's shares of all accounts.
#[derive(Clone, Debug)]
pub struct Allowance {
    ordinal: Ordinal,
    shares: BTreeMap<ArcStr, Share>,
    limits: BTreeMap<ArcStr, Limits>,
    generation: Generation,
    parts: u8,
    // Number of the newest bucket; a reservation is settled only in the bucket it was made in.
    epoch: u64,
    last_id: u64,
    // One request at a time to each peer, so the number of loans in doubt is bounded.
    pending: [Option<PendingRequest>; MAX_GROUP_SIZE],
    served: [(Generation, u64); MAX_GROUP_SIZE],
    live: Vec<Ordinal>,
    lending_stopped: bool,
    first_account: usize,
}

impl Allowance {
    /// No accounts and no shares.
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

    /// Takes the limits of all accounts into use. Accounts that are not named are removed.
    pub fn configure(&mut self, now: Tick, limits: impl IntoIterator<Item = (ArcStr, Limits)>) {
        self.limits = limits.into_iter().collect();
        for (a, s) in &mut self.shares {
            s.set_whole(self.limits.get(a).copied().unwrap_or_default(), self.parts, now);
        }
        // Loans given still count if the account comes back before they end.
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

    /// Reserves `tokens` for a request of `account`.
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
        if tokens > share.whole.burst {
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

    /// Ends a reservation of which `used` tokens were spent; the rest is given back.
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

    /// Asks peers for the loans that requests wait for. `live` are the peers that answer probes.
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
        // Starting at another account each time keeps a full message from starving the last ones.
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

    /// Answers a peer that wants to borrow. What is lent is subtracted before this returns.
    pub fn lend(
        &mut self,
        now: Tick,
        authority: Option<Authority>,
        from: Ordinal,
        q: &BorrowRequest,
    ) -> BorrowAnswer {
        let mut answer = BorrowAnswer { id: q.id, lasts: 0, keeps: 0, loans: Vec::new() };
        let able = self.refresh(now, authority) && !self.lending_stopped;
        let (Some(a), Some(served)) = (authority, self.served.get_mut(usize::from(from.0))) else {
            return answer;
        };
        // A repeated or overtaken request gets nothing: its answer would not be used.
        if !able || from == self.ordinal || (q.generation, q.id) <= *served {
            return answer;
        }
        *served = (q.generation, q.id);
        // The lender's authority ends first, so its successor starts without outstanding loans.
        let (lasts, keeps) = (
            TOKEN_LOAN_DURATION.min(a.until.since(now)),
            CAPACITY_LOAN_DURATION.min(a.until.since(now)),
        );
        (answer.lasts, answer.keeps) = (micros(lasts), micros(keeps));
        let ends = LoanEnds { tokens: now + plus_drift(lasts), room: now + plus_drift(keeps) };
        for ask in q.asks.iter().take(MAX_LOAN_ITEMS) {
            if let Some(share) = self.shares.get_mut(&ask.account) {
                answer.loans.push(share.lend(now, ends, from, ask));
            }
        }
        answer
    }

    /// Takes a peer's answer. An answer to a request that is not pending is ignored.
    pub fn handle_answer(&mut self, now: Tick, from: Ordinal, answer: BorrowAnswer) {
        let Some(slot) = self.pending.get_mut(usize::from(from.0)) else { return };
        if !slot.as_ref().is_some_and(|f| f.id == answer.id && now < f.sent + ANSWER_TIMEOUT) {
            return;
        }
        let Some(request) = slot.take() else { return };
        let end =
            |us, most: Duration| request.sent + minus_drift(most.min(Duration::from_micros(us)));
        let ends = LoanEnds {
            tokens: end(answer.lasts, TOKEN_LOAN_DURATION),
            room: end(answer.keeps, CAPACITY_LOAN_DURATION),
        };
        for a in request.accounts {
            let Some(share) = self.shares.get_mut(&a) else { continue };
            match answer.loans.iter().find(|l| l.account == a) {
                Some(loan) => share.borrowed(now, ends, from, loan),
                None => share.search.peer_failed(from),
            }
        }
    }

    /// Stops lending, before a graceful shutdown releases the lease.
    pub fn stop_lending(&mut self) {
        self.lending_stopped = true;
    }

    /// When the last loan given by this host has ended. The lease must not be released before.
    pub fn lent_until(&self) -> Option<Tick> {
        self.shares.values().filter_map(Share::lent_until).max()
    }

    /// State of all accounts for operators.
    pub fn report(&mut self, now: Tick, authority: Option<Authority>) -> Vec<AccountReport> {
        self.refresh(now, authority);
        self.shares.iter_mut().map(|(a, s)| s.report(a.clone(), now)).collect()
    }

    fn refresh(&mut self, now: Tick, authority: Option<Authority>) -> bool {
        let Some(a) = authority.filter(|a| a.is_valid(now)) else { return false };
        if a.generation != self.generation {
            // A newly admitted process starts with empty buckets.
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
            if slot.as_ref().is_some_and(|f| now >= f.sent + ANSWER_TIMEOUT) {
                for a in slot.take().into_iter().flat_map(|f| f.accounts) {
                    if let Some(s) = self.shares.get_mut(&a) {
                        s.search.peer_failed(Ordinal(i as u8));
                    }
                }
            }
        }
    }
}

/// State of one account on this host, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Account.
    pub account: ArcStr,
    /// Tokens that can be taken now.
    pub available: u64,
    /// Capacity, with loans.
    pub burst: u64,
    /// Burst lent to peers.
    pub given: u64,
    /// Burst borrowed from peers.
    pub taken: u64,
}
