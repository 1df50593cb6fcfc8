//! Tests of the whole ledger with faults injected into the store, homes and links.

mod environment;
mod property;
mod scenarios;
mod world;
