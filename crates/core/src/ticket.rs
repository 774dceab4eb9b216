//! Single-use tickets for at-most-once execution of non-idempotent requests.
//!
//! A process runs a non-idempotent request only with an unused ticket that it issued itself. A
//! repeated request therefore does not run again, on the same host, on another one or on a process
//! that has replaced the first.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    str::FromStr,
    time::Duration,
};

use arcstr::ArcStr;
use subtle::ConstantTimeEq;

use crate::{ids::Incarnation, time::Tick};

/// How long a ticket is valid, and remembered, after it was issued.
pub const TICKET_TTL: Duration = Duration::from_secs(600);

/// Tickets that are remembered at once. At about 100 bytes each, they take 10 MB.
pub const MAX_TICKETS: usize = 100_000;

/// Tickets of one account, so that no account can fill the table.
pub const MAX_TICKETS_PER_ACCOUNT: usize = MAX_TICKETS / 5;

/// A ticket: `INCARNATION.SEQUENCE.NONCE`, each in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Process that issued it.
    pub incarnation: Incarnation,
    /// Sequence number of the ticket within that process.
    pub sequence: u64,
    /// Random number that keeps tickets from being guessed.
    pub nonce: u64,
}

/// The text is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a ticket has the form INCARNATION.SEQUENCE.NONCE")]
pub struct ParseTicketError;

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:016x}", self.incarnation, self.sequence, self.nonce)
    }
}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(s: &str) -> Result<Self, ParseTicketError> {
        let mut parts =
            s.split('.').map(|p| u64::from_str_radix(p, 16).map_err(|_| ParseTicketError));
        let mut next = || parts.next().ok_or(ParseTicketError)?;
        let (incarnation, sequence, nonce) = (Incarnation(next()?), next()?, next()?);
        if parts.next().is_some() {
            return Err(ParseTicketError);
        }
        Ok(Self { incarnation, sequence, nonce })
    }
}

/// Result of the request for which a ticket was spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The request is in progress, or its answer was lost.
    Unknown,
    /// The request ran.
    Ran,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpendError {
    /// Another process issued the ticket; that process may have run the request.
    #[error("the ticket was issued by another process")]
    OtherProcess,
    /// The ticket is expired, was never issued, or belongs to another account.
    #[error("the ticket is expired or was never issued")]
    Unknown,
    /// The ticket was used before.
    #[error("the ticket has been spent")]
    Spent(TicketOutcome),
}

/// No more tickets can be remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many tickets are outstanding")]
pub struct TableFull {
    /// Time until the oldest ticket expires.
    pub retry_after: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    nonce: u64,
    account: Option<ArcStr>,
    issued: Tick,
    spent: Option<TicketOutcome>,
}

/// Tickets that this process has issued and that have not expired.
#[derive(Clone, Debug)]
pub struct TicketTable {
    incarnation: Incarnation,
    next_sequence: u64,
    // Ordered by sequence number, and so by the time of issue and of expiry.
    entries: BTreeMap<u64, Entry>,
    per_account: HashMap<Option<ArcStr>, usize>,
}

impl TicketTable {
    /// An empty table of the process `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            next_sequence: 1,
            entries: BTreeMap::new(),
            per_account: HashMap::new(),
        }
    }

    /// Number of tickets in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no tickets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Issues a ticket to `account`. `nonce` must be random.
    ///
    /// # Errors
    ///
    /// [`TableFull`] if the table or the account's part of it is full.
    pub fn issue(
        &mut self,
        now: Tick,
        account: Option<ArcStr>,
        nonce: u64,
    ) -> Result<Ticket, TableFull> {
        self.remove_expired(now);
        let held = self.per_account.get(&account).copied().unwrap_or(0);
        if self.entries.len() >= MAX_TICKETS || held >= MAX_TICKETS_PER_ACCOUNT {
            let oldest = self.entries.values().next().map_or(now, |e| e.issued);
            return Err(TableFull { retry_after: (oldest + TICKET_TTL).since(now) });
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        *self.per_account.entry(account.clone()).or_default() += 1;
        self.entries.insert(sequence, Entry { nonce, account, issued: now, spent: None });
        Ok(Ticket { incarnation: self.incarnation, sequence, nonce })
    }

    /// Spends a ticket. If it succeeds, the request may run once.
    ///
    /// # Errors
    ///
    /// The reason why the request may not run.
    pub fn spend(
        &mut self,
        now: Tick,
        account: Option<&ArcStr>,
        t: Ticket,
    ) -> Result<(), SpendError> {
        self.remove_expired(now);
        if t.incarnation != self.incarnation {
            return Err(SpendError::OtherProcess);
        }
        let entry = self.entries.get_mut(&t.sequence).ok_or(SpendError::Unknown)?;
        if !bool::from(entry.nonce.ct_eq(&t.nonce)) || entry.account.as_ref() != account {
            return Err(SpendError::Unknown);
        }
        match entry.spent {
            Some(outcome) => Err(SpendError::Spent(outcome)),
            None => {
                entry.spent = Some(TicketOutcome::Unknown);
                Ok(())
            }
        }
    }

    /// Records the result of the request of a spent ticket. An expired ticket is ignored.
    pub fn finish(&mut self, t: Ticket, outcome: TicketOutcome) {
        if let Some(e) = self.spent_entry(t) {
            e.spent = Some(outcome);
        }
    }

    /// Makes a spent ticket usable again, for a request that has certainly not been sent.
    pub fn restore(&mut self, t: Ticket) {
        if let Some(e) = self.spent_entry(t)
            && e.spent == Some(TicketOutcome::Unknown)
        {
            e.spent = None;
        }
    }

    fn spent_entry(&mut self, t: Ticket) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&t.sequence)?;
        (t.incarnation == self.incarnation && entry.nonce == t.nonce && entry.spent.is_some())
            .then_some(entry)
    }

    fn remove_expired(&mut self, now: Tick) {
        while let Some(first) = self.entries.first_entry() {
            if now < first.get().issued + TICKET_TTL {
                return;
            }
            let account = first.remove().account;
            if let Some(n) = self.per_account.get_mut(&account) {
                *n -= 1;
                if *n == 0 {
                    self.per_account.remove(&account);
                }
            }
        }
    }
}
