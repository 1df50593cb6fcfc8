//! Homes: the VMs that hold the connections to an upstream.
//!
//! Only an upstream's homes call it. They keep its slots in use without exceeding
//! them, and stay within its connection limit, without any agreement between VMs.
//! [`placement`] computes which VMs are the homes, [`state`] decides which calls are
//! sent when, and [`Service`] carries out these decisions.

mod guard;
mod instruments;
mod outbox;
pub mod placement;
mod service;
pub mod state;
mod worker;

pub use guard::Guard;
pub use service::Config;
pub use service::Service;
