//! Settings of a VM.

use std::net;
use std::time;

use crate::http;
use crate::ids;
use crate::query;
use crate::rate;
use crate::vm;

/// Validated settings of a VM.
#[derive(Debug, Clone)]
pub struct Config {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Data centre in which the VM runs.
    pub data_centre: ids::DataCentre,
    /// HTTP address for callers; port 0 picks a free one.
    pub callers: net::SocketAddr,
    /// HTTP address for operators.
    pub operators: net::SocketAddr,
    /// Address for other VMs, TCP and UDP.
    pub mesh: net::SocketAddr,
    /// Base URL of the platform's object API.
    pub store: String,
    /// Mesh addresses of VMs to join through while the platform's list of VMs is
    /// unavailable.
    pub seeds: Vec<net::SocketAddr>,
    /// Policy for running fan-outs.
    pub policy: query::Policy,
    /// Limits on callers' requests.
    pub limits: http::Limits,
    /// Largest frame between VMs.
    pub max_frame: rate::Bytes,
    /// Delay between reporting that the VM is not ready and waiting for its requests to
    /// end. It gives the balancer time to stop sending requests.
    pub balancer_wait: time::Duration,
    /// Longest wait, after `balancer_wait`, for running requests to end.
    pub drain_timeout: time::Duration,
}

/// Default of the largest frame between VMs.
const DEFAULT_MAX_FRAME: rate::Bytes = rate::Bytes(8 << 20);

impl Config {
    /// Returns the default settings, with free loopback ports.
    pub fn new(vm: ids::Vm, data_centre: ids::DataCentre, store: String) -> Self {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            vm,
            data_centre,
            callers: any,
            operators: any,
            mesh: any,
            store,
            seeds: Vec::new(),
            policy: query::Policy::Full,
            limits: http::Limits::default(),
            max_frame: DEFAULT_MAX_FRAME,
            balancer_wait: vm::DEFAULT_BALANCER_WAIT,
            drain_timeout: vm::DEFAULT_DRAIN_TIMEOUT,
        }
    }
}
