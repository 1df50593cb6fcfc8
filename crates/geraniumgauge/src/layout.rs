//! A service's layout: its shards, and the upstreams that hold their replicas.
//!
//! Stored as `layouts/{service}` by the service's team. A repartition is a new
//! layout with a higher version; queries under way keep the one they pinned.

use std::collections;
use std::net;
use std::sync;

use crate::ids;

/// Store key of a service's layout.
pub fn key(service: &ids::Service) -> String {
    format!("layouts/{service}")
}

/// One version of a service's layout.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Layout {
    /// Grows with each repartition or move of a replica.
    pub version: ids::LayoutVersion,
    /// The upstreams, each named once.
    pub upstreams: Vec<Upstream>,
    /// The shards, each with at least one replica.
    pub shards: Vec<Shard>,
}

/// An upstream server and its means.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its name, unique over all services.
    pub id: ids::Upstream,
    /// Where it listens for HTTP, by IP number.
    pub address: net::SocketAddr,
    /// The data centre it runs in.
    pub data_centre: ids::DataCentre,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts at once, from all VMs together.
    pub connections: u32,
    /// What a new connection costs, in milliseconds.
    pub connect_ms: u32,
}

/// One shard and where its replicas are.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Shard {
    /// Its name, unique within the layout.
    pub id: ids::Shard,
    /// The upstreams that hold a replica of it.
    pub replicas: Vec<ids::Upstream>,
}

/// Why a layout can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A shard names an upstream that the layout doesn't list.
    #[display("shard {shard} names upstream {upstream}, which \"upstreams\" doesn't list")]
    Unknown {
        /// The shard.
        shard: ids::Shard,
        /// The name without an entry.
        upstream: ids::Upstream,
    },
    /// A shard without a replica.
    #[display("shard {shard} has no replica; list at least one upstream")]
    Bare {
        /// The shard.
        shard: ids::Shard,
    },
    /// A name that stands twice.
    #[display("{name} is listed twice; list it once")]
    Twice {
        /// The shard or upstream.
        name: String,
    },
    /// An upstream without slots or connections.
    #[display("upstream {upstream} has no slots or no connections; give 1 or more of each")]
    Useless {
        /// The upstream.
        upstream: ids::Upstream,
    },
}

impl Error {
    /// The shard or upstream that is wrong.
    pub fn name(&self) -> &str {
        match self {
            Self::Unknown { upstream, .. } | Self::Useless { upstream } => upstream.as_str(),
            Self::Bare { shard } => shard.as_str(),
            Self::Twice { name } => name,
        }
    }
}

impl Layout {
    /// Everything wrong with the layout; empty where it can be used.
    pub fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        let mut known = collections::BTreeSet::new();
        for upstream in &self.upstreams {
            if !known.insert(&upstream.id) {
                errors.push(Error::Twice {
                    name: upstream.id.to_string(),
                });
            }
            if upstream.slots == 0 || upstream.connections == 0 {
                errors.push(Error::Useless {
                    upstream: upstream.id.clone(),
                });
            }
        }
        let mut shards = collections::BTreeSet::new();
        for shard in &self.shards {
            if !shards.insert(&shard.id) {
                errors.push(Error::Twice {
                    name: shard.id.to_string(),
                });
            }
            if shard.replicas.is_empty() {
                errors.push(Error::Bare {
                    shard: shard.id.clone(),
                });
            }
            let unknown = shard.replicas.iter().filter(|id| !known.contains(id));
            errors.extend(unknown.map(|id| Error::Unknown {
                shard: shard.id.clone(),
                upstream: id.clone(),
            }));
        }
        errors
    }

    /// The upstream named `id`.
    pub fn upstream(&self, id: &ids::Upstream) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| upstream.id == *id)
    }

    /// The shard named `id`.
    pub fn shard(&self, id: &ids::Shard) -> Option<&Shard> {
        self.shards.iter().find(|shard| shard.id == *id)
    }
}

/// A layout shared between tasks.
pub type Shared = sync::Arc<Layout>;
