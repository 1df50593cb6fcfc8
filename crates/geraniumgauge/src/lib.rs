//! A query tier over many index shards.
//!
//! A caller's search is fanned out to upstream replicas. Their results are merged
//! into one answer that reflects a single snapshot and states which shards it covers.
//!
//! Each module is responsible for one task and has its own state, messages and tests.
//! Decisions are made by state machines without I/O (`handle(event, now) -> actions`),
//! and tokio tasks carry out the actions. So the same state machines run in the
//! daemon and in quickcheck tests with seeds.

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
pub mod memory;
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
#[cfg(test)]
mod slow_sender;
pub mod spread;
pub mod store;
pub mod time;
pub mod timer;
pub mod upstream;
pub mod vm;
