//! Tickets for at-most-once execution.
