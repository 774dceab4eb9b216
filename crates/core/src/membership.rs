//! Peers and upstreams as this host knows them.
