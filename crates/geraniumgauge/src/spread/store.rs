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
const BATCH_DELAY: time::Duration = time::Duration::from_millis(150);
/// Delay after which the second poller reports a change that its watch received, so
/// that the first one can report it before.
const SECOND_POLLER_DELAY: time::Duration = time::Duration::from_millis(75);
/// Interval at which a poll in progress is checked for new data.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// First delay after a failed call.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longest delay after failed calls. Registrations that expired during an outage
/// are back two seconds after the store is, which must be noticed well before.
pub(super) const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(800);
/// Random factor of a delay. VMs that lost the store together would otherwise call
/// it together. The factor stays close to 1, since each call to the store costs
/// money.
pub(super) const RETRY_JITTER: std::ops::Range<f64> = 0.7..1.0;

/// Creates the backoff for failed calls.
pub(super) fn backoff() -> store::Backoff {
    store::Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

/// Access to the directory in the store.
#[expect(async_fn_in_trait, reason = "everything runs on one thread")]
pub trait DirectoryPages {
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
    async fn write(
        &mut self,
        page: usize,
        directory: &spread::Directory,
    ) -> Result<(), follow::Error>;
}

/// Objects in the store that the service uses, each over a connection of its own.
#[derive(Debug)]
pub struct Store<C, R, P> {
    /// The configuration.
    pub config: C,
    /// The registrations, for lists.
    pub registration_lists: R,
    /// The registrations, for watches.
    pub registration_watches: R,
    /// The directory.
    pub directory: P,
}

/// Polls the store with linearizable reads.
pub(super) struct Poller<C, R> {
    pub(super) config: C,
    pub(super) registrations: R,
    /// The registrations that the last poll showed.
    pub(super) last: Option<Listing>,
}

/// Identifies the registrations that a poll showed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listing {
    at: ids::Revision,
    digest: follow::Digest,
}

impl<C, R> Poller<C, R>
where
    C: follow::Source<Value = String>,
    R: follow::Source<Value = registry::Entry>,
{
    /// Polls the store each time that the service requests it, until `timer` stops.
    pub(super) async fn run<H: spread::Listener>(
        mut self,
        service: spread::Service<H>,
        timer: timer::Service,
    ) {
        loop {
            tokio::select! {
                () = timer.stop().cancelled() => return,
                () = service.poll_requested() => {}
            }
            let began = service.clock().now();
            let received = [
                self.config.last_received(),
                self.registrations.last_received(),
            ];
            let polled = tokio::select! {
                polled = self.poll(&service) => polled,
                () = follow_progress(&service, &received, &timer) => return,
            };
            let took = service.clock().now().since(began);
            let age = match polled {
                Ok(()) => {
                    log::info!(took_ms = clock::millis(took); "polled the store");
                    Some(took)
                }
                Err(error) => {
                    log::info!(error:% = error, took_ms = clock::millis(took); "poll of the store failed");
                    None
                }
            };
            service.handle(|state, now| state.polled(age, now));
        }
    }

    async fn poll<H: spread::Listener>(
        &mut self,
        service: &spread::Service<H>,
    ) -> Result<(), follow::Error> {
        let snapshot = self.config.list().await?;
        let revision = snapshot.revision;
        for item in snapshot.items {
            if let Some(text) = item.value {
                service.apply_config(item.revision, text, "the store");
            }
        }
        // If nothing was written since the last poll, the registrations needn't be
        // listed.
        let same = self.last.filter(|last| last.at == revision);
        if same.is_some_and(|last| service.confirm(last.at, last.digest)) {
            return Ok(());
        }
        let snapshot = self.registrations.list().await?;
        self.last = Some(Listing {
            at: snapshot.revision,
            digest: follow::Digest::of(&snapshot.items),
        });
        service.apply_list(snapshot, true, "the store");
        Ok(())
    }
}

/// Reports when data from the store arrives during a poll, until `timer` stops.
async fn follow_progress<H: spread::Listener>(
    service: &spread::Service<H>,
    received: &[clock::Latest],
    timer: &timer::Service,
) {
    while timer.sleep(PROGRESS_INTERVAL).await {
        if let Some(age) = received.iter().filter_map(clock::Latest::age).min() {
            service.handle(|state, now| state.poll_progressed(age, now));
        }
    }
}

/// An operation on the directory.
#[derive(Debug)]
pub(super) enum DirectoryTask {
    Read,
    Write(usize, spread::Directory),
}

/// Reads and writes the directory as requested.
pub(super) async fn run_directory_tasks<H: spread::Listener, P: DirectoryPages>(
    service: spread::Service<H>,
    mut pages: P,
    mut tasks: sync::mpsc::UnboundedReceiver<DirectoryTask>,
) {
    while let Some(task) = tasks.recv().await {
        match task {
            DirectoryTask::Read => {
                let read = pages.read().await;
                let read =
                    read.inspect_err(|error| log::info!(error:% = error; "directory not read"));
                service.handle(|state, now| state.directory_read(read.ok(), now));
            }
            DirectoryTask::Write(page, directory) => {
                let written = pages.write(page, &directory).await;
                match &written {
                    Ok(()) => log::info!(page = page, vms = directory.vms; "directory written"),
                    Err(error) => log::info!(page = page, error:% = error; "directory not written"),
                }
                service.handle(|state, now| state.directory_written(written.is_ok(), now));
            }
        }
    }
}

/// Watches the registrations while this VM is a poller.
pub(super) async fn watch<H, R>(
    service: spread::Service<H>,
    mut source: R,
    mut poller_rank: sync::watch::Receiver<Option<usize>>,
    timer: timer::Service,
) where
    H: spread::Listener,
    R: follow::Source<Value = registry::Entry>,
{
    let mut backoff = backoff();
    let mut failures = 0_u32;
    loop {
        if poller_rank.wait_for(Option::is_some).await.is_err() {
            return;
        }
        let Some(revision) = service.revision() else {
            if !timer.sleep(MIN_RETRY_DELAY).await {
                return;
            }
            continue;
        };
        let watched = tokio::select! {
            () = timer.stop().cancelled() => return,
            watched = source.watch(revision) => watched,
            () = service.watch_missed() => {
                log::info!(revision:% = revision; "watch missed a change; restarting it");
                continue;
            }
            _ = poller_rank.wait_for(Option::is_none) => continue,
        };
        let delay = match watched {
            Ok((changes, until)) => {
                let first = *poller_rank.borrow() == Some(0);
                if !first && !changes.is_empty() && !timer.sleep(SECOND_POLLER_DELAY).await {
                    return;
                }
                if failures > 0 {
                    log::info!(failures = failures, revision:% = until; "watch is back");
                }
                failures = 0;
                backoff.succeeded();
                if service.apply_watched(changes, until) {
                    BATCH_DELAY
                } else {
                    time::Duration::ZERO
                }
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(revision:% = revision, error:% = error; "watch lost");
                }
                failures += 1;
                backoff.failed(rand::random_range(RETRY_JITTER))
            }
        };
        if !delay.is_zero() && !timer.sleep(delay).await {
            return;
        }
    }
}
