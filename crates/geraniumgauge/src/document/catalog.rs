//! The accepted documents and layouts that are in force on this VM.

use std::collections;
use std::sync;

use crate::document;
use crate::ids;
use crate::layout;

/// The document and layout in force for one service.
#[derive(Debug, Clone)]
pub struct InForce {
    /// Generation of the accepted document.
    pub generation: ids::Generation,
    /// The accepted document.
    pub document: sync::Arc<document::Document>,
    /// The service's layout.
    pub layout: layout::Shared,
}

/// Documents and layouts in force; clones share one state. Generations and
/// layout versions only grow: an older one from a lagging peer, or from a store
/// that was restored to an older state, is ignored.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    services: sync::Arc<sync::RwLock<Services>>,
}

type Services = collections::BTreeMap<ids::Service, Entry>;

#[derive(Debug, Default)]
struct Entry {
    document: Option<(ids::Generation, sync::Arc<document::Document>)>,
    layout: Option<layout::Shared>,
}

impl Entry {
    fn in_force(&self) -> Option<InForce> {
        let (generation, document) = self.document.clone()?;
        let layout = self.layout.clone()?;
        Some(InForce {
            generation,
            document,
            layout,
        })
    }
}

impl Catalog {
    /// Returns the document and layout of `service`; `None` until both are known.
    pub fn get(&self, service: &ids::Service) -> Option<InForce> {
        self.read().get(service)?.in_force()
    }

    /// Returns the document in force, whether or not a layout is known.
    pub fn document(
        &self,
        service: &ids::Service,
    ) -> Option<(ids::Generation, sync::Arc<document::Document>)> {
        self.read().get(service)?.document.clone()
    }

    /// Returns the layout in force, whether or not a document is known.
    pub fn layout(&self, service: &ids::Service) -> Option<layout::Shared> {
        self.read().get(service)?.layout.clone()
    }

    /// Returns every service that has both a document and a layout.
    pub fn all(&self) -> Vec<(ids::Service, InForce)> {
        let services = self.read();
        let known = services
            .iter()
            .filter_map(|(id, entry)| Some((id.clone(), entry.in_force()?)));
        known.collect()
    }

    /// Puts a document in force if its generation is higher than the present one;
    /// returns whether it was.
    pub fn put_document(
        &self,
        service: &ids::Service,
        generation: ids::Generation,
        document: document::Document,
    ) -> bool {
        let mut services = self.write();
        let entry = services.entry(service.clone()).or_default();
        let newer = entry
            .document
            .as_ref()
            .is_none_or(|(present, _)| *present < generation);
        if newer {
            entry.document = Some((generation, sync::Arc::new(document)));
        }
        newer
    }

    /// Puts a layout in force if its version is higher than the present one; returns
    /// whether it was.
    pub fn put_layout(&self, service: &ids::Service, layout: layout::Layout) -> bool {
        let mut services = self.write();
        let entry = services.entry(service.clone()).or_default();
        let newer = entry
            .layout
            .as_ref()
            .is_none_or(|present| present.version < layout.version);
        if newer {
            entry.layout = Some(sync::Arc::new(layout));
        }
        newer
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, Services> {
        self.services
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn write(&self) -> sync::RwLockWriteGuard<'_, Services> {
        self.services
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
