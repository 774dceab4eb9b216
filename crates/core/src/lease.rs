//! Leases of ordinals, confirmed by a majority of peers.
