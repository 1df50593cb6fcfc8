//! Reads accepted records and layouts from the store.

use std::collections;
use std::sync;
use std::time;

use tokio::sync as channel;

use crate::document;
use crate::document::held;
use crate::document::keeper;
use crate::document::service;
use crate::document::spread;
use crate::finding;
use crate::ids;
use crate::layout;
use crate::store;

/// Time between two listings of the store by every VM, whatever it receives from
/// others.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Time that one watch waits for changes. A watch whose connection is dead costs
/// this and the client's grace period.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Number of watches after which the prefix is listed again, to verify the revision.
const WATCHES_PER_LISTING: u32 = 5;
/// Time between two checks of a VM that isn't a watcher whether it became one.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Maximum delay after the first of several failed calls; it doubles with each further
/// one, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Maximum delay after a failed call.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);

/// Object versions that were read, and problems found in layouts.
#[derive(Debug, Default)]
pub(super) struct Reads {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Version that was last read of each object, by key.
    objects: collections::BTreeMap<String, ids::ObjectVersion>,
    layout_findings: collections::BTreeMap<ids::Service, Vec<finding::Finding>>,
}

impl Reads {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn set_version(&self, key: String, version: ids::ObjectVersion) {
        self.lock().objects.insert(key, version);
    }

    fn version(&self, key: &str) -> Option<ids::ObjectVersion> {
        self.lock().objects.get(key).copied()
    }

    /// Returns the problems of the layout that the store holds.
    pub(super) fn layout_findings(&self, service: &ids::Service) -> Vec<finding::Finding> {
        let state = self.lock();
        state
            .layout_findings
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    fn set_layout_findings(&self, service: &ids::Service, findings: Vec<finding::Finding>) {
        self.lock()
            .layout_findings
            .insert(service.clone(), findings);
    }
}

/// Result of listing or watching a prefix.
#[derive(Debug)]
pub(super) enum Update {
    /// All objects below the prefix.
    Listed(store::Listing),
    /// The objects that changed.
    Changed(Vec<store::Change>),
}

/// Lists and watches a prefix while this VM is a watcher.
///
/// If the connection of a watch dies silently, edits would reach no VM. So each watch
/// has a timeout, and after a few watches the prefix is listed. It is also listed if
/// the revision is lower, because the store was restored to an older state.
pub(super) async fn follow(
    inner: sync::Arc<service::Inner>,
    prefix: &'static str,
    updates: channel::mpsc::Sender<Update>,
) {
    let mut backoff = store::Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    while !inner.timer.stop().is_cancelled() {
        if inner.rank().is_none() {
            inner.timer.sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        if let Err(error) = follow_once(&inner, prefix, &updates).await {
            log::debug!("failed to follow {prefix}: {error}");
            inner.timer.sleep(backoff.failed(rand::random())).await;
            continue;
        }
        backoff.succeeded();
        inner.instruments.store_answered(inner.clock);
    }
}

async fn follow_once(
    inner: &service::Inner,
    prefix: &str,
    updates: &channel::mpsc::Sender<Update>,
) -> Result<(), store::Error> {
    let listing = inner.store.list(prefix).await?;
    let mut revision = listing.revision;
    let _ = updates.send(Update::Listed(listing)).await;
    for _ in 0..WATCHES_PER_LISTING {
        let watched = tokio::select! {
            watched = inner.store.watch(prefix, revision, WATCH_TIMEOUT) => watched?,
            () = inner.timer.stop().cancelled() => return Ok(()),
        };
        if watched.revision < revision || inner.rank().is_none() {
            return Ok(());
        }
        revision = watched.revision;
        if !watched.changes.is_empty() {
            let _ = updates.send(Update::Changed(watched.changes)).await;
        }
    }
    Ok(())
}

/// Reads accepted records or layouts when they change, while this VM is a watcher.
pub(super) async fn watch(inner: sync::Arc<service::Inner>, kind: held::Kind) {
    let (updates, mut received) = channel::mpsc::channel(8);
    tokio::spawn(follow(inner.clone(), prefix(kind), updates));
    while let Some(update) = received.recv().await {
        let result = match update {
            Update::Listed(listing) => handle_listing(&inner, kind, &listing).await,
            Update::Changed(changes) => handle_changes(&inner, kind, &changes).await,
        };
        if let Err(error) = result {
            log::debug!("failed to read {}: {error}", prefix(kind));
        }
    }
}

/// Loads all documents and layouts at the start, and again at every poll interval.
pub(super) async fn poll(inner: sync::Arc<service::Inner>) {
    let mut backoff = store::Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    while let Err(error) = load_all(&inner).await {
        log::warn!("failed to load documents and layouts: {error}");
        inner.handle(spread::Event::StoreFailed);
        if !inner.timer.sleep(backoff.failed(rand::random())).await {
            return;
        }
    }
    inner.handle(spread::Event::Loaded);
    let mut ticks = inner.timer.jittered(POLL_INTERVAL);
    while let Some(()) = ticks.tick().await {
        if let Err(error) = load_all(&inner).await {
            log::warn!("failed to load documents and layouts: {error}");
        }
    }
}

/// Reads the services that the state machine couldn't get from peers.
pub(super) async fn fetch_missing(
    inner: sync::Arc<service::Inner>,
    mut services: channel::mpsc::Receiver<ids::Service>,
) {
    loop {
        let service = tokio::select! {
            service = services.recv() => service,
            () = inner.timer.stop().cancelled() => return,
        };
        let Some(service) = service else { return };
        for kind in [held::Kind::Document, held::Kind::Layout] {
            if let Err(error) = fetch(&inner, kind, &service).await {
                log::debug!("failed to read the {kind} of {service}: {error}");
            }
        }
    }
}

async fn load_all(inner: &service::Inner) -> Result<(), store::Error> {
    for kind in [held::Kind::Document, held::Kind::Layout] {
        let listing = inner.store.list(prefix(kind)).await?;
        handle_listing(inner, kind, &listing).await?;
    }
    inner.instruments.store_answered(inner.clock);
    Ok(())
}

async fn handle_listing(
    inner: &service::Inner,
    kind: held::Kind,
    listing: &store::Listing,
) -> Result<(), store::Error> {
    handle_changes(inner, kind, &listing.changes).await?;
    if kind == held::Kind::Document {
        let keys: collections::BTreeSet<_> = listing.changes.iter().map(|c| &c.key).collect();
        let held: Vec<_> = inner.with(|spread| spread.held().services().cloned().collect());
        let lacking = held
            .into_iter()
            .filter(|id| !keys.contains(&document::accepted_key(id)));
        lacking.for_each(|service| request_check(inner, service));
    }
    Ok(())
}

async fn handle_changes(
    inner: &service::Inner,
    kind: held::Kind,
    changes: &[store::Change],
) -> Result<(), store::Error> {
    for change in changes {
        let name = change.key.strip_prefix(prefix(kind)).map(str::parse);
        let Some(Ok(service)) = name else {
            continue;
        };
        let held = inner.with(|spread| spread.held().object(&service, kind));
        let known =
            held == change.version || inner.reads.version(&change.key) == Some(change.version);
        if change.version == ids::ObjectVersion(0) {
            request_check(inner, service);
        } else if !known {
            fetch(inner, kind, &service).await?;
        }
    }
    Ok(())
}

fn request_check(inner: &service::Inner, service: ids::Service) {
    // If the queue is full, the next listing requests the check again.
    let _ = inner.checks.try_send(service);
}

/// Reads one document or layout and passes it to the state machine.
async fn fetch(
    inner: &service::Inner,
    kind: held::Kind,
    service: &ids::Service,
) -> Result<(), store::Error> {
    let key = format!("{}{service}", prefix(kind));
    let object = match inner.store.get(&key).await {
        Ok(object) => object,
        Err(store::Error::Missing { .. }) => return Ok(()),
        Err(error) => return Err(error),
    };
    inner.reads.set_version(key, object.version);
    match kind {
        held::Kind::Document => handle_document(inner, service, &object),
        held::Kind::Layout => handle_layout(inner, service, &object),
    }
    Ok(())
}

fn handle_document(inner: &service::Inner, service: &ids::Service, object: &store::Object) {
    let Ok(record) = serde_json::from_slice::<keeper::Accepted>(&object.body) else {
        return request_check(inner, service.clone());
    };
    let held = inner.with(|spread| spread.held().version(service, held::Kind::Document));
    if record.generation.0 < held {
        request_check(inner, service.clone());
    }
    offer(inner, service, &record, object.version);
}

/// Passes an accepted record to the state machine.
pub(super) fn offer(
    inner: &service::Inner,
    service: &ids::Service,
    record: &keeper::Accepted,
    object: ids::ObjectVersion,
) {
    let versioned = held::VersionedBody {
        version: record.generation.0,
        body: serde_json::to_vec(&record.document)
            .unwrap_or_default()
            .into(),
        object,
    };
    let event = spread::Event::Stored(service.clone(), held::Kind::Document, versioned);
    inner.handle(event);
}

fn handle_layout(inner: &service::Inner, service: &ids::Service, object: &store::Object) {
    let file = layout::key(service);
    let text = String::from_utf8_lossy(&object.body);
    let (layout, findings) = match document::parse_layout(&file, &text) {
        Ok(layout) => (layout, Vec::new()),
        Err(findings) => return inner.reads.set_layout_findings(service, findings),
    };
    let present = inner.catalog.layout(service);
    let stale = present.filter(|present| present.version >= layout.version && **present != layout);
    let findings = match stale {
        None => findings,
        Some(present) => vec![document::stale_layout(&file, &text, &layout, &present)],
    };
    inner.reads.set_layout_findings(service, findings);
    let versioned = held::VersionedBody {
        version: layout.version.0,
        body: serde_json::to_vec(&layout).unwrap_or_default().into(),
        object: object.version,
    };
    let event = spread::Event::Stored(service.clone(), held::Kind::Layout, versioned);
    inner.handle(event);
}

fn prefix(kind: held::Kind) -> &'static str {
    match kind {
        held::Kind::Document => document::ACCEPTED_PREFIX,
        held::Kind::Layout => document::LAYOUT_PREFIX,
    }
}
