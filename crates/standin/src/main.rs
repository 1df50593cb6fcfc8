//! Stand-ins of the platform and of upstreams, with the demo and the
//! measurements that run against them.

fn main() {}
