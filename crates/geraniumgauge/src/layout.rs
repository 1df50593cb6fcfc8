//! Layout of a service: its shards and the upstreams that hold their replicas.
//!
//! The service's team stores it as `layouts/{service}`. A repartition is a new layout
//! with a higher version; running queries keep the one that they pinned.

use std::collections;
use std::net;
use std::sync;

use crate::ids;

/// Returns the store key of a service's layout.
pub fn key(service: &ids::Service) -> String {
    format!("layouts/{service}")
}

/// One version of a service's layout.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Layout {
    /// Increases with each repartition or move of a replica.
    pub version: ids::LayoutVersion,
    /// The upstreams, each named once.
    pub upstreams: Vec<Upstream>,
    /// The shards, each with at least one replica.
    pub shards: Vec<Shard>,
}

/// An upstream server and its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Name, unique among all services.
    pub id: ids::Upstream,
    /// IP address and port on which it listens for HTTP.
    pub address: net::SocketAddr,
    /// The data centre it runs in.
    pub data_centre: ids::DataCentre,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of concurrent connections that it accepts from all VMs together.
    pub connections: u32,
    /// Time to open a new connection, in milliseconds.
    pub connect_ms: u32,
}

/// One shard and the upstreams that hold its replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Shard {
    /// Name, unique within the layout.
    pub id: ids::Shard,
    /// Upstreams that hold a replica of the shard.
    pub replicas: Vec<ids::Upstream>,
}

/// Error that makes a layout unusable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A shard names an upstream that the layout doesn't list.
    #[display("shard {shard} names upstream {upstream}, which \"upstreams\" doesn't list")]
    UnknownUpstream {
        /// The shard.
        shard: ids::Shard,
        /// The name that is not listed.
        upstream: ids::Upstream,
    },
    /// A shard has no replica.
    #[display("shard {shard} has no replica; list at least one upstream")]
    NoReplica {
        /// The shard.
        shard: ids::Shard,
    },
    /// A shard or an upstream is listed twice.
    #[display("{name} is listed twice; list it once")]
    Duplicate {
        /// The shard or upstream.
        name: String,
    },
    /// An upstream has no slots or no connections.
    #[display("upstream {upstream} has no slots or no connections; give 1 or more of each")]
    NoCapacity {
        /// The upstream.
        upstream: ids::Upstream,
    },
}

impl Error {
    /// Returns the name of the faulty shard or upstream.
    pub fn name(&self) -> &str {
        match self {
            Self::UnknownUpstream { upstream, .. } | Self::NoCapacity { upstream } => {
                upstream.as_str()
            }
            Self::NoReplica { shard } => shard.as_str(),
            Self::Duplicate { name } => name,
        }
    }
}

impl Layout {
    /// Returns all errors of the layout; empty if it is valid.
    pub fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        let mut known = collections::BTreeSet::new();
        for upstream in &self.upstreams {
            if !known.insert(&upstream.id) {
                errors.push(Error::Duplicate {
                    name: upstream.id.to_string(),
                });
            }
            if upstream.slots == 0 || upstream.connections == 0 {
                errors.push(Error::NoCapacity {
                    upstream: upstream.id.clone(),
                });
            }
        }
        let mut shards = collections::BTreeSet::new();
        for shard in &self.shards {
            if !shards.insert(&shard.id) {
                errors.push(Error::Duplicate {
                    name: shard.id.to_string(),
                });
            }
            if shard.replicas.is_empty() {
                errors.push(Error::NoReplica {
                    shard: shard.id.clone(),
                });
            }
            let unknown = shard.replicas.iter().filter(|id| !known.contains(id));
            errors.extend(unknown.map(|id| Error::UnknownUpstream {
                shard: shard.id.clone(),
                upstream: id.clone(),
            }));
        }
        errors
    }

    /// Returns the upstream with the name `id`.
    pub fn upstream(&self, id: &ids::Upstream) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| upstream.id == *id)
    }

    /// Returns the shard with the name `id`.
    pub fn shard(&self, id: &ids::Shard) -> Option<&Shard> {
        self.shards.iter().find(|shard| shard.id == *id)
    }
}

/// A layout shared between tasks.
pub type Shared = sync::Arc<Layout>;
