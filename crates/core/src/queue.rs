//! Weighted fair queueing of waiting requests.
