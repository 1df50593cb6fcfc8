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

/// How often every VM lists the store, whatever it hears from others.
const POLL: time::Duration = time::Duration::from_secs(60);
/// How long one watch waits. A watch that has gone silent for good costs this
/// and the client's grace.
const WATCH: time::Duration = time::Duration::from_secs(2);
/// Watches after which the prefix is listed, as a check of the revision.
const WATCHES: u32 = 5;
/// How often a VM that is no watcher looks whether it has become one.
const IDLE: time::Duration = time::Duration::from_millis(500);
/// Waits after a failed call.
const BACKOFF: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_secs(2),
);

/// What was read before.
#[derive(Debug, Default)]
pub(super) struct Reads {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    objects: collections::BTreeMap<String, ids::ObjectVersion>,
    layout_findings: collections::BTreeMap<ids::Service, Vec<finding::Finding>>,
}

impl Reads {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn note(&self, key: String, version: ids::ObjectVersion) {
        self.lock().objects.insert(key, version);
    }

    fn noted(&self, key: &str) -> Option<ids::ObjectVersion> {
        self.lock().objects.get(key).copied()
    }

    /// What is wrong with the layout that the store holds.
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

/// What a followed prefix shows.
#[derive(Debug)]
pub(super) enum News {
    /// Everything below it.
    Listed(store::Listing),
    /// What changed.
    Changed(Vec<store::Change>),
}

/// Lists and watches a prefix while this VM is a watcher.
///
/// Failure: a watch's connection goes silent for good, and edits reach nobody.
/// Each watch is bounded, and after a few the prefix is listed. A store that
/// was set back shows a lower revision, and the prefix is listed too.
pub(super) async fn follow(
    inner: sync::Arc<service::Inner>,
    prefix: &'static str,
    news: channel::mpsc::Sender<News>,
) {
    let mut backoff = store::Backoff::new(BACKOFF.0, BACKOFF.1);
    while !inner.timer.stop().is_cancelled() {
        if inner.rank().is_none() {
            inner.timer.sleep(IDLE).await;
            continue;
        }
        if let Err(error) = follow_once(&inner, prefix, &news).await {
            log::debug!("following {prefix}: {error}");
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
    news: &channel::mpsc::Sender<News>,
) -> Result<(), store::Error> {
    let listing = inner.store.list(prefix).await?;
    let mut revision = listing.revision;
    let _ = news.send(News::Listed(listing)).await;
    for _ in 0..WATCHES {
        let watched = tokio::select! {
            watched = inner.store.watch(prefix, revision, WATCH) => watched?,
            () = inner.timer.stop().cancelled() => return Ok(()),
        };
        if watched.revision < revision || inner.rank().is_none() {
            return Ok(());
        }
        revision = watched.revision;
        if !watched.changes.is_empty() {
            let _ = news.send(News::Changed(watched.changes)).await;
        }
    }
    Ok(())
}

/// Follows accepted records or layouts.
pub(super) async fn watch(inner: sync::Arc<service::Inner>, kind: held::Kind) {
    let (news, mut to_read) = channel::mpsc::channel(8);
    tokio::spawn(follow(inner.clone(), prefix(kind), news));
    while let Some(news) = to_read.recv().await {
        let read = match news {
            News::Listed(listing) => listed(&inner, kind, &listing).await,
            News::Changed(changes) => changed(&inner, kind, &changes).await,
        };
        if let Err(error) = read {
            log::debug!("reading {}: {error}", prefix(kind));
        }
    }
}

/// Loads everything at the start, and lists it now and then.
pub(super) async fn poll(inner: sync::Arc<service::Inner>) {
    let mut backoff = store::Backoff::new(BACKOFF.0, BACKOFF.1);
    while let Err(error) = load_all(&inner).await {
        log::warn!("the accepted documents can't be read: {error}");
        inner.handle(spread::Event::StoreFailed);
        if !inner.timer.sleep(backoff.failed(rand::random())).await {
            return;
        }
    }
    inner.handle(spread::Event::Loaded);
    let mut ticks = inner.timer.jittered(POLL);
    while let Some(()) = ticks.tick().await {
        if let Err(error) = load_all(&inner).await {
            log::warn!("the accepted documents can't be read: {error}");
        }
    }
}

/// Reads what the machine couldn't get from peers.
pub(super) async fn fetch_wanted(
    inner: sync::Arc<service::Inner>,
    mut wanted: channel::mpsc::Receiver<ids::Service>,
) {
    loop {
        let service = tokio::select! {
            service = wanted.recv() => service,
            () = inner.timer.stop().cancelled() => return,
        };
        let Some(service) = service else { return };
        for kind in [held::Kind::Document, held::Kind::Layout] {
            if let Err(error) = fetch(&inner, kind, &service).await {
                log::debug!("reading the {kind} of {service}: {error}");
            }
        }
    }
}

async fn load_all(inner: &service::Inner) -> Result<(), store::Error> {
    for kind in [held::Kind::Document, held::Kind::Layout] {
        let listing = inner.store.list(prefix(kind)).await?;
        listed(inner, kind, &listing).await?;
    }
    inner.instruments.store_answered(inner.clock);
    Ok(())
}

async fn listed(
    inner: &service::Inner,
    kind: held::Kind,
    listing: &store::Listing,
) -> Result<(), store::Error> {
    changed(inner, kind, &listing.changes).await?;
    if kind == held::Kind::Document {
        let keys: collections::BTreeSet<_> = listing.changes.iter().map(|c| &c.key).collect();
        let held: Vec<_> = inner.with(|spread| spread.held().services().cloned().collect());
        let lacking = held
            .into_iter()
            .filter(|id| !keys.contains(&document::accepted_key(id)));
        lacking.for_each(|service| look(inner, service));
    }
    Ok(())
}

async fn changed(
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
            held == change.version || inner.reads.noted(&change.key) == Some(change.version);
        if change.version == ids::ObjectVersion(0) {
            look(inner, service);
        } else if !known {
            fetch(inner, kind, &service).await?;
        }
    }
    Ok(())
}

fn look(inner: &service::Inner, service: ids::Service) {
    // A full queue drops it; the next listing brings it back.
    let _ = inner.looks.try_send(service);
}

/// Reads one part and hands it to the machine.
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
    inner.reads.note(key, object.version);
    match kind {
        held::Kind::Document => document(inner, service, &object),
        held::Kind::Layout => layout(inner, service, &object),
    }
    Ok(())
}

fn document(inner: &service::Inner, service: &ids::Service, object: &store::Object) {
    let Ok(record) = serde_json::from_slice::<keeper::Accepted>(&object.body) else {
        return look(inner, service.clone());
    };
    let held = inner.with(|spread| spread.held().version(service, held::Kind::Document));
    if record.generation.0 < held {
        look(inner, service.clone());
    }
    offer(inner, service, &record, object.version);
}

/// Hands an accepted record to the machine.
pub(super) fn offer(
    inner: &service::Inner,
    service: &ids::Service,
    record: &keeper::Accepted,
    object: ids::ObjectVersion,
) {
    let part = held::Part {
        version: record.generation.0,
        body: serde_json::to_vec(&record.document)
            .unwrap_or_default()
            .into(),
        object,
    };
    let event = spread::Event::Stored(service.clone(), held::Kind::Document, part);
    inner.handle(event);
}

fn layout(inner: &service::Inner, service: &ids::Service, object: &store::Object) {
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
    let part = held::Part {
        version: layout.version.0,
        body: serde_json::to_vec(&layout).unwrap_or_default().into(),
        object: object.version,
    };
    let event = spread::Event::Stored(service.clone(), held::Kind::Layout, part);
    inner.handle(event);
}

fn prefix(kind: held::Kind) -> &'static str {
    match kind {
        held::Kind::Document => document::ACCEPTED,
        held::Kind::Layout => document::LAYOUTS,
    }
}
