//! Stand-ins for the platform and for upstreams, and the demo and measurements that run
//! against them. Nothing here is part of a deployment.

pub mod demo;
pub mod measure;
pub mod platform;
pub mod serve;
pub mod site;
pub mod site_load;
pub mod upstream;
