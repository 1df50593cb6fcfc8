//! Limits on the connections and slots of an upstream that one home may use.

use crate::home::placement;
use crate::layout;

/// Percentage of the upstream's connections for its primary home.
const PRIMARY_CONNECTIONS_PERCENT: u32 = 30;
/// Percentage of the upstream's connections for each other home.
const OTHER_CONNECTIONS_PERCENT: u32 = 10;
/// Percentage of the upstream's connections for each of eight VMs that call it
/// directly.
const DIRECT_CONNECTIONS_PERCENT: u32 = 12;
/// Number of slots for which a home other than the primary may run one call.
const OTHER_SLOTS_PER_CALL: u32 = 4;

/// Maximum connections and concurrent calls of one home.
///
/// In each view, an upstream's primary, standby and reserve home may together hold
/// 50% of its connections. While a new view spreads, some VMs follow the old one and
/// some the new one, so all homes together hold at most 100%. Only with fewer than
/// ten connections can the minimum of one connection for each home exceed the
/// upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections, including the control connection.
    pub connections: u32,
    /// Maximum number of calls that run at once.
    pub calls: u32,
}

impl Limits {
    /// Returns the limits of a home in `role`; zero if the VM is no home.
    pub fn of(upstream: &layout::Upstream, role: Option<placement::Role>) -> Self {
        match role {
            Some(placement::Role::Primary) => Self {
                connections: percent(upstream.connections, PRIMARY_CONNECTIONS_PERCENT),
                calls: upstream.slots,
            },
            Some(placement::Role::Standby | placement::Role::Reserve) => Self {
                connections: percent(upstream.connections, OTHER_CONNECTIONS_PERCENT),
                calls: (upstream.slots / OTHER_SLOTS_PER_CALL).max(1),
            },
            Some(placement::Role::Direct) => Self {
                connections: percent(upstream.connections, DIRECT_CONNECTIONS_PERCENT),
                calls: upstream.slots,
            },
            None => Self {
                connections: 0,
                calls: 0,
            },
        }
    }

    /// Returns true if one connection is reserved for cancellation and health reports.
    /// A home with a single connection uses it for calls.
    pub fn has_control(&self) -> bool {
        self.connections >= 2
    }

    /// Returns the maximum number of call connections.
    pub fn call_connections(&self) -> u32 {
        self.connections - u32::from(self.has_control())
    }
}

fn percent(of: u32, percent: u32) -> u32 {
    let share = u64::from(of) * u64::from(percent) / 100;
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}
