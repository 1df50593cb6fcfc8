//! Which upstreams a caller's request may go to, and on what terms.
//!
//! A [`Config`] is one version of what the operators want, as a whole. Each
//! request is handled by the version that was in force when it was read, so an
//! answer never mixes two versions.

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
    /// Its version; higher is later.
    pub version: ids::Generation,
    /// Its routes, in no order.
    pub routes: Vec<Route>,
    /// What holds for calls to each service's upstreams.
    pub services: collections::BTreeMap<ids::Service, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// What holds for calls to one service's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Connections that each upstream takes from all VMs together.
    pub max_connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub head: rate::Bytes,
    /// Largest body of a request.
    pub body: rate::Bytes,
    /// Longest time from a head's first byte to its last.
    pub head_time: time::Duration,
    /// Longest time without a byte between requests, or within a body.
    pub idle: time::Duration,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: may be retried and hedged.
    Idempotent,
    /// Runs once at most: sent again only on proof that it hasn't run.
    Once,
}

/// Where a route's requests go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one upstream of one of these services, by weight.
    One(Vec<Weighted>),
    /// To one upstream of each shard's service; the replies are merged.
    Shards(Shards),
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Weighted {
    /// The service.
    pub service: ids::Service,
    /// Its weight among those beside it.
    pub weight: f64,
}

/// The shards of a route, and what an answer needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Shards {
    /// One service a shard.
    pub services: Vec<ids::Service>,
    /// Records in an answer at most.
    pub top: usize,
    /// Least share of the shards that makes an answer.
    pub least: rate::Share,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name, in lower case.
    pub host: String,
    /// Start of the paths that belong to it.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Upstreams that one request, or one shard's part of it, may reach.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: time::Duration,
    /// Time within which an answer is worth most.
    pub aim: time::Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Where its requests go.
    pub target: Target,
}

/// A configuration that is shared by the requests it governs.
pub type Shared = rc::Rc<Table>;

#[cfg(test)]
mod tests;
