//! Tests of the whole ledger with faults injected into the store, homes and links.

mod link;
mod property;
mod scenarios;
mod world;
