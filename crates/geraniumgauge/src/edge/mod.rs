//! Callers' and upstreams' connections: carries out what [`crate::forward`]
//! decides.
//!
//! Everything here runs on one thread, as tasks of one local set. [`Engine`]
//! holds the state; no borrow of it outlives a call. A call to an upstream
//! costs one write and one read: it is written from the task that decided it,
//! and its reply is handled in the task that read it.

mod answer;
mod backlog;
mod call;
mod caller;
mod count;
mod engine;
mod frame;
mod link;
mod operators;
mod peers;
mod pool;
mod sender;
mod server;
mod state;

pub use count::Count;
pub use engine::Engine;
pub use engine::Phase;
pub use engine::Teller;
pub use operators::Operators;
pub use server::Server;

#[cfg(test)]
mod tests;
