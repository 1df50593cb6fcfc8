//! Access to the store: polls, the watch, and the directory.

use std::time;

use tokio::sync;

use crate::follow;
use crate::ids;
use crate::registry;
use crate::spread;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Delay after changes, in which more of them are collected for one call.
const GATHER: time::Duration = time::Duration::from_millis(150);
/// Delay after which the second poller reports a change that its watch received, so
/// that the first one can report it before.
const SECOND: time::Duration = time::Duration::from_millis(75);
/// Interval at which a poll in progress is checked for new data.
const PROGRESS: time::Duration = time::Duration::from_millis(100);
/// First delay after a failed call.
const RETRY: time::Duration = time::Duration::from_millis(100);
/// Longest delay after failed calls. Registrations that expired during an outage
/// are back two seconds after the store is, which must be noticed well before.
const RETRY_MOST: time::Duration = time::Duration::from_millis(800);
/// Random factor of a delay. VMs that lost the store together would otherwise call
/// it together. The factor stays close to 1, since each call to the store costs
/// money.
pub(super) const JITTER: std::ops::Range<f64> = 0.7..1.0;

/// Creates the backoff for failed calls.
pub(super) fn backoff() -> store::Backoff {
    store::Backoff::new(RETRY, RETRY_MOST)
}

/// Access to the directory in the store.
#[expect(async_fn_in_trait, reason = "everything runs on one thread")]
pub trait Pages {
    /// Reads the directory's pages, which may be stale.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read.
    async fn read(&mut self) -> Result<Vec<spread::Directory>, follow::Error>;

    /// Replaces a page.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't accept the page.
    async fn write(&mut self, page: usize, told: &spread::Directory) -> Result<(), follow::Error>;
}

/// Objects in the store that the service uses, each over a connection of its own.
#[derive(Debug)]
pub struct Store<C, R, P> {
    /// The configuration.
    pub config: C,
    /// The registrations, for lists.
    pub registrations: R,
    /// The registrations, for watches.
    pub watched: R,
    /// The directory.
    pub pages: P,
}

/// Polls the store with linearizable reads.
pub(super) struct Lookout<C, R> {
    pub(super) config: C,
    pub(super) registrations: R,
    /// The registrations that the last poll showed.
    pub(super) last: Option<Listed>,
}

/// Identifies the registrations that a poll showed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listed {
    at: ids::Revision,
    digest: follow::Digest,
}

impl<C, R> Lookout<C, R>
where
    C: follow::Source<Value = String>,
    R: follow::Source<Value = registry::Entry>,
{
    /// Polls the store each time that the service requests it, until `timer` stops.
    pub(super) async fn run<H: spread::Hear>(
        mut self,
        service: spread::Service<H>,
        timer: timer::Service,
    ) {
        loop {
            tokio::select! {
                () = timer.stop().cancelled() => return,
                () = service.look_wanted() => {}
            }
            let began = service.clock().now();
            let heard = [self.config.heard(), self.registrations.heard()];
            let looked = tokio::select! {
                looked = self.look(&service) => looked,
                () = follow_progress(&service, &heard, &timer) => return,
            };
            let took = service.clock().now().since(began);
            let age = match looked {
                Ok(()) => {
                    log::info!(took_ms = clock::millis(took); "looked at the store");
                    Some(took)
                }
                Err(error) => {
                    log::info!(error:% = error, took_ms = clock::millis(took); "look failed");
                    None
                }
            };
            service.handle(|state, now| state.looked(age, now));
        }
    }

    async fn look<H: spread::Hear>(
        &mut self,
        service: &spread::Service<H>,
    ) -> Result<(), follow::Error> {
        let snapshot = self.config.list().await?;
        let revision = snapshot.revision;
        for item in snapshot.items {
            if let Some(text) = item.value {
                service.take_config(item.revision, text, "the store");
            }
        }
        // If nothing was written since the last poll, the registrations needn't be
        // listed.
        let same = self.last.filter(|last| last.at == revision);
        if same.is_some_and(|last| service.confirm(last.at, last.digest)) {
            return Ok(());
        }
        let snapshot = self.registrations.list().await?;
        self.last = Some(Listed {
            at: snapshot.revision,
            digest: follow::Digest::of(&snapshot.items),
        });
        service.take_list(snapshot, true, "the store");
        Ok(())
    }
}

/// Reports when data from the store arrives during a poll, until `timer` stops.
async fn follow_progress<H: spread::Hear>(
    service: &spread::Service<H>,
    heard: &[clock::Latest],
    timer: &timer::Service,
) {
    while timer.pause(PROGRESS).await {
        if let Some(age) = heard.iter().filter_map(clock::Latest::age).min() {
            service.handle(|state, now| state.look_heard(age, now));
        }
    }
}

/// An operation on the directory.
#[derive(Debug)]
pub(super) enum Task {
    Read,
    Write(usize, spread::Directory),
}

/// Reads and writes the directory as requested.
pub(super) async fn keep_pages<H: spread::Hear, P: Pages>(
    service: spread::Service<H>,
    mut pages: P,
    mut tasks: sync::mpsc::UnboundedReceiver<Task>,
) {
    while let Some(task) = tasks.recv().await {
        match task {
            Task::Read => {
                let read = pages.read().await;
                let read =
                    read.inspect_err(|error| log::info!(error:% = error; "directory not read"));
                service.handle(|state, now| state.listed(read.ok(), now));
            }
            Task::Write(page, told) => {
                let written = pages.write(page, &told).await;
                match &written {
                    Ok(()) => log::info!(page = page, vms = told.vms; "directory written"),
                    Err(error) => log::info!(page = page, error:% = error; "directory not written"),
                }
                service.handle(|state, now| state.written(written.is_ok(), now));
            }
        }
    }
}

/// Watches the registrations while this VM is a poller.
pub(super) async fn watch<H, R>(
    service: spread::Service<H>,
    mut source: R,
    mut duty: sync::watch::Receiver<Option<usize>>,
    timer: timer::Service,
) where
    H: spread::Hear,
    R: follow::Source<Value = registry::Entry>,
{
    let mut backoff = backoff();
    let mut failures = 0_u32;
    loop {
        if duty.wait_for(Option::is_some).await.is_err() {
            return;
        }
        let Some(revision) = service.revision() else {
            if !timer.pause(RETRY).await {
                return;
            }
            continue;
        };
        let watched = tokio::select! {
            () = timer.stop().cancelled() => return,
            watched = source.watch(revision) => watched,
            () = service.missed() => {
                log::info!(revision:% = revision; "watch is deaf; watching anew");
                continue;
            }
            _ = duty.wait_for(Option::is_none) => continue,
        };
        let pause = match watched {
            Ok((changes, told)) => {
                let first = *duty.borrow() == Some(0);
                if !first && !changes.is_empty() && !timer.pause(SECOND).await {
                    return;
                }
                if failures > 0 {
                    log::info!(failures = failures, revision:% = told; "watch is back");
                }
                failures = 0;
                backoff.succeeded();
                if service.take_watched(changes, told) {
                    GATHER
                } else {
                    time::Duration::ZERO
                }
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(revision:% = revision, error:% = error; "watch lost");
                }
                failures += 1;
                backoff.failed(rand::random_range(JITTER))
            }
        };
        if !pause.is_zero() && !timer.pause(pause).await {
            return;
        }
    }
}
