//! The daemon's settings: JSON with comments, read once at the start.
//!
//! [`FIELDS`] is the one place for names, ranges and meanings; defaults are
//! those of [`Settings::blank`]. A process learns its addresses and data centre
//! here and nowhere else.

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

/// How this process is set up.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Settings {
    /// This VM's name.
    pub(crate) vm: ids::Vm,
    /// Where it runs.
    pub(crate) data_centre: ids::DataCentre,
    /// Address for callers, HTTP.
    pub(crate) callers: net::SocketAddr,
    /// Address for operators, HTTP.
    pub(crate) operators: net::SocketAddr,
    /// Address for other VMs: TCP for links and UDP for probes.
    pub(crate) mesh: net::SocketAddr,
    /// Base URL of the platform's object API, without a slash at the end.
    pub(crate) store: String,
    /// Mesh addresses to join by while the platform's list can't be had.
    pub(crate) seeds: Vec<net::SocketAddr>,
    /// What is logged, and where to.
    pub(crate) log: Log,
    /// How a stop goes.
    pub(crate) stop: Stop,
    /// Sizes and counts beyond which input is refused.
    pub(crate) limits: Limits,
    /// How fan-outs are run.
    pub(crate) policy: query::Policy,
}

/// What is logged, and where to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Log {
    /// Least severe level that is written.
    pub(crate) level: log::LevelFilter,
    /// File to add to; `None` for standard error.
    pub(crate) file: Option<path::PathBuf>,
}

/// How a stop goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stop {
    /// From turning readiness off until new requests are refused: the balancer
    /// needs this long to notice.
    pub(crate) balancer_wait: time::Duration,
    /// Longest wait for requests under way after that.
    pub(crate) grace: time::Duration,
}

/// Sizes and counts beyond which input is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Largest request body.
    pub(crate) body: rate::Bytes,
    /// Largest `query` within a search.
    pub(crate) query: rate::Bytes,
    /// Largest set of request headers.
    pub(crate) header: rate::Bytes,
    /// Largest frame between VMs.
    pub(crate) frame: rate::Bytes,
    /// Requests of callers that run at once, of all services together.
    pub(crate) requests: u32,
}

const NOWHERE: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Everything wrong with it, in the order of the text.
    pub(crate) fn read(path: &path::Path) -> Result<Self, Vec<finding::Finding>> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| vec![unreadable(&name, &error)])?;
        Self::parse(&name, &text)
    }

    /// Checks `text`; `file` names it in the findings.
    ///
    /// # Errors
    /// Everything wrong with it, in the order of the text.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, Vec<finding::Finding>> {
        let mut settings = Self::blank();
        let mut reading = jsonc::read(file, text, FIELDS, &mut settings);
        settings.check_addresses(&mut reading);
        settings.check_limits(&mut reading);
        if reading.findings.is_empty() {
            return Ok(settings);
        }
        reading.findings.sort_by(|a, b| a.place.cmp(&b.place));
        Err(reading.findings)
    }

    /// The defaults, with placeholders for what every file must give.
    fn blank() -> Self {
        #[expect(clippy::expect_used, reason = "constants that the tests read")]
        let (vm, data_centre) = (
            "unset".parse().expect("a valid name"),
            "unset".parse().expect("a valid name"),
        );
        Self {
            vm,
            data_centre,
            callers: NOWHERE,
            operators: NOWHERE,
            mesh: NOWHERE,
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
                body: rate::Bytes(1 << 20),
                query: rate::Bytes(64 << 10),
                header: rate::Bytes(16 << 10),
                frame: rate::Bytes(4 << 20),
                requests: 2048,
            },
            policy: query::Policy::Full,
        }
    }

    /// Two listeners on one address: the second one's bind fails at the start,
    /// or callers reach the operators' pages.
    fn check_addresses(&self, reading: &mut jsonc::Reading) {
        let listeners = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("mesh", self.mesh),
        ];
        let set = listeners.iter().filter(|(_, address)| *address != NOWHERE);
        let set: Vec<_> = set.collect();
        for (index, (name, address)) in set.iter().enumerate() {
            let earlier = set[..index]
                .iter()
                .find(|(_, other)| clash(*other, *address));
            if let Some((other, _)) = earlier {
                let problem = format!("{address} is the address of {other} too");
                reading.add(name, problem, "give each its own port");
            }
        }
        if self.mesh.ip().is_unspecified() && self.mesh != NOWHERE {
            let problem = format!("other VMs can't connect to {}", self.mesh.ip());
            reading.add("mesh", problem, "give the VM's own IP number");
        }
    }

    /// A query is part of a body and a body must fit in a frame to the home.
    fn check_limits(&self, reading: &mut jsonc::Reading) {
        let Limits {
            body, query, frame, ..
        } = self.limits;
        if query > body {
            let problem = format!("{query} exceed limits.body_bytes, {body}");
            reading.add("limits.query_bytes", problem, "lower it or raise the other");
        }
        if frame.0 < body.0.saturating_add(FRAME_MARGIN) {
            let problem = format!("a body of {body} doesn't fit in a frame of {frame}");
            let remedy = format!("give at least limits.body_bytes + {FRAME_MARGIN}");
            reading.add("limits.frame_bytes", problem, remedy);
        }
    }
}

/// What a frame holds besides a caller's body, in bytes.
const FRAME_MARGIN: u64 = 64 << 10;

fn clash(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (any || a.ip() == b.ip())
}

fn unreadable(name: &str, error: &io::Error) -> finding::Finding {
    finding::Finding {
        place: finding::Place::of(name, "", 0),
        path: String::new(),
        problem: format!("the file can't be read: {error}"),
        remedy: "give the path of a settings file that this user may read".to_owned(),
    }
}

/// A page that names each setting with its type, range, default and meaning.
pub(crate) fn help() -> String {
    jsonc::help(FIELDS, &Settings::blank())
}

#[cfg(test)]
#[path = "tests/settings.rs"]
mod tests;
