//! Reassembly of a stream from chunks with offsets.
