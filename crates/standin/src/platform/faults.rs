//! Faults of the platform, set by `POST /control/faults` or directly in the process.

/// Faults to inject into the platform. By default none are, and the lag of the list of
/// VMs and the rate limits have their normal values.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 and has no effect.
    pub down: bool,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Share of successful writes after which the connection is closed without a reply.
    pub lose_replies: f64,
    /// Calls are received but never answered; writes still take effect.
    pub silent: bool,
    /// Watches report no changes; each one ends empty when its wait is over.
    pub deaf_watches: bool,
    /// Time after which clients see a new list of VMs, in milliseconds.
    pub list_lag_ms: u64,
    /// Maximum writes per second; more are refused with 503.
    pub writes_per_s: f64,
    /// Maximum reads per second, including watches; more are refused with 503.
    pub reads_per_s: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            lose_replies: 0.0,
            silent: false,
            deaf_watches: false,
            list_lag_ms: 1000,
            writes_per_s: 400.0,
            reads_per_s: 2000.0,
        }
    }
}
