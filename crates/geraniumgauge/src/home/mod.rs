//! Homes: the VMs that hold the connections to an upstream.
//!
//! Only its homes talk to an upstream, so that its slots are neither overrun
//! nor idle and its connection limit holds without any agreement between VMs.

pub mod placement;
