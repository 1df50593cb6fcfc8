//! Carries out the actions that [`state::State`] decides on for one upstream.

use std::collections;
use std::sync;
use std::time;

use tokio::task;

use super::guard;
use super::instruments;
use super::outbox;
use super::state;
use crate::ids;
use crate::layout;
use crate::time::Clock;
use crate::time::Moment;
use crate::timer;
use crate::upstream;

/// How long the control connection may take to answer before a new one is tried.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_millis(25);
/// How long the new control connection may take to answer.
const NEW_CONTROL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Services shared by all workers of a VM.
pub(super) struct Context {
    pub(super) clock: Clock,
    pub(super) timer: timer::Service,
    pub(super) outbox: sync::Arc<outbox::Outbox>,
    pub(super) instruments: instruments::Instruments,
    pub(super) calls: Calls,
    pub(super) guard: guard::Handle,
}

/// Maps each call to the worker that holds it, for cancellation.
#[derive(Default)]
pub(super) struct Calls {
    workers: sync::Mutex<collections::HashMap<state::Id, sync::Weak<Worker>>>,
}

impl Calls {
    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<state::Id, sync::Weak<Worker>>> {
        self.workers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(super) fn insert(&self, id: state::Id, worker: &sync::Arc<Worker>) {
        self.lock().insert(id, sync::Arc::downgrade(worker));
    }

    pub(super) fn get(&self, id: &state::Id) -> Option<sync::Arc<Worker>> {
        self.lock().get(id)?.upgrade()
    }

    fn remove(&self, id: &state::Id) {
        self.lock().remove(id);
    }

    /// Removes the calls of one coordinator.
    pub(super) fn remove_calls_of(&self, vm: &ids::Vm) {
        self.lock().retain(|id, _| id.coordinator != *vm);
    }
}

/// Runs the home of one upstream.
pub(super) struct Worker {
    context: sync::Arc<Context>,
    inner: sync::Mutex<Inner>,
    /// Connection for health reports and cancellations.
    control: tokio::sync::Mutex<Option<upstream::Connection>>,
    /// Notified when the next tick is due earlier than before.
    changed: tokio::sync::Notify,
    /// Reference to itself, for the tasks that it starts.
    this: sync::Weak<Self>,
}

/// State, open connections and the next timer, changed under one lock.
struct Inner {
    state: state::State,
    connections: collections::HashMap<state::ConnectionId, OpenConnection>,
    /// When the next tick is due.
    wake: Moment,
}

/// A connection and the task that runs on it.
struct OpenConnection {
    connection: sync::Arc<upstream::Connection>,
    task: Option<task::AbortHandle>,
}

impl Drop for OpenConnection {
    /// Aborts the request under way, which closes the connection.
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Worker {
    pub(super) fn start(state: state::State, context: sync::Arc<Context>) -> sync::Arc<Self> {
        let worker = sync::Arc::new_cyclic(|this| Self {
            context,
            inner: sync::Mutex::new(Inner {
                state,
                connections: collections::HashMap::new(),
                wake: Moment::default(),
            }),
            control: tokio::sync::Mutex::default(),
            changed: tokio::sync::Notify::new(),
            this: this.clone(),
        });
        tokio::spawn(tick(sync::Arc::downgrade(&worker)));
        worker
    }

    /// Gives `read` access to the state.
    pub(super) fn read<T>(&self, read: impl FnOnce(&state::State) -> T) -> T {
        read(&self.lock().state)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Processes one event and starts the actions that follow. They are started under
    /// the lock, so that the actions of two events keep their order.
    pub(super) fn handle(&self, event: state::Event) {
        let now = self.context.clock.now();
        let mut inner = self.lock();
        let before = inner.state.availability();
        let actions = inner.state.handle(event, now);
        let after = inner.state.availability();
        if after != before {
            let upstream = &inner.state.upstream().id;
            log::info!("upstream {upstream} is now {after}, was {before}");
        }
        for action in actions {
            self.perform(&mut inner, action, now);
        }
        let wake = inner.state.wake(now);
        let earlier = wake < inner.wake || inner.wake <= now;
        inner.wake = wake;
        drop(inner);
        if earlier {
            self.changed.notify_one();
        }
    }

    fn perform(&self, inner: &mut Inner, action: state::Action, now: Moment) {
        match action {
            state::Action::Send {
                connection_id,
                job,
                time_left,
                ..
            } => {
                self.context.instruments.sent(job.kind);
                self.spawn_on(inner, connection_id, |worker, connection| {
                    worker.call(connection_id, connection, job, time_left)
                });
            }
            state::Action::Check { connection_id, .. } => {
                self.spawn_on(inner, connection_id, |worker, connection| {
                    worker.check(connection_id, connection)
                });
            }
            state::Action::Probe => self.spawn(|worker| worker.probe(now)),
            state::Action::Cancel {
                connection_id,
                call_id,
            } => {
                self.context.instruments.cancelled();
                self.spawn(|worker| worker.cancel(connection_id, call_id));
            }
            state::Action::Close {
                connection_id,
                reason,
            } => {
                self.context.instruments.closed(reason);
                inner.connections.remove(&connection_id);
            }
            state::Action::Answer(answer) => self.answer(answer),
            state::Action::Lost(job) => self.context.guard.lost(&job),
        }
    }

    fn spawn<F>(&self, run: impl FnOnce(sync::Arc<Self>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if let Some(worker) = self.this.upgrade() {
            tokio::spawn(run(worker));
        }
    }

    /// Starts a task on a connection, which is opened if it isn't yet.
    fn spawn_on<F>(
        &self,
        inner: &mut Inner,
        connection_id: state::ConnectionId,
        run: impl FnOnce(sync::Arc<Self>, Option<sync::Arc<upstream::Connection>>) -> F,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let Some(worker) = self.this.upgrade() else {
            return;
        };
        let connection = match inner.connections.remove(&connection_id) {
            Some(open) => Some(sync::Arc::clone(&open.connection)),
            None => self.open(inner.state.upstream()).map(sync::Arc::new),
        };
        let task = tokio::spawn(run(worker, connection.clone())).abort_handle();
        if let Some(connection) = connection {
            let task = Some(task);
            inner
                .connections
                .insert(connection_id, OpenConnection { connection, task });
        }
    }

    fn open(&self, upstream: &layout::Upstream) -> Option<upstream::Connection> {
        self.context.instruments.opened();
        let connection = upstream::Connection::new(upstream, upstream::Limits::default());
        let failed = |error| log::error!("can't open a connection to {}: {error}", upstream.id);
        connection.map_err(failed).ok()
    }

    async fn call(
        self: sync::Arc<Self>,
        connection_id: state::ConnectionId,
        connection: Option<sync::Arc<upstream::Connection>>,
        job: state::Job,
        time_left: time::Duration,
    ) {
        let (id, upstream) = (job.upstream_id(), job.upstream.clone());
        let reply_started = || self.handle(state::Event::ReplyStarted(connection_id));
        let reply = match connection {
            None => upstream::Reply::bare(upstream::Outcome::Unsent),
            Some(_) if !self.context.guard.admits(&job) => upstream::Reply::withheld(),
            Some(connection) => send(&connection, &job, time_left, reply_started).await,
        };
        if reply.outcome == upstream::Outcome::Lost {
            log::info!(
                call = id.as_str();
                "connection to upstream {upstream} lost during a call"
            );
        }
        self.handle(state::Event::Finished {
            connection_id,
            reply,
        });
    }

    async fn check(
        self: sync::Arc<Self>,
        connection_id: state::ConnectionId,
        connection: Option<sync::Arc<upstream::Connection>>,
    ) {
        let report = match connection {
            None => Err(upstream::Unanswered {
                connect_failed: false,
            }),
            Some(connection) => connection.health().await,
        };
        self.handle(state::Event::Checked {
            connection_id,
            report,
        });
    }

    /// Requests a health report over the control connection, and over a new one if that
    /// doesn't answer in time.
    async fn probe(self: sync::Arc<Self>, began: Moment) {
        let mut control = self.control.lock().await;
        let mut report = Err(upstream::Unanswered {
            connect_failed: false,
        });
        for timeout in [CONTROL_TIMEOUT, NEW_CONTROL_TIMEOUT] {
            let Some(connection) = self.control_connection(&mut control) else {
                break;
            };
            let answer = tokio::time::timeout(timeout, connection.health()).await;
            report = answer.unwrap_or(Err(upstream::Unanswered {
                connect_failed: false,
            }));
            if report.is_ok() {
                break;
            }
            *control = None;
        }
        drop(control);
        self.handle(state::Event::Probed { began, report });
    }

    async fn cancel(self: sync::Arc<Self>, connection_id: state::ConnectionId, call_id: String) {
        let mut control = self.control.lock().await;
        let mut stopped = false;
        for timeout in [CONTROL_TIMEOUT, NEW_CONTROL_TIMEOUT] {
            let Some(connection) = self.control_connection(&mut control) else {
                break;
            };
            let answer = tokio::time::timeout(timeout, connection.cancel(&call_id)).await;
            if let Ok(Some(known)) = answer {
                stopped = known;
                break;
            }
            *control = None;
        }
        drop(control);
        self.handle(state::Event::Cancelled {
            connection_id,
            stopped,
        });
    }

    /// Returns the control connection, opened if there is none; `None` if that fails.
    fn control_connection<'a>(
        &self,
        control: &'a mut Option<upstream::Connection>,
    ) -> Option<&'a upstream::Connection> {
        if control.is_none() {
            let upstream = self.read(|state| state.upstream().clone());
            *control = self.open(&upstream);
        }
        control.as_ref()
    }

    fn answer(&self, answer: state::Answer) {
        self.context.instruments.answered(&answer);
        self.context.calls.remove(&answer.job.id);
        self.context.outbox.push(answer);
    }
}

async fn send(
    connection: &upstream::Connection,
    job: &state::Job,
    time_left: time::Duration,
    reply_started: impl FnOnce(),
) -> upstream::Reply {
    let id = job.upstream_id();
    match &job.work {
        state::Work::Search { batch, shard } => {
            let call = upstream::Search {
                id,
                shard: shard.clone(),
                time_left,
                index_version: batch.index_version.map(ids::IndexVersion),
                layout: ids::LayoutVersion(batch.layout),
                body: batch.body.clone(),
            };
            connection.search(&call, reply_started).await
        }
        state::Work::Record { record, shard } => {
            let call = upstream::Record {
                id,
                shard: shard.clone(),
                time_left,
                layout: ids::LayoutVersion(record.layout),
                key: record.key.clone(),
                body: record.body.clone(),
            };
            connection.record(&call, reply_started).await
        }
    }
}

/// Sends [`state::Event::Tick`] whenever something falls due, until the worker is
/// dropped or the timer stops.
async fn tick(worker: sync::Weak<Worker>) {
    loop {
        let Some(present) = worker.upgrade() else {
            return;
        };
        let now = present.context.clock.now();
        let wake = present.lock().wake;
        if wake <= now {
            present.handle(state::Event::Tick);
            continue;
        }
        let timer = present.context.timer.clone();
        let changed = present.changed.notified();
        tokio::select! {
            running = timer.sleep(now.until(wake)) => if !running { return },
            () = changed => {}
        }
    }
}
