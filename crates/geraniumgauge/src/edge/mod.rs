//! Serves connections to callers, upstreams and other VMs, and carries out the
//! decisions of [`crate::forward`].
//!
//! Everything runs on one thread, as tasks of one local set. [`Engine`] holds the
//! state, which is never borrowed across an await. A call to an upstream costs one
//! write and one read: the task that decides on a call writes it, and the task that
//! reads the reply handles it.

mod answer;
mod backlog;
mod call;
mod caller;
mod capacity;
mod engine;
mod frame;
mod instruments;
mod link;
mod operators;
mod overload;
mod peers;
mod places;
mod pool;
mod receiver;
mod sender;
mod server;
mod state;

pub use capacity::Capacity;
pub use engine::Engine;
pub use engine::Phase;
pub use engine::Responder;
pub use instruments::Instruments;
pub use operators::Operators;
pub use server::Server;

#[cfg(test)]
mod tests;
