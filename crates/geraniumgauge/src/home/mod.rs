//! Homes: the VMs that hold the connections to an upstream.
