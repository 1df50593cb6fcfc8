//! A query tier over many index shards.
//!
//! Callers' searches are fanned out to upstream replicas and gathered into one
//! answer that reflects one snapshot and states truly which shards it covers.
//! Each module is one duty with its own state, messages and tests. Decisions
//! are state machines without I/O (`handle(event, now) -> actions`); the tasks
//! beside them only carry the actions out, so the same code runs under
//! quickcheck with seeds and in the daemon.

pub mod document;
pub mod edge;
#[cfg(test)]
mod events;
pub mod finding;
pub mod follow;
pub mod forward;
pub mod h1;
pub mod home;
pub mod http;
pub mod ids;
pub mod jsonc;
pub mod layout;
pub mod ledger;
pub mod logs;
pub mod member;
pub mod mesh;
pub mod metrics;
pub mod quarantine;
pub mod query;
pub mod rate;
pub mod registry;
pub mod rendezvous;
pub mod route;
#[cfg(test)]
mod seeds;
pub mod slo;
pub mod spread;
pub mod store;
pub mod time;
pub mod timer;
#[cfg(test)]
mod trickle;
pub mod upstream;
pub mod vm;
