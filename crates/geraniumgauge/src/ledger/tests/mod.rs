//! Failure tests of the whole ledger over a store, homes and links that fail.

mod link;
mod property;
mod stories;
mod world;
