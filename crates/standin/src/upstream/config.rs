//! Configuration and faults of a stand-in upstream.

use std::net;

use geraniumgauge::ids;

/// Configuration of an upstream, fixed while it runs.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the upstream.
    pub id: ids::Upstream,
    /// Address to listen on; port 0 picks a free port.
    pub address: net::SocketAddr,
    /// Shards that it serves.
    pub shards: Vec<ids::Shard>,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; more are shed.
    pub queue: u32,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: u32,
    /// Delay before the first request of a new connection is read, in milliseconds.
    pub connect_ms: u64,
    /// Median running time of a request, in milliseconds.
    pub median_running_time_ms: f64,
    /// Seed of its random number generator.
    pub seed: u64,
}

/// Faults to inject into an upstream, and the versions that it reports. By default no
/// fault is active.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay added to the running time of each request, in milliseconds.
    pub delay_ms: u64,
    /// Share of requests that are stragglers.
    pub straggler_share: f64,
    /// Factor on the running time of a straggler.
    pub straggler_factor: f64,
    /// Connections that are open when this is set get no more replies; new ones work.
    pub silence_open: bool,
    /// No connection gets a reply.
    pub silent: bool,
    /// A request whose body contains this text crashes the upstream; empty turns this off.
    pub crash_text: String,
    /// Time from a crash until it listens again, in milliseconds.
    pub restart_ms: u64,
    /// Factor on running times just after a start; it falls to 1 over `cold_ms`.
    pub cold_factor: f64,
    /// Time after a start until requests run at normal speed, in milliseconds.
    pub cold_ms: u64,
    /// New requests are refused as draining; those admitted before finish.
    pub draining: bool,
    /// Share of requests that are shed regardless of the load.
    pub shed_share: f64,
    /// Status that `/health` and `/load` report instead of the real one; they then also report
    /// 0 running and 0 queued requests.
    pub health_lie: Option<String>,
    /// Age of the state that `/health` and `/load` report, in milliseconds.
    pub health_lag_ms: u64,
    /// Share of replies that carry the id of another request.
    pub crossed_share: f64,
    /// Share of replies that carry another index version than the requested one.
    pub wrong_version_share: f64,
    /// Share of requests that run but whose connection is closed without a reply.
    pub lose_replies: f64,
    /// Oldest index version that it serves.
    pub oldest: u64,
    /// Newest index version that it serves.
    pub newest: u64,
    /// Layout version that it reports. Requests with an older or newer layout version
    /// still run if it holds the shard.
    pub layout: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            straggler_share: 0.0,
            straggler_factor: 30.0,
            silence_open: false,
            silent: false,
            crash_text: "crash-the-upstream".to_owned(),
            restart_ms: 1000,
            cold_factor: 1.0,
            cold_ms: 0,
            draining: false,
            shed_share: 0.0,
            health_lie: None,
            health_lag_ms: 500,
            crossed_share: 0.0,
            wrong_version_share: 0.0,
            lose_replies: 0.0,
            oldest: 1,
            newest: 3,
            layout: 1,
        }
    }
}
