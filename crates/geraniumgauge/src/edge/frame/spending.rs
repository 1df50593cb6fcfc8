//! What VMs that end have spent of the allowance for extra calls.

use std::collections;
use std::net;

use crate::forward;

/// Says what a VM that ends has spent of the allowance for extra calls: to the VM that
/// keeps it, and from that one to the VM's successor.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct Spending {
    /// The VM's address for messages of other VMs, which its successor has, too.
    #[prost(string, tag = "1")]
    pub(in crate::edge) vm: String,
    /// Its fixed share for its own calls.
    #[prost(double, tag = "2")]
    pub(in crate::edge) own: f64,
    /// Its fixed share for its own and other VMs' calls, if it has one.
    #[prost(double, optional, tag = "3")]
    pub(in crate::edge) lent: Option<f64>,
    /// What it has spent, by service.
    #[prost(message, repeated, tag = "4")]
    pub(in crate::edge) services: Vec<ServiceSpending>,
}

/// The extra calls to a service within a VM's last window.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct ServiceSpending {
    /// The service.
    #[prost(string, tag = "1")]
    pub(in crate::edge) service: String,
    /// Number of calls charged to the budget for its own calls.
    #[prost(uint32, tag = "2")]
    pub(in crate::edge) own: u32,
    /// Number of calls charged to the budget that it lends from.
    #[prost(uint32, tag = "3")]
    pub(in crate::edge) shared: u32,
    /// Whether some of them may not have arrived.
    #[prost(bool, tag = "4")]
    pub(in crate::edge) in_transit: bool,
}

/// Asks a VM for the [`Spending`] of the sender's predecessor, once.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct TakeSpending {
    /// The sender's address for messages of other VMs.
    #[prost(string, tag = "1")]
    pub(in crate::edge) vm: String,
}

impl Spending {
    /// Encodes what the VM at `vm` has spent.
    pub(in crate::edge) fn new(vm: net::SocketAddr, spent: &forward::Spending) -> Self {
        let (own, lent) = spent.shares.fixed();
        let services = spent.services.iter();
        let services = services.map(|(service, spent)| ServiceSpending {
            service: service.to_string(),
            own: spent.own,
            shared: spent.shared,
            in_transit: spent.in_transit,
        });
        Self {
            vm: vm.to_string(),
            own,
            lent,
            services: services.collect(),
        }
    }

    /// Decodes what was spent; `None` if a service's name is invalid.
    pub(in crate::edge) fn read(&self) -> Option<forward::Spending> {
        let mut services = collections::BTreeMap::new();
        for spent in &self.services {
            let on = forward::ServiceSpending {
                own: spent.own,
                shared: spent.shared,
                in_transit: spent.in_transit,
            };
            services.insert(spent.service.parse().ok()?, on);
        }
        Some(forward::Spending {
            shares: forward::Shares::with_fixed(self.own, self.lent),
            services,
        })
    }
}
