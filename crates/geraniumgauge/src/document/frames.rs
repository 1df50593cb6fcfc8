//! Builds the mesh frames and gossip updates for documents and layouts.

use std::mem;

use crate::document::held;
use crate::ids;
use crate::member;
use crate::mesh::message;

/// Bytes of documents and layouts after which an answer continues in another frame.
const FRAME_SPLIT_BYTES: usize = 256 << 10;

/// Builds a request for the documents and layouts of `services`.
pub(super) fn request(held: &held::Held, services: &[ids::Service]) -> message::Body {
    message::Body::Pull(message::Pull {
        services: services.iter().map(ToString::to_string).collect(),
        have: services
            .iter()
            .map(|service| held.have_of(service))
            .collect(),
        ..message::Pull::default()
    })
}

/// Builds answers with `entries`, split over several frames if they are large.
pub(super) fn entries(entries: Vec<message::Entry>) -> Vec<message::Body> {
    let mut bodies = Vec::new();
    let mut frame = Vec::new();
    let mut size = 0;
    for entry in entries {
        size += entry.document.len() + entry.layout.len();
        frame.push(entry);
        if size >= FRAME_SPLIT_BYTES {
            bodies.push(body(mem::take(&mut frame)));
            size = 0;
        }
    }
    if !frame.is_empty() {
        bodies.push(body(frame));
    }
    bodies
}

fn body(entries: Vec<message::Entry>) -> message::Body {
    message::Body::Pulled(message::Pulled {
        entries,
        ..message::Pulled::default()
    })
}

/// Builds the gossip update for a new version. Documents and layouts have
/// separate keys because their versions are independent.
pub(super) fn update(kind: held::Kind, service: &ids::Service, version: u64) -> member::Update {
    member::Update {
        topic: member::Topic::Catalog,
        key: format!("{kind}/{service}"),
        version,
        body: bytes::Bytes::new(),
    }
}

/// Returns the kind and service that the key of an [`update`] names.
pub(super) fn parse_key(key: &str) -> Option<(held::Kind, ids::Service)> {
    let (kind, service) = key.split_once('/')?;
    let kind = match kind {
        "document" => held::Kind::Document,
        "layout" => held::Kind::Layout,
        _ => return None,
    };
    Some((kind, service.parse().ok()?))
}
