//! Predefined sites, with the services and sizes of real ones.

use std::net;
use std::time;

use geraniumgauge::document;
use geraniumgauge::rate;

use crate::site;

/// A predefined site, with the services and sizes of a real one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Preset {
    /// A site that values coverage most.
    Kowhai,
    /// A site that values tail latency most.
    Authority,
}

impl Preset {
    /// Returns the site's services. A service here is a workload of the real site, and its
    /// shards are what the real site calls the services of the workload: a query of the
    /// workload calls all of them.
    pub fn services(self) -> Vec<site::Spec> {
        match self {
            Self::Kowhai => vec![
                small("foreman-search", 20, document::Objective::Coverage),
                small("assessor-desk", 30, document::Objective::Coverage),
                large("consent-lookup", 4, 4, 110),
                large("lab-archive", 3, 4, 110),
            ],
            Self::Authority => vec![
                small("port-inspection", 20, document::Objective::Latency),
                small("landing-intake", 30, document::Objective::Latency),
                large("label-printing", 5, 3, 40),
                large("retail-checking", 3, 3, 40),
            ],
        }
    }
}

/// Number of VMs of a site that `scripts/site` runs.
pub const VM_COUNT: u16 = 8;
/// Offset from the platform's port to the first VM's port for callers.
const CALLERS_PORT_OFFSET: u16 = 10;
/// Offset from the platform's port to the first VM's port for operators.
const OPERATORS_PORT_OFFSET: u16 = 30;

// Addresses of the processes that `scripts/site` starts; it contains the same numbers.
impl Preset {
    /// Returns the platform's port; the other processes have higher ones.
    pub fn platform_port(self) -> u16 {
        match self {
            Self::Kowhai => 17400,
            Self::Authority => 18400,
        }
    }

    /// Returns the platform's base URL.
    pub fn platform_url(self) -> String {
        format!("http://127.0.0.1:{}", self.platform_port())
    }

    /// Returns the addresses of a VM for callers and for operators.
    pub fn vm_addresses(self, number: u16) -> (net::SocketAddr, net::SocketAddr) {
        let address =
            |offset: u16| net::SocketAddr::from(([127, 0, 0, 1], self.platform_port() + offset));
        (
            address(CALLERS_PORT_OFFSET + number),
            address(OPERATORS_PORT_OFFSET + number),
        )
    }
}

/// Number of shards of the services for which the real number isn't known.
const DEFAULT_SHARD_COUNT: usize = 8;

fn small(id: &str, shards: usize, objective: document::Objective) -> site::Spec {
    site::Spec::small(id, shards).with_document(|document| {
        document.objective = objective;
        document.latency_target = time::Duration::from_millis(100);
        document.min_coverage = rate::Share::percent(95);
    })
}

fn large(id: &str, replicas: usize, slots: u32, connections: u32) -> site::Spec {
    let spec = site::Spec::small(id, DEFAULT_SHARD_COUNT);
    site::Spec {
        replicas,
        slots,
        connections,
        connect_ms: 1,
        ..spec
    }
}
