//! Adapters on the engines that this host controls.
