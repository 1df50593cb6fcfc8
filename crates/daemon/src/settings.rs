//! The daemon's settings: JSON with comments, read once at startup.
//!
//! [`FIELDS`] defines the names, ranges and descriptions of all settings,
//! [`Settings::defaults`] their defaults. A process gets its addresses and data
//! centre only from here.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::time;

use geraniumgauge::finding;
use geraniumgauge::ids;
use geraniumgauge::jsonc;
use geraniumgauge::query;
use geraniumgauge::rate;

use crate::fields::FIELDS;

/// Settings of one VM.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Settings {
    /// This VM's name.
    pub(crate) vm: ids::Vm,
    /// Data centre that this VM runs in.
    pub(crate) data_centre: ids::DataCentre,
    /// Address of the HTTP listener for callers.
    pub(crate) callers_address: net::SocketAddr,
    /// Address of the HTTP listener for operators.
    pub(crate) operators_address: net::SocketAddr,
    /// Address at which other VMs reach this one: TCP for mesh links, UDP for membership
    /// messages.
    pub(crate) mesh_address: net::SocketAddr,
    /// Base URL of the platform's store, without a trailing slash.
    pub(crate) store: String,
    /// Mesh addresses of VMs. If the platform's list of VMs is unavailable, this VM
    /// contacts them to join the fleet.
    pub(crate) seeds: Vec<net::SocketAddr>,
    /// Logging settings.
    pub(crate) log: Log,
    /// Times of a graceful stop.
    pub(crate) stop: Stop,
    /// Limits above which input is refused.
    pub(crate) limits: Limits,
    /// How replicas are chosen for the calls of a search, and whether and how calls are
    /// retried or hedged.
    pub(crate) policy: query::Policy,
}

/// Logging settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Log {
    /// Least severe level that is logged.
    pub(crate) level: log::LevelFilter,
    /// Log file, opened for appending; `None` for standard error.
    pub(crate) file: Option<path::PathBuf>,
}

/// Times of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stop {
    /// Time from reporting not ready until new requests are refused, in which the
    /// load balancer notices the change.
    pub(crate) balancer_wait: time::Duration,
    /// Longest wait for running requests after that.
    pub(crate) grace: time::Duration,
}

/// Limits above which input is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Maximum size of a request body.
    pub(crate) max_body: rate::Bytes,
    /// Maximum size of all request bodies together.
    pub(crate) max_bodies: rate::Bytes,
    /// Maximum size of the `query` of a search.
    pub(crate) max_query: rate::Bytes,
    /// Maximum total size of the headers of a request.
    pub(crate) max_headers: rate::Bytes,
    /// Maximum size of a mesh frame.
    pub(crate) max_frame: rate::Bytes,
    /// Maximum number of concurrent caller requests across all services.
    pub(crate) max_concurrent_requests: u32,
}

/// Placeholder for an address that the file must set.
const UNSET_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Returns every finding, ordered by position in the file.
    pub(crate) fn read(path: &path::Path) -> Result<Self, Vec<finding::Finding>> {
        let name = path.display().to_string();
        let text =
            fs::read_to_string(path).map_err(|error| vec![unreadable_file(&name, &error)])?;
        Self::parse(&name, &text)
    }

    /// Parses and checks `text`; findings refer to it as `file`.
    ///
    /// # Errors
    /// Returns every finding, ordered by position in the text.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, Vec<finding::Finding>> {
        let mut settings = Self::defaults();
        let mut parsed = jsonc::read(file, text, FIELDS, &mut settings);
        settings.check_addresses(&mut parsed);
        settings.check_limits(&mut parsed);
        if parsed.findings.is_empty() {
            return Ok(settings);
        }
        parsed.findings.sort_by(|a, b| a.place.cmp(&b.place));
        Err(parsed.findings)
    }

    /// Returns the defaults, with placeholders for the required settings.
    fn defaults() -> Self {
        #[expect(
            clippy::expect_used,
            reason = "the names are constants, and the tests parse them"
        )]
        let (vm, data_centre) = (
            "unset".parse().expect("a valid name"),
            "unset".parse().expect("a valid name"),
        );
        Self {
            vm,
            data_centre,
            callers_address: UNSET_ADDRESS,
            operators_address: UNSET_ADDRESS,
            mesh_address: UNSET_ADDRESS,
            store: String::new(),
            seeds: Vec::new(),
            log: Log {
                level: log::LevelFilter::Info,
                file: None,
            },
            stop: Stop {
                balancer_wait: time::Duration::from_secs(5),
                grace: time::Duration::from_secs(15),
            },
            limits: Limits {
                max_body: rate::Bytes(1 << 20),
                max_bodies: rate::Bytes(64 << 20),
                max_query: rate::Bytes(64 << 10),
                max_headers: rate::Bytes(16 << 10),
                max_frame: rate::Bytes(4 << 20),
                max_concurrent_requests: 2048,
            },
            policy: query::Policy::Full,
        }
    }

    /// Adds a finding for listeners that share an address, and for a mesh address
    /// that other VMs can't connect to. If two listeners have the same address, the
    /// second can't be bound and the VM doesn't start. Some systems accept both listeners
    /// if one has a wildcard address; a caller may then be answered by the operators'
    /// listener (/healthz, /readyz, /metrics).
    fn check_addresses(&self, parsed: &mut jsonc::Reading) {
        let listeners = [
            ("callers", self.callers_address),
            ("operators", self.operators_address),
            ("mesh", self.mesh_address),
        ];
        let assigned = listeners
            .iter()
            .filter(|(_, address)| *address != UNSET_ADDRESS);
        let assigned: Vec<_> = assigned.collect();
        for (index, (name, address)) in assigned.iter().enumerate() {
            let earlier = assigned[..index]
                .iter()
                .find(|(_, other)| overlap(*other, *address));
            if let Some((other, _)) = earlier {
                let problem = format!("{address} is already used by {other}");
                parsed.add(name, problem, "give each listener its own port");
            }
        }
        if self.mesh_address.ip().is_unspecified() && self.mesh_address != UNSET_ADDRESS {
            let problem = format!("other VMs can't connect to {}", self.mesh_address.ip());
            parsed.add("mesh", problem, "give this VM's own IP address");
        }
    }

    /// Adds a finding if the query limit exceeds the body limit (a query is part of a
    /// body), or if a body doesn't fit in a frame (a body is sent to its home VM in one
    /// frame).
    fn check_limits(&self, parsed: &mut jsonc::Reading) {
        let Limits {
            max_body,
            max_bodies,
            max_query,
            max_frame,
            ..
        } = self.limits;
        if max_query > max_body {
            let problem = format!("{max_query} exceeds limits.body_bytes ({max_body})");
            parsed.add(
                "limits.query_bytes",
                problem,
                "lower it or raise limits.body_bytes",
            );
        }
        if max_bodies.0 < max_body.0.saturating_mul(2) {
            let problem = format!("there is no room for two bodies of {max_body} in {max_bodies}");
            parsed.add(
                "limits.bodies_bytes",
                problem,
                "give at least twice limits.body_bytes",
            );
        }
        if max_frame.0 < max_body.0.saturating_add(FRAME_OVERHEAD_BYTES) {
            let problem = format!("a body of {max_body} doesn't fit in a frame of {max_frame}");
            let remedy = format!("give at least limits.body_bytes + {FRAME_OVERHEAD_BYTES}");
            parsed.add("limits.frame_bytes", problem, remedy);
        }
    }
}

/// Minimum by which `limits.frame_bytes` must exceed `limits.body_bytes`, for the other
/// content of the frame.
const FRAME_OVERHEAD_BYTES: u64 = 64 << 10;

/// Returns whether two listeners with these addresses conflict: the same port, and the
/// same IP address or a wildcard.
fn overlap(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let one_is_wildcard = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (one_is_wildcard || a.ip() == b.ip())
}

fn unreadable_file(name: &str, error: &io::Error) -> finding::Finding {
    finding::Finding {
        place: finding::Place::of(name, "", 0),
        path: String::new(),
        problem: format!("failed to read the file: {error}"),
        remedy: "give the path of a settings file that this user can read".to_owned(),
    }
}

/// Returns a list of all settings with type, range, default and description.
pub(crate) fn help() -> String {
    jsonc::help(FIELDS, &Settings::defaults())
}

#[cfg(test)]
#[path = "tests/settings.rs"]
mod tests;
