//! Homes: the VMs that hold the connections to an upstream.
//!
//! Only its homes talk to an upstream, so that its slots are neither overrun
//! nor idle and its connection limit holds without any agreement between VMs.
//! [`placement`] says which VMs these are, [`state`] decides what is sent when,
//! and [`Service`] carries that out.

mod instruments;
mod outbox;
pub mod placement;
mod service;
pub mod state;
mod worker;

pub use service::Config;
pub use service::Service;
