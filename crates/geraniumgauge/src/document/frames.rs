//! Frames and rumours about documents and layouts.

use std::mem;

use crate::document::held;
use crate::ids;
use crate::member;
use crate::mesh::message;

/// Bytes of documents and layouts after which an answer goes on in another frame.
const FRAME: usize = 256 << 10;

/// Asks for both parts of some services.
pub(super) fn wanted(held: &held::Held, services: &[ids::Service]) -> message::Body {
    message::Body::Pull(message::Pull {
        services: services.iter().map(ToString::to_string).collect(),
        have: services
            .iter()
            .map(|service| held.have_of(service))
            .collect(),
        ..message::Pull::default()
    })
}

/// Answers with entries, in as many frames as it takes.
pub(super) fn entries(entries: Vec<message::Entry>) -> Vec<message::Body> {
    let mut bodies = Vec::new();
    let mut frame = Vec::new();
    let mut size = 0;
    for entry in entries {
        size += entry.document.len() + entry.layout.len();
        frame.push(entry);
        if size >= FRAME {
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

/// Tells of a version. The two parts of a service grow apart, so each has its
/// own key.
pub(super) fn rumour(kind: held::Kind, service: &ids::Service, version: u64) -> member::Update {
    member::Update {
        topic: member::Topic::Catalog,
        key: format!("{kind}/{service}"),
        version,
        body: bytes::Bytes::new(),
    }
}

/// What a rumour of [`rumour`]'s is about.
pub(super) fn topic(key: &str) -> Option<(held::Kind, ids::Service)> {
    let (kind, service) = key.split_once('/')?;
    let kind = match kind {
        "document" => held::Kind::Document,
        "layout" => held::Kind::Layout,
        _ => return None,
    };
    Some((kind, service.parse().ok()?))
}
