//! Configuration versions: which one is in force.
