//! The mesh of one VM: its links, opened on first use.

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
use crate::mesh::count;
use crate::mesh::inbound;
use crate::mesh::link;
use crate::mesh::message;
use crate::mesh::outbox;
use crate::mesh::pulse;
use crate::timer;

/// How the mesh of a VM is set up.
#[derive(Debug)]
pub struct Config {
    /// This VM.
    pub vm: ids::Vm,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
    /// Where links are accepted, already bound.
    pub listen: sockets::TcpListener,
    /// Largest frame, in bytes.
    pub frame_bytes: usize,
    /// Frames that may wait on one link.
    pub queue_frames: usize,
    /// Bytes that may wait on one link.
    pub queue_bytes: usize,
    /// Time for connecting and for the greeting, each.
    pub connect: time::Duration,
    /// How often links that carry frames are asked for a sign of life.
    pub beat: time::Duration,
    /// Heartbeats that may go unanswered before a link counts as silent.
    pub silent_beats: u32,
    /// Time without frames after which a link is closed.
    pub idle: time::Duration,
}

impl Config {
    /// Defaults: frames of 8 MiB, queues of 16,384 frames or 16 MiB, silent
    /// after a second, idle after two minutes.
    pub fn new(vm: ids::Vm, incarnation: ids::Incarnation, listen: sockets::TcpListener) -> Self {
        Self {
            vm,
            incarnation,
            listen,
            frame_bytes: 8 << 20,
            queue_frames: 16_384,
            queue_bytes: 16 << 20,
            connect: time::Duration::from_secs(1),
            beat: time::Duration::from_millis(250),
            silent_beats: 4,
            idle: time::Duration::from_secs(120),
        }
    }
}

/// The limits that tasks of the mesh need.
#[derive(Debug)]
pub(super) struct Limits {
    pub(super) frame: usize,
    pub(super) connect: time::Duration,
    queue: outbox::Limits,
    pulse: pulse::Limits,
}

/// How long a close waits for peers to take the last frames.
const CLOSE: time::Duration = time::Duration::from_secs(5);

/// Links between this VM and the others.
pub struct Mesh {
    pub(super) hello: message::Hello,
    pub(super) limits: Limits,
    pub(super) receive: sync::Arc<dyn mesh::Receive>,
    pub(super) count: sync::Arc<count::Count>,
    pub(super) inbound: inbound::Inbound,
    pub(super) inbound_tasks: task::TaskTracker,
    vm: ids::Vm,
    view: watch::Receiver<member::Shared>,
    links: sync::RwLock<collections::HashMap<ids::Vm, sync::Arc<link::Link>>>,
    local: mpsc::Sender<message::Body>,
    link_tasks: task::TaskTracker,
    runtime: tokio::runtime::Handle,
    closed: atomic::AtomicBool,
    stop: signals::CancellationToken,
    /// For tasks of links that are opened on a shared reference.
    this: sync::Weak<Self>,
}

impl Mesh {
    /// Starts accepting links. Call within a tokio runtime.
    pub fn start(
        config: Config,
        view: watch::Receiver<member::Shared>,
        receive: sync::Arc<dyn mesh::Receive>,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> sync::Arc<Self> {
        let address = config.listen.local_addr();
        let (local, delivered) = mpsc::channel(config.queue_frames.max(1));
        let limits = Limits::of(&config);
        let hello = message::Hello {
            vm: config.vm.to_string(),
            incarnation: config.incarnation.0,
            protocol: mesh::PROTOCOL,
            address: address.map_or_else(|_| String::new(), |address| address.to_string()),
        };
        let mesh = sync::Arc::new_cyclic(|this| Self {
            hello,
            limits,
            receive,
            count: count::Count::shown(meter),
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
            this: sync::Weak::clone(this),
        });
        tokio::spawn(inbound::accept(sync::Arc::clone(&mesh), config.listen));
        tokio::spawn(deliver(sync::Arc::clone(&mesh), delivered));
        let beats = timer.every(config.beat, config.beat);
        tokio::spawn(tick(sync::Arc::clone(&mesh), beats));
        tokio::spawn(prune(sync::Arc::clone(&mesh)));
        mesh
    }

    /// Waits until every frame taken so far is written, or its link lost.
    pub async fn flushed(&self) {
        for link in self.all() {
            link.outbox.flushed().await;
        }
    }

    /// Takes no more frames, writes those that wait, tells the peers and
    /// closes all links. Bounded: a peer that doesn't read is given up.
    pub async fn close(&self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        for link in self.all() {
            link.outbox.close();
        }
        self.link_tasks.close();
        if tokio::time::timeout(CLOSE, self.link_tasks.wait())
            .await
            .is_err()
        {
            log::warn!("mesh: some links didn't take their last frames in time");
        }
        self.stop.cancel();
        self.inbound_tasks.close();
        self.inbound_tasks.wait().await;
    }

    /// Links open now, of both directions.
    pub fn links(&self) -> u64 {
        let open = self.count.open.load(atomic::Ordering::Relaxed);
        u64::try_from(open).unwrap_or(0)
    }

    pub(super) fn stopped(&self) -> &signals::CancellationToken {
        &self.stop
    }

    /// Counts a link as open while the guard lives.
    pub(super) fn opened(&self) -> Open {
        self.count.open.fetch_add(1, atomic::Ordering::Relaxed);
        Open(sync::Arc::clone(&self.count))
    }

    /// `vm` has greeted from this start: a link to an earlier one leads nowhere.
    pub(super) fn restarted(&self, vm: &ids::Vm, incarnation: ids::Incarnation) {
        let link = self.linked(vm);
        if let Some(link) = link.filter(|link| link.is_older(incarnation)) {
            link.kill(link::End::Restarted);
        }
    }

    /// A link ended out of order.
    pub(super) fn lost(&self, vm: &ids::Vm, direction: &str, reason: &str) {
        count::up(&self.count.lost);
        log::info!("mesh: the link {direction} {vm} was lost: {reason}");
        self.receive.lost(vm);
    }

    fn all(&self) -> Vec<sync::Arc<link::Link>> {
        let links = self.links.read();
        let links = links.unwrap_or_else(sync::PoisonError::into_inner);
        links.values().cloned().collect()
    }

    fn linked(&self, to: &ids::Vm) -> Option<sync::Arc<link::Link>> {
        let links = self.links.read();
        let links = links.unwrap_or_else(sync::PoisonError::into_inner);
        links.get(to).cloned()
    }

    /// The link to `to`, opened where there is none.
    fn link(&self, to: &ids::Vm) -> Result<sync::Arc<link::Link>, mesh::Error> {
        if let Some(link) = self.linked(to) {
            return Ok(link);
        }
        let unknown = || mesh::Error::Unknown { vm: to.clone() };
        let address = self.address(to).ok_or_else(unknown)?;
        let links = self.links.write();
        let mut links = links.unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(link) = links.get(to) {
            return Ok(sync::Arc::clone(link));
        }
        let mesh = self.this.upgrade().ok_or_else(unknown)?;
        let settings = self.settings(address);
        let count = sync::Arc::clone(&self.count);
        let link = sync::Arc::new(link::Link::new(to.clone(), settings, count));
        links.insert(to.clone(), sync::Arc::clone(&link));
        let task = run(mesh, sync::Arc::clone(&link));
        self.link_tasks.spawn_on(task, &self.runtime);
        Ok(link)
    }

    fn settings(&self, address: net::SocketAddr) -> link::Settings {
        link::Settings {
            address,
            hello: self.hello.clone(),
            connect: self.limits.connect,
            queue: self.limits.queue,
            pulse: self.limits.pulse,
        }
    }

    /// From the view; else from the peer's own greeting, so that a VM whose
    /// view lags behind can still answer what it was asked.
    fn address(&self, to: &ids::Vm) -> Option<net::SocketAddr> {
        let known = self.view.borrow().get(to).map(|member| member.address);
        known.or_else(|| self.inbound.address(to))
    }

    fn forget(&self, gone: &sync::Arc<link::Link>) {
        let links = self.links.write();
        let mut links = links.unwrap_or_else(sync::PoisonError::into_inner);
        let current = links.get(&gone.peer);
        if current.is_some_and(|link| sync::Arc::ptr_eq(link, gone)) {
            links.remove(&gone.peer);
        }
    }

    fn refused(&self, error: mesh::Error) -> mesh::Error {
        count::up(&self.count.refused);
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
        let (size, limit) = (body.encoded_len(), self.limits.frame);
        if size > limit {
            return Err(mesh::Error::Large { vm, size, limit });
        }
        // A link may close in order between the look-up and the push; the
        // second round opens a fresh one.
        for _ in 0..2 {
            let link = self.link(to)?;
            match link.send(&body, size) {
                Ok(()) => return Ok(()),
                Err(outbox::Refusal::Full) => return Err(full),
                Err(outbox::Refusal::Closed) => self.forget(&link),
            }
        }
        Err(full)
    }
}

impl mesh::Post for Mesh {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        let sent = self.try_send(to, body);
        sent.map_err(|error| self.refused(error))
    }
}

impl Limits {
    fn of(config: &Config) -> Self {
        let beat = config.beat.as_micros().max(1);
        let idle = u32::try_from(config.idle.as_micros() / beat).unwrap_or(u32::MAX);
        Self {
            frame: config.frame_bytes,
            connect: config.connect,
            queue: outbox::Limits {
                frames: config.queue_frames,
                bytes: config.queue_bytes,
                frame: config.frame_bytes,
            },
            pulse: pulse::Limits {
                silent: config.silent_beats,
                idle,
            },
        }
    }
}

/// Counts one link as open.
pub(super) struct Open(sync::Arc<count::Count>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Runs a link to its end and says so to the receiver where frames may be lost.
async fn run(mesh: sync::Arc<Mesh>, link: sync::Arc<link::Link>) {
    let open = mesh.opened();
    let end = tokio::select! {
        end = link.run() => end,
        () = mesh.stop.cancelled() => return,
    };
    drop(open);
    mesh.forget(&link);
    if end == link::End::Orderly {
        return;
    }
    mesh.lost(&link.peer, "to", &end.to_string());
    if end == link::End::Silent {
        count::up(&mesh.count.silent);
        // The peer may wait for replies that the silent link swallowed. It
        // learns from the greeting on a fresh link that the old one is dead.
        drop(mesh.link(&link.peer));
    }
}

/// Frames to this VM itself go through a task, so that a receiver that sends
/// from within its own call isn't called recursively.
async fn deliver(mesh: sync::Arc<Mesh>, mut delivered: mpsc::Receiver<message::Body>) {
    loop {
        let body = tokio::select! {
            () = mesh.stop.cancelled() => return,
            body = delivered.recv() => body,
        };
        let Some(body) = body else { return };
        mesh.receive.receive(&mesh.vm, body);
    }
}

async fn tick(mesh: sync::Arc<Mesh>, mut beats: timer::Subscription) {
    while beats.tick().await.is_some() {
        for link in mesh.all() {
            link.tick();
        }
    }
}

/// Closes links to VMs that are members no more.
async fn prune(mesh: sync::Arc<Mesh>) {
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
        let links = mesh.all();
        let gone = |link: &&sync::Arc<link::Link>| {
            members.get(&link.peer).is_none() && mesh.inbound.address(&link.peer).is_none()
        };
        for link in links.iter().filter(gone) {
            link.kill(link::End::Gone(link.peer.clone()));
        }
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
