//! Retry budget.
