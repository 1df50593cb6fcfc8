//! The mesh of one VM: its links to other VMs, opened on first use.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::metrics;
use tokio::net as sockets;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync as signals;
use tokio_util::task;

use crate::ids;
use crate::member;
use crate::mesh;
use crate::mesh::heartbeat;
use crate::mesh::inbound;
use crate::mesh::instruments;
use crate::mesh::link;
use crate::mesh::message;
use crate::mesh::outbox;
use crate::timer;

/// Configuration of a VM's mesh.
#[derive(Debug)]
pub struct Config {
    /// Name of this VM.
    pub vm: ids::Vm,
    /// Incarnation of this VM: a number that rises with each start.
    pub incarnation: ids::Incarnation,
    /// Bound listener for links from other VMs.
    pub listen: sockets::TcpListener,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Most frames queued on one link.
    pub max_queued_frames: usize,
    /// Most bytes queued on one link.
    pub max_queued_bytes: usize,
    /// Timeout of connecting and, separately, of the exchange of hellos.
    pub connect_timeout: time::Duration,
    /// Interval of heartbeats on links that carry frames.
    pub heartbeat_interval: time::Duration,
    /// Heartbeat intervals without an answer after which a link counts as silent.
    pub max_missed_heartbeats: u32,
    /// Time without frames after which a link is closed.
    pub idle_timeout: time::Duration,
}

impl Config {
    /// Returns the defaults: frames of 8 MiB, queues of 16,384 frames or 16 MiB,
    /// links silent after a second and idle after two minutes.
    pub fn new(vm: ids::Vm, incarnation: ids::Incarnation, listen: sockets::TcpListener) -> Self {
        Self {
            vm,
            incarnation,
            listen,
            max_frame_bytes: 8 << 20,
            max_queued_frames: 16_384,
            max_queued_bytes: 16 << 20,
            connect_timeout: time::Duration::from_secs(1),
            heartbeat_interval: time::Duration::from_millis(250),
            max_missed_heartbeats: 4,
            idle_timeout: time::Duration::from_secs(120),
        }
    }
}

/// Limits and timeouts that the mesh's tasks use.
#[derive(Debug)]
pub(super) struct Limits {
    pub(super) max_frame_bytes: usize,
    pub(super) connect_timeout: time::Duration,
    queue: outbox::Limits,
    heartbeat: heartbeat::Limits,
}

/// Longest time that a close waits for peers to take the last frames.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The links between this VM and the others.
pub struct Mesh {
    pub(super) hello: message::Hello,
    pub(super) limits: Limits,
    pub(super) receiver: sync::Arc<dyn mesh::Receiver>,
    pub(super) instruments: sync::Arc<instruments::Instruments>,
    pub(super) inbound: inbound::Inbound,
    pub(super) inbound_tasks: task::TaskTracker,
    vm: ids::Vm,
    view: watch::Receiver<member::SharedView>,
    links: sync::RwLock<collections::HashMap<ids::Vm, sync::Arc<link::Link>>>,
    local: mpsc::Sender<message::Body>,
    link_tasks: task::TaskTracker,
    runtime: tokio::runtime::Handle,
    closed: atomic::AtomicBool,
    stop: signals::CancellationToken,
    /// Reference to this mesh for the tasks of new links.
    weak_self: sync::Weak<Self>,
}

impl Mesh {
    /// Starts the mesh and accepts links. Must be called within a tokio runtime.
    pub fn start(
        config: Config,
        view: watch::Receiver<member::SharedView>,
        receiver: sync::Arc<dyn mesh::Receiver>,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> sync::Arc<Self> {
        let address = config.listen.local_addr();
        let (local, delivered) = mpsc::channel(config.max_queued_frames.max(1));
        let limits = Limits::of(&config);
        let hello = message::Hello {
            vm: config.vm.to_string(),
            incarnation: config.incarnation.0,
            protocol: mesh::PROTOCOL,
            address: address.map_or_else(|_| String::new(), |address| address.to_string()),
        };
        let mesh = sync::Arc::new_cyclic(|weak_self| Self {
            hello,
            limits,
            receiver,
            instruments: instruments::Instruments::register(meter),
            inbound: inbound::Inbound::default(),
            inbound_tasks: task::TaskTracker::new(),
            vm: config.vm,
            view,
            links: sync::RwLock::default(),
            local,
            link_tasks: task::TaskTracker::new(),
            runtime: tokio::runtime::Handle::current(),
            closed: atomic::AtomicBool::new(false),
            stop: timer.stop().child_token(),
            weak_self: sync::Weak::clone(weak_self),
        });
        tokio::spawn(inbound::accept(sync::Arc::clone(&mesh), config.listen));
        tokio::spawn(deliver_local(sync::Arc::clone(&mesh), delivered));
        let ticks = timer.every(config.heartbeat_interval, config.heartbeat_interval);
        tokio::spawn(tick_links(sync::Arc::clone(&mesh), ticks));
        tokio::spawn(prune_links(sync::Arc::clone(&mesh)));
        mesh
    }

    /// Waits until every frame queued so far is written or its link is lost.
    pub async fn flushed(&self) {
        for link in self.all_links() {
            link.outbox.wait_flushed().await;
        }
    }

    /// Accepts no more frames, writes the queued ones followed by a bye, and closes
    /// all links. Peers that don't read are given up after [`CLOSE_TIMEOUT`].
    pub async fn close(&self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        for link in self.all_links() {
            link.outbox.close();
        }
        self.link_tasks.close();
        if tokio::time::timeout(CLOSE_TIMEOUT, self.link_tasks.wait())
            .await
            .is_err()
        {
            log::warn!("mesh: some peers did not take their last frames in time");
        }
        self.stop.cancel();
        self.inbound_tasks.close();
        self.inbound_tasks.wait().await;
    }

    /// Returns the number of open links in both directions.
    pub fn links(&self) -> u64 {
        let open = self.instruments.open.load(atomic::Ordering::Relaxed);
        u64::try_from(open).unwrap_or(0)
    }

    pub(super) fn stopped(&self) -> &signals::CancellationToken {
        &self.stop
    }

    /// Counts a link as open until the guard is dropped.
    pub(super) fn count_open(&self) -> OpenGuard {
        self.instruments
            .open
            .fetch_add(1, atomic::Ordering::Relaxed);
        OpenGuard(sync::Arc::clone(&self.instruments))
    }

    /// Ends the link to an earlier incarnation of `vm` after a hello from a later one.
    pub(super) fn peer_restarted(&self, vm: &ids::Vm, incarnation: ids::Incarnation) {
        let link = self.existing_link(vm);
        if let Some(link) = link.filter(|link| link.is_older(incarnation)) {
            link.abort(link::End::Restarted);
        }
    }

    /// Logs the loss of a link and reports it to the receiver.
    pub(super) fn link_lost(&self, vm: &ids::Vm, direction: &str, reason: &str) {
        instruments::increment(&self.instruments.lost);
        log::info!("mesh: lost the link {direction} VM {vm}: {reason}");
        self.receiver.link_lost(vm);
    }

    /// Logs that a link couldn't be opened and reports it to the receiver.
    fn link_not_opened(&self, vm: &ids::Vm, reason: &str) {
        instruments::increment(&self.instruments.lost);
        log::info!("mesh: failed to open a link to VM {vm}: {reason}");
        self.receiver.link_not_opened(vm);
    }

    fn all_links(&self) -> Vec<sync::Arc<link::Link>> {
        let links = self.links.read();
        let links = links.unwrap_or_else(sync::PoisonError::into_inner);
        links.values().cloned().collect()
    }

    fn existing_link(&self, to: &ids::Vm) -> Option<sync::Arc<link::Link>> {
        let links = self.links.read();
        let links = links.unwrap_or_else(sync::PoisonError::into_inner);
        links.get(to).cloned()
    }

    /// Returns the link to `to`; opens one if there is none.
    fn link(&self, to: &ids::Vm) -> Result<sync::Arc<link::Link>, mesh::Error> {
        if let Some(link) = self.existing_link(to) {
            return Ok(link);
        }
        let unknown = || mesh::Error::Unknown { vm: to.clone() };
        let address = self.address(to).ok_or_else(unknown)?;
        let links = self.links.write();
        let mut links = links.unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(link) = links.get(to) {
            return Ok(sync::Arc::clone(link));
        }
        let mesh = self.weak_self.upgrade().ok_or_else(unknown)?;
        let settings = self.settings(address);
        let instruments = sync::Arc::clone(&self.instruments);
        let link = sync::Arc::new(link::Link::new(to.clone(), settings, instruments));
        links.insert(to.clone(), sync::Arc::clone(&link));
        let task = run_link(mesh, sync::Arc::clone(&link));
        self.link_tasks.spawn_on(task, &self.runtime);
        Ok(link)
    }

    fn settings(&self, address: net::SocketAddr) -> link::Settings {
        link::Settings {
            address,
            hello: self.hello.clone(),
            connect_timeout: self.limits.connect_timeout,
            queue: self.limits.queue,
            heartbeat: self.limits.heartbeat,
        }
    }

    /// Returns the address of `to` from the view, or else from its hello, so that a
    /// VM whose view lags can still answer requests.
    fn address(&self, to: &ids::Vm) -> Option<net::SocketAddr> {
        let known = self.view.borrow().get(to).map(|member| member.address);
        known.or_else(|| self.inbound.address(to))
    }

    /// Removes `link`, unless a new one has replaced it.
    fn remove_link(&self, link: &sync::Arc<link::Link>) {
        let links = self.links.write();
        let mut links = links.unwrap_or_else(sync::PoisonError::into_inner);
        let current = links.get(&link.peer);
        if current.is_some_and(|current| sync::Arc::ptr_eq(current, link)) {
            links.remove(&link.peer);
        }
    }

    fn count_refused(&self, error: mesh::Error) -> mesh::Error {
        instruments::increment(&self.instruments.refused);
        error
    }

    fn try_send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        let vm = to.clone();
        if self.closed.load(atomic::Ordering::SeqCst) {
            return Err(mesh::Error::Closed { vm });
        }
        let full = mesh::Error::Full { vm: to.clone() };
        if *to == self.vm {
            return self.local.try_send(body).map_err(|_| full);
        }
        let (size, limit) = (body.encoded_len(), self.limits.max_frame_bytes);
        if size > limit {
            return Err(mesh::Error::Large { vm, size, limit });
        }
        // A link may close between the lookup and the push; the second pass opens
        // a new one.
        for _ in 0..2 {
            let link = self.link(to)?;
            match link.send(&body, size) {
                Ok(()) => return Ok(()),
                Err(outbox::Refusal::Full) => return Err(full),
                Err(outbox::Refusal::Closed) => self.remove_link(&link),
            }
        }
        Err(full)
    }
}

impl mesh::Sender for Mesh {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        let sent = self.try_send(to, body);
        sent.map_err(|error| self.count_refused(error))
    }
}

impl Limits {
    fn of(config: &Config) -> Self {
        let interval_us = config.heartbeat_interval.as_micros().max(1);
        let idle_ticks =
            u32::try_from(config.idle_timeout.as_micros() / interval_us).unwrap_or(u32::MAX);
        Self {
            max_frame_bytes: config.max_frame_bytes,
            connect_timeout: config.connect_timeout,
            queue: outbox::Limits {
                max_frames: config.max_queued_frames,
                max_bytes: config.max_queued_bytes,
                max_frame_bytes: config.max_frame_bytes,
            },
            heartbeat: heartbeat::Limits {
                silent_ticks: config.max_missed_heartbeats,
                idle_ticks,
            },
        }
    }
}

/// Counts one link as open until dropped.
pub(super) struct OpenGuard(sync::Arc<instruments::Instruments>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Runs a link until it ends, and reports the loss if frames may be lost.
async fn run_link(mesh: sync::Arc<Mesh>, link: sync::Arc<link::Link>) {
    let open = mesh.count_open();
    let end = tokio::select! {
        end = link.run() => end,
        () = mesh.stop.cancelled() => return,
    };
    drop(open);
    mesh.remove_link(&link);
    match &end {
        link::End::Closed => return,
        link::End::NotOpened(reason) => return mesh.link_not_opened(&link.peer, reason),
        lost => mesh.link_lost(&link.peer, "to", &lost.to_string()),
    }
    if end == link::End::Silent {
        instruments::increment(&mesh.instruments.silent);
        // The peer may wait for replies that were lost with the silent link. A
        // hello on a new link tells it that the old one has ended.
        drop(mesh.link(&link.peer));
    }
}

/// Delivers frames to this VM itself. Runs as a task, so that a receiver that sends
/// from within its own call isn't called recursively.
async fn deliver_local(mesh: sync::Arc<Mesh>, mut delivered: mpsc::Receiver<message::Body>) {
    loop {
        let body = tokio::select! {
            () = mesh.stop.cancelled() => return,
            body = delivered.recv() => body,
        };
        let Some(body) = body else { return };
        mesh.receiver.receive(&mesh.vm, body);
    }
}

/// Passes heartbeat ticks to all links.
async fn tick_links(mesh: sync::Arc<Mesh>, mut ticks: timer::Subscription) {
    while ticks.tick().await.is_some() {
        for link in mesh.all_links() {
            link.tick();
        }
    }
}

/// Aborts links to VMs that are no longer members.
async fn prune_links(mesh: sync::Arc<Mesh>) {
    let mut view = mesh.view.clone();
    loop {
        let changed = tokio::select! {
            () = mesh.stop.cancelled() => return,
            changed = view.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let members = sync::Arc::clone(&view.borrow_and_update());
        let links = mesh.all_links();
        let removed = |link: &&sync::Arc<link::Link>| {
            members.get(&link.peer).is_none() && mesh.inbound.address(&link.peer).is_none()
        };
        for link in links.iter().filter(removed) {
            link.abort(link::End::NotMember(link.peer.clone()));
        }
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
