//! Defines which upstreams the requests of callers may go to, and with what
//! limits.
//!
//! A [`Config`] is one complete version of the operators' configuration. Each
//! request is handled by the version that was in force when the request was
//! read, so an answer never mixes two versions.

mod split;
pub mod table;

pub use split::Split;
pub use table::Table;

use std::collections;
use std::rc;
use std::time;

use crate::ids;
use crate::rate;

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version number. Higher numbers are newer.
    pub version: ids::Generation,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// How each service's upstreams are called.
    pub services: collections::BTreeMap<ids::Service, Service>,
    /// Limits for the requests of callers.
    pub limits: Limits,
}

/// How one service's upstreams are called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Path of the upstreams' health checks, which name the upstream that answers.
    pub health_path: String,
    /// Maximum number of connections from all VMs together to each upstream.
    pub max_connections: u32,
}

/// Limits for the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub max_head: rate::Bytes,
    /// Maximum size of a request's body.
    pub max_body: rate::Bytes,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: time::Duration,
    /// Maximum time without a byte between requests or within a body.
    pub idle_timeout: time::Duration,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent and may be retried and hedged.
    Idempotent,
    /// The request runs at most once. It is sent again only on proof that it
    /// hasn't run.
    Once,
}

/// The services that a route's requests go to.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One upstream of one of these services, chosen by weight.
    One(Vec<Weighted>),
    /// One upstream of each shard's service. The replies are merged.
    Shards(Shards),
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Weighted {
    /// The name of the service.
    pub service: ids::Service,
    /// Weight of the service relative to the others of the route.
    pub weight: f64,
}

/// The shards of a route and the requirements for an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Shards {
    /// One service per shard.
    pub services: Vec<ids::Service>,
    /// Maximum number of records in an answer.
    pub top_k: usize,
    /// Minimum share of the shards that an answer must cover.
    pub min_coverage: rate::Share,
}

/// Maps requests by host and path to upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: String,
    /// The host in callers' requests, in lower case.
    pub host: String,
    /// Prefix of the paths that belong to the route.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Maximum number of upstreams that a request, or one shard's part of it,
    /// may reach.
    pub attempts: u32,
    /// Maximum time until the final answer.
    pub timeout: time::Duration,
    /// Time within which a request should be answered. Hedges are timed by it, and a
    /// sharded answer may be sent at it without its late shards.
    pub latency_target: time::Duration,
    /// Priority of the route, 0 being the highest. It is read from the configuration
    /// but doesn't affect how requests are handled.
    pub priority: u32,
    /// The services that the requests go to.
    pub target: Target,
}

/// A configuration shared by the requests that it applies to.
pub type Shared = rc::Rc<Table>;

#[cfg(test)]
mod tests;
