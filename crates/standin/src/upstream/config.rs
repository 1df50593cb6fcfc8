//! What an upstream stand-in is, and what is wrong with it.

use std::net;

use geraniumgauge::ids;

/// An upstream's make; it doesn't change while it runs.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub id: ids::Upstream,
    /// Where to listen; port 0 picks a free one.
    pub address: net::SocketAddr,
    /// The shards it holds.
    pub shards: Vec<ids::Shard>,
    /// Requests it runs at once.
    pub slots: u32,
    /// Requests that wait beyond these; more are shed.
    pub queue: u32,
    /// Connections at once; more are closed as they come.
    pub connections: u32,
    /// What a new connection costs, in milliseconds.
    pub connect_ms: u64,
    /// Median time a request runs, in milliseconds.
    pub work_ms: f64,
    /// Seeds its random numbers.
    pub seed: u64,
}

/// What is wrong with an upstream; the default is nothing.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to each request's running time, in milliseconds.
    pub delay_ms: u64,
    /// This share of requests is a straggler.
    pub straggler_share: f64,
    /// A straggler runs this many times as long.
    pub straggler_factor: f64,
    /// Connections open now are never answered again; new ones work.
    pub silence_open: bool,
    /// No connection is answered.
    pub silent: bool,
    /// A request whose query or record holds this text crashes the upstream.
    pub crash_text: String,
    /// Time from a crash to listening again, in milliseconds.
    pub restart_ms: u64,
    /// After a start, requests run this many times as long at first, ...
    pub cold_factor: f64,
    /// ... falling to once over this time, in milliseconds.
    pub cold_ms: u64,
    /// New work is refused as draining; running work is finished.
    pub draining: bool,
    /// This share of requests is shed whatever the load.
    pub shed_share: f64,
    /// `/health` and `/load` claim this status and this load.
    pub health_lie: Option<String>,
    /// `/health` and `/load` tell what held this long ago, in milliseconds.
    pub health_lag_ms: u64,
    /// This share of replies is for another request or shard.
    pub crossed_share: f64,
    /// This share of replies names another index version than asked for.
    pub wrong_version_share: f64,
    /// Of requests that ran, this share closes the connection without a reply.
    pub lose_replies: f64,
    /// Oldest index version offered.
    pub oldest: u64,
    /// Newest index version offered.
    pub newest: u64,
    /// Layout it reports; requests of older or newer layouts run all the same
    /// where it holds the shard.
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
