//! How often membership does what, and what it may spend.

use std::time;

use crate::rate;

/// Intervals and bounds. The defaults fit data centres a few milliseconds apart.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How often time is looked at.
    pub tick: time::Duration,
    /// One member is probed each interval.
    pub probe: time::Duration,
    /// An unanswered probe goes through others after this.
    pub direct: time::Duration,
    /// Members that are asked to probe on our behalf.
    pub relays: usize,
    /// Probe intervals that a suspect has to refute; times the logarithm of
    /// the number of members.
    pub suspicion: u32,
    /// How often news is told.
    pub gossip: time::Duration,
    /// Members that news is told to each time.
    pub fanout: usize,
    /// News is told to the logarithm of the number of members plus so many; of
    /// those, about one in e to that power misses it and finds it by comparing.
    pub retransmit: u32,
    /// What is held is compared with one member this often, at least.
    pub sync: time::Duration,
    /// Datagrams that answer one comparison.
    pub sync_datagrams: usize,
    /// One of the dead, or an address that may hold a member, is tried this often.
    pub retry: time::Duration,
    /// The dead are remembered so long.
    pub tombstone: time::Duration,
    /// What gossip and comparisons may send, with headers.
    pub bytes: rate::PerSecond,
    /// Bytes they may send at once after a quiet time.
    pub burst: f64,
    /// What urgent rumours may send beyond that, when it's spent.
    pub reserve: rate::PerSecond,
    /// A gap between ticks above this means that this VM was paused.
    pub pause: time::Duration,
    /// Rumours held of each topic.
    pub rumours: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick: time::Duration::from_millis(100),
            probe: time::Duration::from_secs(1),
            direct: time::Duration::from_millis(300),
            relays: 3,
            suspicion: 3,
            gossip: time::Duration::from_millis(200),
            fanout: 3,
            retransmit: 2,
            sync: time::Duration::from_secs(10),
            sync_datagrams: 8,
            retry: time::Duration::from_secs(3),
            tombstone: time::Duration::from_secs(24 * 3600),
            bytes: rate::PerSecond(8_000.0),
            burst: 16_000.0,
            reserve: rate::PerSecond(2_000.0),
            pause: time::Duration::from_secs(1),
            rumours: 8192,
        }
    }
}
