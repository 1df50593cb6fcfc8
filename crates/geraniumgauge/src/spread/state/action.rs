//! What a state asks to be done.

use std::net;

use crate::spread;

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// To whom.
        to: Vec<net::SocketAddr>,
        /// What it says.
        datagram: spread::Datagram,
    },
    /// Ask another VM; [`spread::State::answered`] takes the answer.
    Fetch {
        /// Which one.
        from: net::SocketAddr,
        /// What for.
        fetch: spread::Fetch,
    },
    /// Look at the store; [`spread::State::looked`] takes the outcome.
    Look,
    /// Read the directory; [`spread::State::listed`] takes it.
    ReadDirectory,
    /// Write a page of the directory; [`spread::State::written`] takes the outcome.
    WriteDirectory {
        /// Which page.
        page: usize,
        /// What it says.
        directory: spread::Directory,
    },
    /// The view of the fleet has changed.
    View(View),
}

/// The VMs that may be alive.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// How many there are, this one included, and never too few; `None` until
    /// this VM has learned it.
    pub vms: Option<usize>,
    /// The others, as far as they are known.
    pub others: Vec<spread::Member>,
}
