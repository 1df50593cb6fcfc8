//! Intervals of the membership protocol and the bandwidth it may use.

use std::time;

use crate::rate;

/// Intervals and limits. The defaults suit data centres a few milliseconds apart.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Interval at which timers are checked.
    pub tick_interval: time::Duration,
    /// Interval between probes; each probes one member.
    pub probe_interval: time::Duration,
    /// Time without an answer after which other members are asked to probe.
    pub direct_timeout: time::Duration,
    /// Number of members that are asked to probe on this VM's behalf.
    pub relays: usize,
    /// Time after which a suspect that hasn't refuted the suspicion is declared dead,
    /// in probe intervals; multiplied by the decimal logarithm of the number of
    /// members, or by 1 if there are fewer than ten.
    pub suspicion_intervals: u32,
    /// Interval between gossip rounds.
    pub gossip_interval: time::Duration,
    /// Members that receive updates in each gossip round.
    pub fanout: usize,
    /// An update is sent log2(members) times plus this many. With n extra
    /// transmissions, a fraction of about e^-n of the members misses the update and
    /// gets it by comparing digests.
    pub extra_retransmissions: u32,
    /// Longest interval between digest comparisons with a random member.
    pub sync_interval: time::Duration,
    /// Most datagrams sent in answer to one digest.
    pub max_sync_datagrams: usize,
    /// Interval between probes of dead members and of seed addresses whose member isn't
    /// known.
    pub dead_probe_interval: time::Duration,
    /// Time for which a dead member is remembered.
    pub tombstone_lifetime: time::Duration,
    /// Time for which the death of a VM is remembered that this VM never held as live.
    /// Longer than outdated records of it as live may still be received.
    pub unknown_tombstone_lifetime: time::Duration,
    /// Bandwidth of gossip and digest comparisons, headers included.
    pub byte_rate: rate::PerSecond,
    /// Bytes that gossip and digest comparisons may send in a burst after an idle
    /// period.
    pub burst_bytes: f64,
    /// Additional bandwidth of urgent updates once `byte_rate` is used up.
    pub urgent_byte_rate: rate::PerSecond,
    /// A longer gap between ticks means that this process was paused.
    pub pause_threshold: time::Duration,
    /// Number of updates kept of each topic.
    pub max_updates_per_topic: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick_interval: time::Duration::from_millis(100),
            probe_interval: time::Duration::from_secs(1),
            direct_timeout: time::Duration::from_millis(300),
            relays: 3,
            suspicion_intervals: 3,
            gossip_interval: time::Duration::from_millis(200),
            fanout: 3,
            extra_retransmissions: 2,
            sync_interval: time::Duration::from_secs(10),
            max_sync_datagrams: 8,
            dead_probe_interval: time::Duration::from_secs(3),
            tombstone_lifetime: time::Duration::from_secs(24 * 3600),
            unknown_tombstone_lifetime: time::Duration::from_secs(600),
            byte_rate: rate::PerSecond(8_000.0),
            burst_bytes: 16_000.0,
            urgent_byte_rate: rate::PerSecond(2_000.0),
            pause_threshold: time::Duration::from_secs(1),
            max_updates_per_topic: 8192,
        }
    }
}
