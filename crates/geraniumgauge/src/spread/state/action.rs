//! Actions that a state machine requests.

use std::net;

use crate::spread;

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Addresses of the receivers.
        to: Vec<net::SocketAddr>,
        /// The datagram.
        datagram: spread::Datagram,
    },
    /// Send a request to another VM; [`spread::State::fetched`] takes the answer.
    Fetch {
        /// Address of the VM to ask.
        from: net::SocketAddr,
        /// The request.
        fetch: spread::Fetch,
    },
    /// Poll the store; [`spread::State::polled`] takes the result.
    Poll,
    /// Read the directory; [`spread::State::directory_read`] takes the result.
    ReadDirectory,
    /// Write a page of the directory; [`spread::State::directory_written`] takes
    /// the result.
    WriteDirectory {
        /// Number of the page.
        page: usize,
        /// Content of the page.
        directory: spread::Directory,
    },
    /// Publish a changed view of the fleet.
    View(View),
}

/// The VMs that may be alive.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Number of VMs, this one included. It may be too large, never too small;
    /// `None` while it is unknown.
    pub vms: Option<usize>,
    /// The other VMs that are known.
    pub others: Vec<spread::Member>,
}
