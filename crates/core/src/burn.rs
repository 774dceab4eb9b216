//! Burn rates of service-level objectives.
