use std::collections::HashMap;

use arcstr::ArcStr;
use proptest::prelude::*;

use super::{
    MAX_TICKETS, MAX_TICKETS_PER_ACCOUNT, ParseTicketError, SpendError, TICKET_TTL, Ticket,
    TicketOutcome, TicketTable,
};
use crate::{
    ids::Incarnation,
    time::{Tick, micros},
};

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Issue,
    Spend(usize),
    Finish(usize),
    Restore(usize),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..400_000_000u64).prop_map(Step::Wait),
        Just(Step::Issue),
        (0..20usize).prop_map(Step::Spend),
        (0..20usize).prop_map(Step::Spend),
        (0..20usize).prop_map(Step::Finish),
        (0..20usize).prop_map(Step::Restore),
        Just(Step::Restart),
    ]
}

fn shop() -> Option<ArcStr> {
    Some("shop".into())
}

proptest! {
    // Guards against running a request twice. The reference is a set of the tickets whose request
    // runs or ran, from which only the restore of an unfinished one removes a ticket.
    #[test]
    fn a_ticket_admits_at_most_one_run(steps in prop::collection::vec(step(), 0..120)) {
        let mut now = Tick(0);
        let mut incarnation = 1;
        let mut table = TicketTable::new(Incarnation(incarnation));
        let mut all: Vec<(Ticket, Tick)> = Vec::new();
        let mut running: HashMap<Ticket, bool> = HashMap::new();
        for s in steps {
            match s {
                Step::Wait(us) => now = Tick(now.0 + us),
                Step::Issue => {
                    let t = table.issue(now, shop(), all.len() as u64).unwrap();
                    all.push((t, now));
                }
                Step::Spend(i) if i < all.len() => {
                    let (t, issued) = all[i];
                    if table.spend(now, shop().as_ref(), t).is_ok() {
                        prop_assert!(!running.contains_key(&t));
                        prop_assert_eq!(t.incarnation.0, incarnation);
                        prop_assert!(micros(now.since(issued)) < micros(TICKET_TTL));
                        running.insert(t, false);
                    }
                }
                Step::Finish(i) if i < all.len() => {
                    if let Some(finished) = running.get_mut(&all[i].0) {
                        *finished = true;
                        table.finish(all[i].0, TicketOutcome::Ran);
                    }
                }
                Step::Restore(i)
                    if i < all.len() && running.get(&all[i].0) == Some(&false) =>
                {
                    running.remove(&all[i].0);
                    table.restore(all[i].0);
                }
                Step::Restart => {
                    incarnation += 1;
                    table = TicketTable::new(Incarnation(incarnation));
                }
                _ => {}
            }
        }
    }

    // Guards against a ticket that changes when it is written and parsed.
    #[test]
    fn text_and_ticket_are_inverse(incarnation: u64, sequence: u64, nonce: u64) {
        let t = Ticket { incarnation: Incarnation(incarnation), sequence, nonce };
        prop_assert_eq!(t.to_string().parse(), Ok(t));
    }
}

fn table() -> TicketTable {
    TicketTable::new(Incarnation(7))
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against running a request again on the process that has replaced the first.
    a_ticket_of_another_process_is_refused: {
        let t = TicketTable::new(Incarnation(6)).issue(Tick(0), shop(), 5).unwrap();
        let mut b = table();
        b.issue(Tick(0), shop(), 5).unwrap();
        assert_eq!(b.spend(Tick(0), shop().as_ref(), t), Err(SpendError::OtherProcess));
    }
    // Guards against refusing a repeated request without the result of the first one.
    a_spent_ticket_is_refused_with_its_result: {
        let mut b = table();
        let t = b.issue(Tick(0), shop(), 5).unwrap();
        assert_eq!(b.spend(Tick(1), shop().as_ref(), t), Ok(()));
        assert_eq!(
            b.spend(Tick(1), shop().as_ref(), t),
            Err(SpendError::Spent(TicketOutcome::Unknown))
        );
        b.finish(t, TicketOutcome::Ran);
        assert_eq!(
            b.spend(Tick(2), shop().as_ref(), t),
            Err(SpendError::Spent(TicketOutcome::Ran))
        );
        b.restore(t);
        assert_eq!(
            b.spend(Tick(3), shop().as_ref(), t),
            Err(SpendError::Spent(TicketOutcome::Ran))
        );
    }
    // Guards against a ticket that cannot be used after its request failed to connect.
    a_restored_ticket_is_valid_again: {
        let mut b = table();
        let t = b.issue(Tick(0), shop(), 5).unwrap();
        b.spend(Tick(0), shop().as_ref(), t).unwrap();
        b.restore(t);
        assert_eq!(b.spend(Tick(0), shop().as_ref(), t), Ok(()));
    }
    // Guards against accepting a ticket after it has been removed from the table.
    an_expired_ticket_is_unknown_spent_or_not: {
        let mut b = table();
        let t = b.issue(Tick(0), shop(), 5).unwrap();
        let u = b.issue(Tick(0), shop(), 6).unwrap();
        b.spend(Tick(1), shop().as_ref(), t).unwrap();
        let late = Tick(0) + TICKET_TTL;
        assert_eq!(b.spend(late, shop().as_ref(), t), Err(SpendError::Unknown));
        assert_eq!(b.spend(late, shop().as_ref(), u), Err(SpendError::Unknown));
        b.restore(t);
        assert_eq!(b.spend(late, shop().as_ref(), t), Err(SpendError::Unknown));
        assert!(b.is_empty());
    }
    // Guards against accepting guessed tickets and tickets of another account.
    nonce_and_account_have_to_match: {
        let mut b = table();
        let t = b.issue(Tick(0), shop(), 5).unwrap();
        let guessed = Ticket { nonce: 6, ..t };
        assert_eq!(b.spend(Tick(0), shop().as_ref(), guessed), Err(SpendError::Unknown));
        assert_eq!(b.spend(Tick(0), Some(&"bank".into()), t), Err(SpendError::Unknown));
        assert_eq!(b.spend(Tick(0), None, t), Err(SpendError::Unknown));
        assert_eq!(b.spend(Tick(0), shop().as_ref(), t), Ok(()));
    }
    // Guards against a table that grows without limit or drops spent tickets to make room.
    a_full_table_issues_nothing_until_the_oldest_expires: {
        let mut b = table();
        for i in 0..MAX_TICKETS {
            let account: ArcStr = format!("a{}", i / MAX_TICKETS_PER_ACCOUNT).into();
            b.issue(Tick(i as u64), Some(account), 5).unwrap();
        }
        let now = Tick(MAX_TICKETS as u64);
        let full = b.issue(now, shop(), 5).unwrap_err();
        assert_eq!(now + full.retry_after, Tick(0) + TICKET_TTL);
        assert!(b.issue(Tick(0) + TICKET_TTL, shop(), 5).is_ok());
        assert_eq!(b.len(), MAX_TICKETS);
    }
    // Guards against an account that fills the table.
    an_account_has_a_part_of_the_table: {
        let mut b = table();
        for _ in 0..MAX_TICKETS_PER_ACCOUNT {
            b.issue(Tick(0), shop(), 5).unwrap();
        }
        assert!(b.issue(Tick(0), shop(), 5).is_err());
        assert!(b.issue(Tick(0), Some("bank".into()), 5).is_ok());
    }
    // Guards against parsing other texts as tickets.
    other_texts_are_not_parsed: {
        for text in ["", "1", "1.2", "1.2.3.4", "g.1.2", "1..2", "00000000000000001.1.1ffffffffffffffff"] {
            assert_eq!(text.parse::<Ticket>(), Err(ParseTicketError), "{text}");
        }
    }
}
