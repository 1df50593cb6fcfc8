//! The users' sites of today, by the sizes that they gave.

use std::time;

use geraniumgauge::document;
use geraniumgauge::rate;

use crate::site;

/// One of the users' sites.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    derive_more::Display,
    derive_more::FromStr
)]
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
