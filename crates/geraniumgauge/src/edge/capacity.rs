//! How much a VM holds for callers at most, by its machine's memory and file descriptors.
//!
//! A machine's memory is divided into parts, so that their sum is never more than the machine
//! has, whatever callers send:
//!
//! | part | for |
//! |---|---|
//! | three sixteenths | the VM itself: program, configuration, registrations, upstreams |
//! | one sixteenth | messages of other VMs |
//! | three eighths | callers' connections: tasks and the buffers of sockets |
//! | three sixteenths | messages: requests that arrive, run or wait, and their answers |
//! | three sixteenths | memory that messages have freed, but that wasn't given back to the system |

use crate::rate;

/// Buffer of a connection in each direction, which the system allocates for what its reader
/// hasn't taken.
const SOCKET_BUFFER: rate::Bytes = rate::Bytes(16 << 10);
/// A connection's task, its entries in tables and the start of its read buffer.
const CONNECTION_TASK: rate::Bytes = rate::Bytes(8 << 10);
/// File descriptors not available to callers' connections: those for files, the store,
/// upstreams, other VMs and operators.
const RESERVED_DESCRIPTORS: u64 = 1200;
/// Part of the file descriptors that is for connections that other VMs open, of the reserved
/// ones: one in this many.
const PEER_PART: u64 = 8;
/// Least number of connections of each kind, however small the machine is.
const MIN_CONNECTIONS: u64 = 64;

/// What callers may use of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of callers' connections.
    pub connections: usize,
    /// Maximum size of all messages together.
    pub messages: rate::Bytes,
    /// Maximum number of connections that other VMs open.
    pub peer_connections: usize,
    /// Maximum size of all messages together that come over those connections.
    pub peer_messages: rate::Bytes,
    /// Size of each buffer of a caller's socket.
    pub socket_buffer: rate::Bytes,
}

impl Capacity {
    /// Returns the capacity of a machine with so much memory and so many file descriptors.
    pub fn of(memory: rate::Bytes, descriptors: u64) -> Self {
        let connection = CONNECTION_TASK.0 + 2 * SOCKET_BUFFER.0;
        let by_memory = memory.0 / 8 * 3 / connection;
        let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
        let peer_connections = (descriptors / PEER_PART).max(MIN_CONNECTIONS);
        Self {
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            messages: rate::Bytes(memory.0 / 16 * 3),
            peer_connections: usize::try_from(peer_connections).unwrap_or(usize::MAX),
            peer_messages: rate::Bytes(memory.0 / 16),
            socket_buffer: SOCKET_BUFFER,
        }
    }
}
