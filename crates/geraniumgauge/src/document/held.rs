//! The documents and layouts that a VM holds, in the form in which VMs exchange them.

use std::collections;

use crate::document;
use crate::ids;
use crate::layout;
use crate::mesh::message;

/// A service's document or layout as JSON, with its version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct VersionedBody {
    /// Generation of the document or version of the layout; 0 if there is none.
    pub(super) version: u64,
    /// The document or layout as JSON.
    pub(super) body: bytes::Bytes,
    /// Version of the store object that it was read from; 0 if unknown.
    pub(super) object: ids::ObjectVersion,
}

/// Whether a [`VersionedBody`] is a document or a layout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub(super) enum Kind {
    /// The accepted document.
    #[display("document")]
    Document,
    /// The layout.
    #[display("layout")]
    Layout,
}

/// The document and the layout of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct Entry {
    pub(super) document: VersionedBody,
    pub(super) layout: VersionedBody,
}

/// A document or layout, parsed from its JSON.
#[derive(Debug, Clone)]
pub(super) enum Content {
    /// A document with its generation.
    Document(ids::Generation, Box<document::Document>),
    /// A layout.
    Layout(layout::Layout),
}

/// All documents and layouts that a VM holds, by service.
#[derive(Debug, Clone, Default)]
pub(super) struct Held {
    services: collections::BTreeMap<ids::Service, Entry>,
}

impl Entry {
    pub(super) fn get(&self, kind: Kind) -> &VersionedBody {
        match kind {
            Kind::Document => &self.document,
            Kind::Layout => &self.layout,
        }
    }

    fn get_mut(&mut self, kind: Kind) -> &mut VersionedBody {
        match kind {
            Kind::Document => &mut self.document,
            Kind::Layout => &mut self.layout,
        }
    }
}

impl Held {
    /// Stores `offered` and returns its content if it is newer than the held one and
    /// can be parsed.
    pub(super) fn offer(
        &mut self,
        service: &ids::Service,
        kind: Kind,
        offered: VersionedBody,
    ) -> Option<Content> {
        let present = self.version(service, kind);
        if offered.version == present
            && offered.version > 0
            && offered.object > ids::ObjectVersion(0)
        {
            let entry = self.services.entry(service.clone()).or_default();
            entry.get_mut(kind).object = offered.object;
        }
        if offered.version <= present {
            return None;
        }
        let content = match parse(kind, &offered) {
            Ok(content) => content,
            Err(error) => {
                log::error!(
                    "failed to parse {kind} version {} of {service}: {error}",
                    offered.version
                );
                return None;
            }
        };
        let entry = self.services.entry(service.clone()).or_default();
        *entry.get_mut(kind) = offered;
        Some(content)
    }

    /// Returns the version held; 0 if there is none.
    pub(super) fn version(&self, service: &ids::Service, kind: Kind) -> u64 {
        self.services
            .get(service)
            .map_or(0, |entry| entry.get(kind).version)
    }

    /// Returns the store object's version of the document or layout held; 0 if unknown.
    pub(super) fn object(&self, service: &ids::Service, kind: Kind) -> ids::ObjectVersion {
        let none = ids::ObjectVersion(0);
        self.services
            .get(service)
            .map_or(none, |entry| entry.get(kind).object)
    }

    /// Returns the services with a document or a layout.
    pub(super) fn services(&self) -> impl Iterator<Item = &ids::Service> {
        self.services.keys()
    }

    /// Returns the held versions of all services, for reports and comparisons.
    pub(super) fn have(&self) -> Vec<message::AppliedVersions> {
        let have = |(service, entry): (&ids::Service, &Entry)| message::AppliedVersions {
            service: service.to_string(),
            generation: entry.document.version,
            layout: entry.layout.version,
        };
        self.services.iter().map(have).collect()
    }

    /// Returns the held versions of one service; 0 for a missing document or layout.
    pub(super) fn have_of(&self, service: &ids::Service) -> message::AppliedVersions {
        message::AppliedVersions {
            service: service.to_string(),
            generation: self.version(service, Kind::Document),
            layout: self.version(service, Kind::Layout),
        }
    }

    /// Returns whether a held part of one service is newer than the peer's.
    pub(super) fn exceeds_one(&self, theirs: &message::AppliedVersions) -> bool {
        let Ok(service) = theirs.service.parse() else {
            return false;
        };
        let mine = self.have_of(&service);
        mine.generation > theirs.generation || mine.layout > theirs.layout
    }

    /// Returns whether a held part of any service is newer than the peer's.
    pub(super) fn exceeds(&self, theirs: &[message::AppliedVersions]) -> bool {
        let by_service = theirs.iter().map(|have| (have.service.as_str(), have));
        let theirs: collections::BTreeMap<_, _> = by_service.collect();
        self.services.iter().any(|(service, entry)| {
            let theirs = theirs.get(service.as_str());
            theirs.is_none_or(|theirs| {
                entry.document.version > theirs.generation || entry.layout.version > theirs.layout
            })
        })
    }

    /// Returns a digest of [`Self::have`], never 0. Equal digests mean equal versions.
    pub(super) fn digest(&self) -> u64 {
        digest(&self.have())
    }

    /// Returns the document and the layout of `service` as an entry of an answer to a
    /// peer.
    pub(super) fn entry(&self, service: &ids::Service) -> Option<message::Entry> {
        let entry = self.services.get(service)?;
        Some(message::Entry {
            service: service.to_string(),
            generation: entry.document.version,
            document: entry.document.body.clone(),
            layout: entry.layout.body.clone(),
            document_object: entry.document.object.0,
            layout_version: entry.layout.version,
            layout_object: entry.layout.object.0,
        })
    }
}

/// Returns the digest of reported versions, never 0.
pub(super) fn digest(have: &[message::AppliedVersions]) -> u64 {
    use prost::Message as _;
    let pull = message::Pull {
        have: have.to_vec(),
        ..message::Pull::default()
    };
    xxhash_rust::xxh3::xxh3_64(&pull.encode_to_vec()) | 1
}

/// Splits an entry that a peer sent into its document and layout.
pub(super) fn split(entry: message::Entry) -> [(Kind, VersionedBody); 2] {
    let document = VersionedBody {
        version: entry.generation,
        body: entry.document,
        object: ids::ObjectVersion(entry.document_object),
    };
    let layout = VersionedBody {
        version: entry.layout_version,
        body: entry.layout,
        object: ids::ObjectVersion(entry.layout_object),
    };
    [(Kind::Document, document), (Kind::Layout, layout)]
}

fn parse(kind: Kind, versioned: &VersionedBody) -> Result<Content, serde_json::Error> {
    match kind {
        Kind::Document => {
            let document = serde_json::from_slice(&versioned.body)?;
            Ok(Content::Document(
                ids::Generation(versioned.version),
                Box::new(document),
            ))
        }
        Kind::Layout => serde_json::from_slice(&versioned.body).map(Content::Layout),
    }
}
