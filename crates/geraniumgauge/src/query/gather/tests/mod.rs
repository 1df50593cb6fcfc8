//! Tests of a search against simulated upstreams, homes and links.

mod failures;
mod properties;
mod world;
