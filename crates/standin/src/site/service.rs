//! One service of a site: its upstreams, layout and document.

use std::io;
use std::net;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::store;

use crate::platform;
use crate::site;
use crate::upstream;

/// What a service is made of.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its name.
    pub id: ids::Service,
    /// How many shards it has.
    pub shards: usize,
    /// Replicas of each shard, each on an upstream of its own.
    pub replicas: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Connections each upstream takes.
    pub connections: u32,
    /// What a new connection costs, in milliseconds.
    pub connect_ms: u32,
    /// Median time of a request at an upstream, in milliseconds.
    pub work_ms: f64,
    /// The team's document.
    pub document: document::Document,
}

impl Spec {
    /// A service like the users' small ones: 2 replicas with 2 slots.
    pub fn small(id: &str, shards: usize) -> Self {
        Self {
            id: named(id.to_owned()),
            shards,
            replicas: 2,
            slots: 2,
            connections: 25,
            connect_ms: 6,
            work_ms: 4.0,
            document: document::Document::default(),
        }
    }

    /// The same with another document.
    pub fn with(self, change: impl FnOnce(&mut document::Document)) -> Self {
        let mut spec = self;
        change(&mut spec.document);
        spec
    }
}

/// A service with its running upstreams.
#[derive(Debug)]
pub struct Service {
    spec: Spec,
    /// The upstreams, by shard and then replica.
    pub upstreams: Vec<upstream::Server>,
    /// The layout they make up.
    pub layout: layout::Layout,
}

impl Service {
    /// Starts the upstreams, on free ports or on consecutive ones from `first_port`.
    ///
    /// # Errors
    /// Where one can't listen.
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

    /// Puts the document and the layout into the platform's store.
    pub fn publish(&self, platform: &platform::Server) {
        platform.state().objects(|objects| {
            for (key, body) in self.objects() {
                let _ = objects.put(&key, body, store::Condition::Any);
            }
        });
    }

    /// The store's objects that make the service known, by key.
    pub fn objects(&self) -> [(String, bytes::Bytes); 2] {
        let id = &self.spec.id;
        let document = serde_json::to_vec_pretty(&self.spec.document).unwrap_or_default();
        let layout = serde_json::to_vec(&self.layout).unwrap_or_default();
        [
            (layout::key(id), layout.into()),
            (format!("documents/{id}"), document.into()),
        ]
    }

    /// Its name.
    pub fn id(&self) -> &ids::Service {
        &self.spec.id
    }

    /// What it is made of.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The upstream of a shard's replica.
    pub fn replica(&self, shard: usize, replica: usize) -> &upstream::Server {
        &self.upstreams[shard * self.spec.replicas + replica]
    }

    /// Changes the faults of every upstream.
    pub fn set_faults(&self, change: impl Fn(&mut upstream::Faults)) {
        for upstream in &self.upstreams {
            upstream.state().set_faults(&change);
        }
    }

    /// Counts over all upstreams; peaks are the highest of any.
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

    /// Records run by any upstream.
    pub fn runs(&self) -> Vec<upstream::Run> {
        self.upstreams
            .iter()
            .flat_map(|upstream| upstream.state().runs())
            .collect()
    }

    /// Searches a second that all slots together can run, where each touches
    /// every shard once.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.spec.slots) * self.spec.replicas as f64;
        slots * 1000.0 / self.spec.work_ms
    }
}

impl Spec {
    fn upstream(&self, shard: usize, replica: usize, seed: u64) -> upstream::Config {
        let number = (shard * self.replicas + replica) as u64;
        upstream::Config {
            id: named(format!("{}-{shard}-{replica}", self.id)),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            shards: vec![shard_id(shard)],
            slots: self.slots,
            queue: self.slots,
            connections: self.connections,
            connect_ms: u64::from(self.connect_ms),
            work_ms: self.work_ms,
            seed: seed.wrapping_mul(7919).wrapping_add(number),
        }
    }

    fn layout(&self, upstreams: &[upstream::Server], data_centres: usize) -> layout::Layout {
        let entry = |(number, server): (usize, &upstream::Server)| layout::Upstream {
            id: server.state().config().id.clone(),
            address: server.address(),
            data_centre: site::data_centre(
                number / self.replicas + number % self.replicas,
                data_centres,
            ),
            slots: self.slots,
            connections: self.connections,
            connect_ms: self.connect_ms,
        };
        let replicas = |shard: usize| {
            let first = shard * self.replicas;
            let held = &upstreams[first..first + self.replicas];
            held.iter()
                .map(|server| server.state().config().id.clone())
                .collect()
        };
        layout::Layout {
            version: ids::LayoutVersion(1),
            upstreams: upstreams.iter().enumerate().map(entry).collect(),
            shards: (0..self.shards)
                .map(|shard| layout::Shard {
                    id: shard_id(shard),
                    replicas: replicas(shard),
                })
                .collect(),
        }
    }
}

/// The id of a service's `number`th shard.
pub fn shard_id(number: usize) -> ids::Shard {
    named(format!("shard-{number}"))
}

/// An identifier from a text known to be one.
#[expect(
    clippy::expect_used,
    reason = "the texts are made of letters, digits and dashes"
)]
pub fn named<T: std::str::FromStr<Err = ids::Error>>(text: String) -> T {
    text.parse().expect("a valid identifier")
}
