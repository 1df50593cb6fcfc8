//! The users' sites of today, by the sizes that they gave.

use std::net;
use std::time;

use geraniumgauge::document;
use geraniumgauge::rate;

use crate::site;

/// One of the users' sites.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Name {
    /// Weighs coverage most.
    Kowhai,
    /// Weighs tail latency most.
    Authority,
}

impl Name {
    /// The site's services. What the users call a service of a workload is one
    /// shard here: a query of the workload touches them all.
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

/// VMs of a site that `scripts/site` runs.
pub const VMS: u16 = 8;
const CALLERS: u16 = 10;
const OPERATORS: u16 = 30;

/// Where `scripts/site` puts a site's processes; the script has the same numbers.
impl Name {
    /// The platform's port; the others lie above it.
    pub fn base(self) -> u16 {
        match self {
            Self::Kowhai => 17400,
            Self::Authority => 18400,
        }
    }

    /// The platform's URL.
    pub fn platform(self) -> String {
        format!("http://127.0.0.1:{}", self.base())
    }

    /// The addresses of a VM for callers and for operators.
    pub fn vm(self, number: u16) -> (net::SocketAddr, net::SocketAddr) {
        let at = |offset: u16| net::SocketAddr::from(([127, 0, 0, 1], self.base() + offset));
        (at(CALLERS + number), at(OPERATORS + number))
    }
}

/// Shards of the workloads whose count the users left open.
const LARGE_SHARDS: usize = 8;

fn small(id: &str, shards: usize, objective: document::Objective) -> site::Spec {
    site::Spec::small(id, shards).with(|document| {
        document.objective = objective;
        document.latency_target = time::Duration::from_millis(100);
        document.min_coverage = rate::Share::percent(95);
    })
}

fn large(id: &str, replicas: usize, slots: u32, connections: u32) -> site::Spec {
    let spec = site::Spec::small(id, LARGE_SHARDS);
    site::Spec {
        replicas,
        slots,
        connections,
        connect_ms: 1,
        ..spec
    }
}
