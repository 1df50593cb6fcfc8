//! Stand-ins of the platform and of upstreams, and the demo and measurements
//! that run against them. Nothing here is part of a deployment.

pub mod platform;
pub mod serve;
pub mod upstream;
