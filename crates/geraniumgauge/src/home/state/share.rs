//! What part of an upstream's means one home may use.

use crate::home::placement;
use crate::layout;

/// Of the upstream's connections, in percent, for its primary home.
const PRIMARY_PERCENT: u32 = 30;
/// Of the upstream's connections, in percent, for each other home.
const OTHER_PERCENT: u32 = 10;
/// Of the upstream's connections, in percent, for each of eight VMs that call it
/// directly.
const DIRECT_PERCENT: u32 = 12;
/// A home other than the primary runs one call for this many slots.
const SLOTS_PER_CALL: u32 = 4;

/// The means of one home.
///
/// In one view there are a primary, a standby and a next home: 50% of the
/// connections. With two views, each VM goes by one of them, so together their
/// homes hold at most 100%, whatever the views. The least share of one
/// connection breaks this for limits under ten connections only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Connections, the one for control among them.
    pub connections: u32,
    /// Calls that run at once.
    pub calls: u32,
}

impl Share {
    /// The share of a home in `role`; `None` for a VM that is no home.
    pub fn of(upstream: &layout::Upstream, role: Option<placement::Role>) -> Self {
        match role {
            Some(placement::Role::Primary) => Self {
                connections: percent(upstream.connections, PRIMARY_PERCENT),
                calls: upstream.slots,
            },
            Some(placement::Role::Standby | placement::Role::Next) => Self {
                connections: percent(upstream.connections, OTHER_PERCENT),
                calls: (upstream.slots / SLOTS_PER_CALL).max(1),
            },
            Some(placement::Role::Direct) => Self {
                connections: percent(upstream.connections, DIRECT_PERCENT),
                calls: upstream.slots,
            },
            None => Self {
                connections: 0,
                calls: 0,
            },
        }
    }

    /// Whether one connection is kept for cancelling and reports. With a
    /// single connection calls come first.
    pub fn has_control(&self) -> bool {
        self.connections >= 2
    }

    /// Connections for calls.
    pub fn call_connections(&self) -> u32 {
        self.connections - u32::from(self.has_control())
    }
}

fn percent(of: u32, percent: u32) -> u32 {
    let share = u64::from(of) * u64::from(percent) / 100;
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}
