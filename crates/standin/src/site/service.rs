//! A service of a site: its upstreams, layout and document.

use std::io;
use std::net;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::store;

use crate::platform;
use crate::site;
use crate::upstream;

/// Specification of a service.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name of the service.
    pub id: ids::Service,
    /// Number of shards.
    pub shards: usize,
    /// Number of replicas of each shard; every replica has its own upstream.
    pub replicas: usize,
    /// Maximum number of requests that an upstream runs at the same time.
    pub slots: u32,
    /// Maximum number of connections to an upstream.
    pub connections: u32,
    /// Time to set up a connection to an upstream, in milliseconds.
    pub connect_ms: u32,
    /// Median running time of a request at an upstream, in milliseconds.
    pub median_running_time_ms: f64,
    /// Document of the service's team.
    pub document: document::Document,
}

impl Spec {
    /// Returns the specification of a small service: 2 replicas of each shard, each with 2
    /// slots and a median running time of 4 ms.
    pub fn small(id: &str, shards: usize) -> Self {
        Self {
            id: parse_id(id.to_owned()),
            shards,
            replicas: 2,
            slots: 2,
            connections: 25,
            connect_ms: 6,
            median_running_time_ms: 4.0,
            document: document::Document::default(),
        }
    }

    /// Returns the specification with `change` applied to its document.
    pub fn with_document(self, change: impl FnOnce(&mut document::Document)) -> Self {
        let mut spec = self;
        change(&mut spec.document);
        spec
    }
}

/// A service and its running upstreams.
#[derive(Debug)]
pub struct Service {
    spec: Spec,
    /// Upstreams, ordered by shard and then by replica.
    pub upstreams: Vec<upstream::Server>,
    /// Layout that lists the upstreams and shards.
    pub layout: layout::Layout,
}

impl Service {
    /// Starts the upstreams on consecutive ports from `first_port`, or on free ports.
    ///
    /// # Errors
    /// If an upstream can't listen.
    pub async fn start(
        spec: Spec,
        data_centres: usize,
        seed: u64,
        first_port: Option<u16>,
    ) -> io::Result<Self> {
        let mut upstreams = Vec::new();
        for shard in 0..spec.shards {
            for replica in 0..spec.replicas {
                let mut config = spec.upstream(shard, replica, seed);
                let offset = u16::try_from(upstreams.len()).unwrap_or(u16::MAX);
                config
                    .address
                    .set_port(first_port.map_or(0, |port| port.saturating_add(offset)));
                upstreams.push(upstream::Server::start(config).await?);
            }
        }
        let layout = spec.layout(&upstreams, data_centres);
        Ok(Self {
            spec,
            upstreams,
            layout,
        })
    }

    /// Writes the document and the layout to the platform's store.
    pub fn publish(&self, platform: &platform::Server) {
        platform.state().objects(|objects| {
            for (key, body) in self.objects() {
                let _ = objects.put(&key, body, store::Condition::Any);
            }
        });
    }

    /// Returns the objects that describe the service in the store, with their keys.
    pub fn objects(&self) -> [(String, bytes::Bytes); 2] {
        let id = &self.spec.id;
        let document = serde_json::to_vec_pretty(&self.spec.document).unwrap_or_default();
        let layout = serde_json::to_vec(&self.layout).unwrap_or_default();
        [
            (layout::key(id), layout.into()),
            (format!("documents/{id}"), document.into()),
        ]
    }

    /// Returns the service's name.
    pub fn id(&self) -> &ids::Service {
        &self.spec.id
    }

    /// Returns the specification that it was started with.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the upstream of a replica, by the indexes of shard and replica.
    pub fn replica(&self, shard: usize, replica: usize) -> &upstream::Server {
        &self.upstreams[shard * self.spec.replicas + replica]
    }

    /// Changes the faults of every upstream.
    pub fn set_faults(&self, change: impl Fn(&mut upstream::Faults)) {
        for upstream in &self.upstreams {
            upstream.state().set_faults(&change);
        }
    }

    /// Returns the counts summed over all upstreams; peaks are the highest of any one.
    pub fn counts(&self) -> upstream::Counts {
        let mut sum = upstream::Counts::default();
        for counts in self
            .upstreams
            .iter()
            .map(|upstream| upstream.state().counts())
        {
            sum.add(&counts);
        }
        sum
    }

    /// Returns the registrations that ran at any upstream.
    pub fn runs(&self) -> Vec<upstream::Run> {
        self.upstreams
            .iter()
            .flat_map(|upstream| upstream.state().runs())
            .collect()
    }

    /// Returns the number of searches per second that the slots can run if each search
    /// calls every shard once.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.spec.slots) * self.spec.replicas as f64;
        slots * 1000.0 / self.spec.median_running_time_ms
    }
}

impl Spec {
    fn upstream(&self, shard: usize, replica: usize, seed: u64) -> upstream::Config {
        let number = (shard * self.replicas + replica) as u64;
        upstream::Config {
            id: parse_id(format!("{}-{shard}-{replica}", self.id)),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            shards: vec![shard_id(shard)],
            slots: self.slots,
            queue: self.slots,
            connections: self.connections,
            connect_ms: u64::from(self.connect_ms),
            median_running_time_ms: self.median_running_time_ms,
            seed: seed.wrapping_mul(7919).wrapping_add(number),
        }
    }

    fn layout(&self, upstreams: &[upstream::Server], data_centres: usize) -> layout::Layout {
        // The replicas of a shard are in successive data centres, which start one further for
        // each shard.
        let upstream = |(number, server): (usize, &upstream::Server)| {
            let (shard, replica) = (number / self.replicas, number % self.replicas);
            layout::Upstream {
                id: server.state().config().id.clone(),
                address: server.address(),
                data_centre: site::data_centre(shard + replica, data_centres),
                slots: self.slots,
                connections: self.connections,
                connect_ms: self.connect_ms,
            }
        };
        let replicas = |shard: usize| {
            let first = shard * self.replicas;
            let servers = &upstreams[first..first + self.replicas];
            servers
                .iter()
                .map(|server| server.state().config().id.clone())
                .collect()
        };
        layout::Layout {
            version: ids::LayoutVersion(1),
            upstreams: upstreams.iter().enumerate().map(upstream).collect(),
            shards: (0..self.shards)
                .map(|shard| layout::Shard {
                    id: shard_id(shard),
                    replicas: replicas(shard),
                })
                .collect(),
        }
    }
}

/// Returns the id of a service's `number`th shard.
pub fn shard_id(number: usize) -> ids::Shard {
    parse_id(format!("shard-{number}"))
}

/// Parses an identifier from text that is known to be valid.
#[expect(
    clippy::expect_used,
    reason = "the texts are made of letters, digits and dashes"
)]
pub fn parse_id<T: std::str::FromStr<Err = ids::Error>>(text: String) -> T {
    text.parse().expect("a valid identifier")
}
