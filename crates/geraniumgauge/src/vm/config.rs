//! What a VM is given at its start.

use std::net;
use std::time;

use crate::http;
use crate::ids;
use crate::query;
use crate::rate;
use crate::vm;

/// A VM's settings, checked.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub vm: ids::Vm,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Address for callers, HTTP; port 0 picks a free one.
    pub callers: net::SocketAddr,
    /// Address for operators, HTTP.
    pub operators: net::SocketAddr,
    /// Address for other VMs, TCP and UDP.
    pub mesh: net::SocketAddr,
    /// Base URL of the platform's object API.
    pub store: String,
    /// Mesh addresses to join by while the platform's list can't be had.
    pub seeds: Vec<net::SocketAddr>,
    /// How fan-outs are run.
    pub policy: query::Policy,
    /// Limits on what callers send.
    pub limits: http::Limits,
    /// Largest frame between VMs.
    pub frame: rate::Bytes,
    /// From turning readiness off until nothing new is let in.
    pub balancer_wait: time::Duration,
    /// Longest wait for requests under way after that.
    pub grace: time::Duration,
}

/// Largest frame between VMs, where the settings name none.
const FRAME: rate::Bytes = rate::Bytes(8 << 20);

impl Config {
    /// Settings with the defaults, on free loopback ports.
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
            frame: FRAME,
            balancer_wait: vm::BALANCER_WAIT,
            grace: vm::GRACE,
        }
    }
}
