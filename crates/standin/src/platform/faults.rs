//! Faults of the platform, set by `POST /control/faults` or in process.

/// What is wrong with the platform; the default is nothing.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 and has no effect.
    pub down: bool,
    /// Each call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Of writes that take effect, this share closes the connection instead of
    /// answering.
    pub lose_replies: f64,
    /// Calls are read and never answered; writes among them take effect.
    pub silent: bool,
    /// Watches stay silent: no change is reported before their time is over.
    pub deaf_watches: bool,
    /// How old the list of VMs is, in milliseconds.
    pub list_lag_ms: u64,
    /// Writes a second it takes; more are refused with 503.
    pub writes_per_s: f64,
    /// Reads a second it takes, watches among them; more are refused with 503.
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
