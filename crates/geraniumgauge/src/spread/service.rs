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
use crate::spread::count;
use crate::spread::store;
use crate::time as clock;
use crate::timer;

/// Size of the receive buffer for a datagram.
const BUFFER: usize = 2048;
/// Delay before a crash suspect is sent again. A datagram may be lost, and each VM
/// that doesn't know the suspect may crash another upstream with it.
const AGAIN: time::Duration = time::Duration::from_millis(100);

/// Receives what is distributed, and sends requests to other VMs.
#[expect(async_fn_in_trait, reason = "everything runs on one thread")]
pub trait Hear: 'static {
    /// Takes a configuration that is newer than the one before.
    fn config(&self, text: &str);
    /// Takes registrations. Those that are missing from them still existed `lag`
    /// ago, and may have been deleted at any moment since.
    fn registrations(&self, news: spread::Registrations, lag: time::Duration);
    /// Returns the registration of this name that was received last, if it names an
    /// upstream.
    fn registration(&self, name: &str) -> Option<registry::Entry>;
    /// Takes a changed view of the fleet.
    fn view(&self, view: spread::View);
    /// Takes a request that another VM suspects of crashing upstreams.
    fn blamed(&self, request: ids::Fingerprint);
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

/// A reserved part of the link for an answer. Dropping it releases the part.
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
    pub(super) hear: H,
    pub(super) state: cell::RefCell<spread::State>,
    pub(super) content: cell::RefCell<content::Content>,
    socket: tokio::net::UdpSocket,
    pub(super) clock: clock::Clock,
    wake: sync::Notify,
    look: sync::Notify,
    pages: sync::mpsc::UnboundedSender<store::Task>,
    duty: sync::watch::Sender<Option<usize>>,
    /// Notifies the watch that it missed a change.
    pub(super) missed: sync::Notify,
}

impl<H: Hear> Service<H> {
    /// Starts the service, which sends and receives datagrams on `socket`. Call
    /// within a local set.
    pub fn start<C, R, P>(
        state: spread::State,
        socket: tokio::net::UdpSocket,
        hear: H,
        store: spread::Store<C, R, P>,
        clock: clock::Clock,
        timer: &timer::Service,
    ) -> Self
    where
        C: follow::Source<Value = String> + 'static,
        R: follow::Source<Value = registry::Entry> + 'static,
        P: spread::Pages + 'static,
    {
        let (pages, tasks) = sync::mpsc::unbounded_channel();
        let (duty, on_duty) = sync::watch::channel(None);
        let service = Self(rc::Rc::new(Inner {
            hear,
            state: cell::RefCell::new(state),
            content: cell::RefCell::default(),
            socket,
            clock,
            wake: sync::Notify::new(),
            look: sync::Notify::new(),
            pages,
            duty,
            missed: sync::Notify::new(),
        }));
        let lookout = store::Lookout {
            config: store.config,
            registrations: store.registrations,
            last: None,
        };
        tokio::task::spawn_local(lookout.run(service.clone(), timer.clone()));
        tokio::task::spawn_local(store::keep_pages(service.clone(), store.pages, tasks));
        let watch = store::watch(service.clone(), store.watched, on_duty, timer.clone());
        tokio::task::spawn_local(watch);
        tokio::task::spawn_local(service.clone().receive(timer.clone()));
        tokio::task::spawn_local(service.clone().run(timer.clone()));
        service
    }

    /// Performs work that is due until `timer` stops.
    async fn run(self, timer: timer::Service) {
        loop {
            self.act(|_, _| ());
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
    pub fn show(&self, meter: &metrics::Meter, period: time::Duration, timer: &timer::Service) {
        let count = count::Count::new(meter);
        tokio::task::spawn_local(count.run(self.clone(), period, timer.clone()));
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
        let result = self.act(change);
        // The change may have moved the time of the next action.
        self.0.wake.notify_one();
        result
    }

    fn act<T>(&self, change: impl FnOnce(&mut spread::State, clock::Moment) -> T) -> T {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let result = change(&mut state, now);
        let actions = state.tick(now);
        self.0.duty.send_if_modified(|on| {
            let duty = state.duty(now);
            std::mem::replace(on, duty) != duty
        });
        drop(state);
        for action in actions {
            self.carry_out(action);
        }
        result
    }

    fn carry_out(&self, action: spread::Action) {
        match action {
            spread::Action::Send { to, datagram } => self.send(&to, &datagram),
            spread::Action::Fetch { from, fetch } => {
                tokio::task::spawn_local(self.clone().fetch(from, fetch));
            }
            spread::Action::Look => self.0.look.notify_one(),
            spread::Action::ReadDirectory => self.keep_pages(store::Task::Read),
            spread::Action::WriteDirectory { page, directory } => {
                self.keep_pages(store::Task::Write(page, directory));
            }
            spread::Action::View(view) => self.0.hear.view(view),
        }
    }

    fn keep_pages(&self, task: store::Task) {
        // Sending fails only when the process ends.
        let _ = self.0.pages.send(task);
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
        let mut buffer = [0; BUFFER];
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
                Ok(datagram) => self.hear(from, datagram),
                Err(error) => {
                    log::warn!(from:% = from, error:% = error; "datagram can't be read");
                }
            }
        }
    }

    fn hear(&self, from: net::SocketAddr, datagram: spread::Datagram) {
        match &datagram {
            spread::Datagram::Blamed(request) => return self.0.hear.blamed(*request),
            spread::Datagram::Update(update) => self.take_changes(update),
            spread::Datagram::Hello(_) => {}
        }
        self.handle(|state, now| state.heard(from, datagram, now));
    }

    /// Reserves part of the link for the answer to a request; `None` if the answer
    /// is small.
    ///
    /// # Errors
    ///
    /// Returns where to ask instead if the link has no capacity.
    pub(super) fn slot(
        &self,
        fetch: &spread::Fetch,
        size: rate::Bytes,
    ) -> Result<Option<Slot>, spread::Elsewhere> {
        let now = self.clock().now();
        let ticket = self.0.state.borrow_mut().admit(fetch, size, now)?;
        Ok(ticket.map(|ticket| {
            let service = self.clone();
            Slot(Box::new(move || {
                let now = service.clock().now();
                service.0.state.borrow_mut().told(ticket, now);
                service.0.wake.notify_one();
            }))
        }))
    }

    /// Notifies all other VMs of a request that is suspected of crashing upstreams.
    pub async fn blame(&self, request: ids::Fingerprint) {
        let datagram = spread::Datagram::Blamed(request);
        for _ in 0..2 {
            let to: Vec<_> = {
                let state = self.0.state.borrow();
                state.members().others().map(|vm| vm.address).collect()
            };
            self.send(&to, &datagram);
            tokio::time::sleep(AGAIN).await;
        }
    }

    async fn fetch(self, from: net::SocketAddr, fetch: spread::Fetch) {
        let began = self.clock().now();
        let answer = self.0.hear.fetch(from, fetch).await;
        let took = self.clock().now().since(began);
        let answer = match answer {
            Ok(mut answer) => {
                log_answer(from, &answer, took);
                self.take_answer(from, &mut answer, took);
                Some(answer)
            }
            Err(error) => {
                log::info!(vm:% = from, error:% = error, took_ms = clock::millis(took); "VM doesn't answer");
                None
            }
        };
        self.handle(|state, now| state.answered(from, answer.as_ref(), took, now));
    }

    /// Waits until a poll is requested.
    pub(super) async fn look_wanted(&self) {
        self.0.look.notified().await;
    }

    /// Waits until a change has been received that the watch missed.
    pub(super) async fn missed(&self) {
        self.0.missed.notified().await;
    }
}

/// Logs an answer that contains a configuration.
fn log_answer(from: net::SocketAddr, answer: &spread::Answer, took: time::Duration) {
    let Some(config) = &answer.config else {
        return;
    };
    let look = answer.summary.look.as_ref();
    log::info!(
        vm:% = from, config_bytes = config.len(), took_ms = clock::millis(took),
        look_age_ms:? = look.map(|look| clock::millis(look.age));
        "another VM told its configuration"
    );
}
