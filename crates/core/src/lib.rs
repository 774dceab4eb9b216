//! Pure decisions.
