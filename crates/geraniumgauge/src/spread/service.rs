//! Carries out what [`spread::State`] decides, and keeps the content of the store.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use opentelemetry::metrics;
use tokio::sync;

use crate::follow;
use crate::ids;
use crate::rate;
use crate::registry;
use crate::spread;
use crate::spread::content;
use crate::spread::instruments;
use crate::spread::store;
use crate::time as clock;
use crate::timer;

/// Size of the receive buffer for a datagram.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Delay before a crash suspect is sent again. A datagram may be lost, and each VM
/// that doesn't know the suspect may crash another upstream with it.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(100);

/// Applies received configuration, registrations and views on this VM, and sends
/// fetches to other VMs.
#[expect(async_fn_in_trait, reason = "everything runs on one thread")]
pub trait Listener: 'static {
    /// Applies a configuration that is newer than the one before.
    fn apply_config(&self, text: &str);
    /// Applies registrations. Those that are missing from them still existed `lag`
    /// ago, and may have been deleted at any moment since.
    fn apply_registrations(&self, delta: spread::Registrations, lag: time::Duration);
    /// Returns the registration of this name that was received last, if it names an
    /// upstream.
    fn find_registration(&self, name: &str) -> Option<registry::Entry>;
    /// Applies a changed view of the fleet.
    fn apply_view(&self, view: spread::View);
    /// Adds a request that another VM suspects of crashing upstreams.
    fn add_crash_suspect(&self, request: ids::Fingerprint);
    /// Sends a request to another VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM doesn't answer in time.
    async fn fetch(
        &self,
        from: net::SocketAddr,
        fetch: spread::Fetch,
    ) -> io::Result<spread::Answer>;
}

/// A share of this VM's outgoing bandwidth, reserved for an answer. Dropping it
/// releases the share.
#[derive(derive_more::Debug)]
#[debug("Slot")]
pub struct Slot(Box<dyn Fn()>);

impl Drop for Slot {
    fn drop(&mut self) {
        (self.0)();
    }
}

/// The service that runs on one VM; clones share its state.
#[derive(derive_more::Debug)]
#[debug("Service")]
pub struct Service<H>(pub(super) rc::Rc<Inner<H>>);

impl<H> Clone for Service<H> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

pub(super) struct Inner<H> {
    pub(super) listener: H,
    pub(super) state: cell::RefCell<spread::State>,
    pub(super) content: cell::RefCell<content::Content>,
    socket: tokio::net::UdpSocket,
    pub(super) clock: clock::Clock,
    wake: sync::Notify,
    poll: sync::Notify,
    directory_tasks: sync::mpsc::UnboundedSender<store::DirectoryTask>,
    poller_rank: sync::watch::Sender<Option<usize>>,
    /// Notifies the watch that it missed a change.
    pub(super) watch_missed: sync::Notify,
}

impl<H: Listener> Service<H> {
    /// Starts the service, which sends and receives datagrams on `socket`. Call
    /// within a local set.
    pub fn start<C, R, P>(
        state: spread::State,
        socket: tokio::net::UdpSocket,
        listener: H,
        store: spread::Store<C, R, P>,
        clock: clock::Clock,
        timer: &timer::Service,
    ) -> Self
    where
        C: follow::Source<Value = String> + 'static,
        R: follow::Source<Value = registry::Entry> + 'static,
        P: spread::DirectoryPages + 'static,
    {
        let (directory_tasks, tasks) = sync::mpsc::unbounded_channel();
        let (poller_rank, rank_changes) = sync::watch::channel(None);
        let service = Self(rc::Rc::new(Inner {
            listener,
            state: cell::RefCell::new(state),
            content: cell::RefCell::default(),
            socket,
            clock,
            wake: sync::Notify::new(),
            poll: sync::Notify::new(),
            directory_tasks,
            poller_rank,
            watch_missed: sync::Notify::new(),
        }));
        let poller = store::Poller {
            config: store.config,
            registrations: store.registration_lists,
            last: None,
        };
        tokio::task::spawn_local(poller.run(service.clone(), timer.clone()));
        tokio::task::spawn_local(store::run_directory_tasks(
            service.clone(),
            store.directory,
            tasks,
        ));
        let watch = store::watch(
            service.clone(),
            store.registration_watches,
            rank_changes,
            timer.clone(),
        );
        tokio::task::spawn_local(watch);
        tokio::task::spawn_local(service.clone().receive(timer.clone()));
        tokio::task::spawn_local(service.clone().run(timer.clone()));
        service
    }

    /// Performs work that is due until `timer` stops.
    async fn run(self, timer: timer::Service) {
        loop {
            self.advance(|_, _| ());
            let now = self.clock().now();
            let wake = self.0.state.borrow().wake_at(now);
            tokio::select! {
                () = timer.stop().cancelled() => return,
                () = self.0.wake.notified() => {}
                () = tokio::time::sleep_until(self.clock().instant(wake)) => {}
            }
        }
    }

    pub(super) fn clock(&self) -> clock::Clock {
        self.0.clock
    }

    /// Updates gauges of `meter` at intervals of `period`.
    pub fn record_metrics(
        &self,
        meter: &metrics::Meter,
        interval: time::Duration,
        timer: &timer::Service,
    ) {
        let instruments = instruments::Instruments::new(meter);
        tokio::task::spawn_local(instruments.run(self.clone(), interval, timer.clone()));
    }

    /// Returns the age of the latest poll whose result this VM holds.
    pub(super) fn age(&self) -> Option<time::Duration> {
        self.0.state.borrow().age(self.0.clock.now())
    }

    /// Returns the number of VMs, once it is known.
    pub(super) fn vms(&self) -> Option<usize> {
        self.0.state.borrow().vms(self.0.clock.now())
    }

    /// Changes the state and carries out the actions that follow.
    pub(super) fn handle<T>(
        &self,
        change: impl FnOnce(&mut spread::State, clock::Moment) -> T,
    ) -> T {
        let result = self.advance(change);
        // The change may have moved the time of the next action.
        self.0.wake.notify_one();
        result
    }

    fn advance<T>(&self, change: impl FnOnce(&mut spread::State, clock::Moment) -> T) -> T {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let result = change(&mut state, now);
        let actions = state.tick(now);
        self.0.poller_rank.send_if_modified(|rank| {
            let poller_rank = state.poller_rank(now);
            std::mem::replace(rank, poller_rank) != poller_rank
        });
        drop(state);
        for action in actions {
            self.execute(action);
        }
        result
    }

    fn execute(&self, action: spread::Action) {
        match action {
            spread::Action::Send { to, datagram } => self.send(&to, &datagram),
            spread::Action::Fetch { from, fetch } => {
                tokio::task::spawn_local(self.clone().fetch(from, fetch));
            }
            spread::Action::Poll => self.0.poll.notify_one(),
            spread::Action::ReadDirectory => self.request_directory(store::DirectoryTask::Read),
            spread::Action::WriteDirectory { page, directory } => {
                self.request_directory(store::DirectoryTask::Write(page, directory));
            }
            spread::Action::View(view) => self.0.listener.apply_view(view),
        }
    }

    fn request_directory(&self, task: store::DirectoryTask) {
        // Sending fails only when the process ends.
        let _ = self.0.directory_tasks.send(task);
    }

    /// Sends without waiting. Datagrams that the system doesn't accept at once are
    /// lost; VMs that lack their content request it.
    fn send(&self, to: &[net::SocketAddr], datagram: &spread::Datagram) {
        let bytes = datagram.encode();
        let mut failed = 0;
        for address in to {
            failed += u32::from(self.0.socket.try_send_to(&bytes, *address).is_err());
        }
        if failed > 0 {
            log::info!(vms = to.len(), failed = failed, bytes = bytes.len(); "datagram not sent to every VM");
        }
    }

    async fn receive(self, timer: timer::Service) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let received = tokio::select! {
                () = timer.stop().cancelled() => return,
                received = self.0.socket.recv_from(&mut buffer) => received,
            };
            let (count, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    // The system reports an error here when an earlier datagram
                    // went to a VM that is gone.
                    log::debug!(error:% = error; "datagram not received");
                    continue;
                }
            };
            match spread::Datagram::decode(&buffer[..count]) {
                Ok(datagram) => self.dispatch(from, datagram),
                Err(error) => {
                    log::warn!(from:% = from, error:% = error; "datagram can't be read");
                }
            }
        }
    }

    fn dispatch(&self, from: net::SocketAddr, datagram: spread::Datagram) {
        match &datagram {
            spread::Datagram::CrashSuspect(request) => {
                return self.0.listener.add_crash_suspect(*request);
            }
            spread::Datagram::Update(update) => self.apply_update(update),
            spread::Datagram::Hello(_) => {}
        }
        self.handle(|state, now| state.receive(from, datagram, now));
    }

    /// Reserves outgoing bandwidth for the answer to a request; `None` if the answer
    /// is small.
    ///
    /// # Errors
    ///
    /// Returns where to ask instead if the bandwidth for answers is used up.
    pub(super) fn reserve(
        &self,
        fetch: &spread::Fetch,
        size: rate::Bytes,
    ) -> Result<Option<Slot>, spread::Redirect> {
        let now = self.clock().now();
        let reservation = self.0.state.borrow_mut().admit(fetch, size, now)?;
        Ok(reservation.map(|reservation| {
            let service = self.clone();
            Slot(Box::new(move || {
                let now = service.clock().now();
                service.0.state.borrow_mut().release(reservation, now);
                service.0.wake.notify_one();
            }))
        }))
    }

    /// Notifies all other VMs of a request that is suspected of crashing upstreams.
    pub async fn report_crash_suspect(&self, request: ids::Fingerprint) {
        let datagram = spread::Datagram::CrashSuspect(request);
        for _ in 0..2 {
            let to: Vec<_> = {
                let state = self.0.state.borrow();
                state.members().others().map(|vm| vm.address).collect()
            };
            self.send(&to, &datagram);
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }

    async fn fetch(self, from: net::SocketAddr, fetch: spread::Fetch) {
        let began = self.clock().now();
        let answer = self.0.listener.fetch(from, fetch).await;
        let took = self.clock().now().since(began);
        let answer = match answer {
            Ok(mut answer) => {
                log_answer(from, &answer, took);
                self.apply_answer(from, &mut answer, took);
                Some(answer)
            }
            Err(error) => {
                log::info!(vm:% = from, error:% = error, took_ms = clock::millis(took); "VM doesn't answer");
                None
            }
        };
        self.handle(|state, now| state.fetched(from, answer.as_ref(), took, now));
    }

    /// Waits until a poll is requested.
    pub(super) async fn poll_requested(&self) {
        self.0.poll.notified().await;
    }

    /// Waits until a change has been received that the watch missed.
    pub(super) async fn watch_missed(&self) {
        self.0.watch_missed.notified().await;
    }
}

/// Logs an answer that contains a configuration.
fn log_answer(from: net::SocketAddr, answer: &spread::Answer, took: time::Duration) {
    let Some(config) = &answer.config else {
        return;
    };
    let poll = answer.summary.poll.as_ref();
    log::info!(
        vm:% = from, config_bytes = config.len(), took_ms = clock::millis(took),
        look_age_ms:? = poll.map(|poll| clock::millis(poll.age));
        "received configuration from another VM"
    );
}
