//! Short news between VMs, a datagram each: sightings of the store, and requests
//! that crash upstreams.

use std::io;
use std::net;
use std::rc;
use std::time;

use prost::Message as _;
use tokio::sync::watch;

use crate::follow;
use crate::ids;

/// Room for a datagram; a sighting takes some thirty bytes.
const BUFFER: usize = 512;

/// Pause before a datagram is sent again.
const AGAIN: time::Duration = time::Duration::from_millis(100);

/// A sighting on the wire.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Frame {
    /// The store's revision.
    #[prost(uint64, tag = "1")]
    revision: u64,
    /// The revision of the configuration.
    #[prost(uint64, tag = "2")]
    config: u64,
    /// The digest of the registrations.
    #[prost(fixed64, tag = "3")]
    registrations: u64,
    /// A request that crashed an upstream, in the place of a sighting.
    #[prost(fixed64, optional, tag = "4")]
    blamed: Option<u64>,
}

/// Sends and receives sightings. A datagram that is lost costs its receiver
/// one look of its own.
#[derive(Debug, Clone)]
pub struct Beacon {
    socket: rc::Rc<tokio::net::UdpSocket>,
}

impl Beacon {
    /// Listens on `address`.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub async fn bind(address: net::SocketAddr) -> io::Result<Self> {
        let socket = tokio::net::UdpSocket::bind(address).await?;
        Ok(Self {
            socket: rc::Rc::new(socket),
        })
    }

    /// The address listened on.
    ///
    /// # Errors
    /// Where the system doesn't tell it.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Tells `peers` of a sighting. Never waits: what the system doesn't take
    /// at once is lost.
    pub fn send(&self, sighting: &follow::Sighting, peers: &[net::SocketAddr]) {
        let frame = Frame {
            revision: sighting.revision.0,
            config: sighting.config.0,
            registrations: sighting.registrations.0,
            blamed: None,
        };
        self.send_frame(&frame, peers);
    }

    /// Tells `peers` of a request that crashed an upstream, twice: a datagram
    /// may be lost, and each VM that doesn't know costs another upstream.
    pub async fn blame(&self, request: ids::Fingerprint, peers: &[net::SocketAddr]) {
        let frame = Frame {
            revision: 0,
            config: 0,
            registrations: 0,
            blamed: Some(request.0),
        };
        self.send_frame(&frame, peers);
        tokio::time::sleep(AGAIN).await;
        self.send_frame(&frame, peers);
    }

    fn send_frame(&self, frame: &Frame, peers: &[net::SocketAddr]) {
        let bytes = frame.encode_to_vec();
        let mut failed = 0;
        for peer in peers {
            failed += u32::from(self.socket.try_send_to(&bytes, *peer).is_err());
        }
        if failed > 0 {
            log::info!(peers = peers.len(), failed = failed; "datagram not sent to every VM");
        }
    }

    /// Receives sightings; never ends. An older one than the last changes
    /// nothing: datagrams may overtake each other.
    pub async fn receive(
        self,
        sightings: watch::Sender<Option<follow::Sighting>>,
        blame: impl Fn(ids::Fingerprint),
    ) {
        let mut buffer = [0; BUFFER];
        loop {
            let (count, peer) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // A peer that is gone answers a datagram with an error here.
                    log::debug!(error:% = error; "datagram not received");
                    continue;
                }
            };
            let frame = match Frame::decode(&buffer[..count]) {
                Ok(frame) => frame,
                Err(error) => {
                    log::warn!(peer:% = peer, error:% = error; "datagram is no sighting");
                    continue;
                }
            };
            if let Some(request) = frame.blamed {
                blame(ids::Fingerprint(request));
                continue;
            }
            let sighting = follow::Sighting {
                revision: ids::Revision(frame.revision),
                config: ids::Revision(frame.config),
                registrations: follow::Digest(frame.registrations),
            };
            sightings.send_if_modified(|known| {
                let older = known.is_some_and(|known| known.revision > sighting.revision);
                if !older {
                    *known = Some(sighting);
                }
                !older
            });
        }
    }
}
