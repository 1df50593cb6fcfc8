//! Carries out what [`state::State`] decides about one upstream.

use std::collections;
use std::sync;
use std::time;

use tokio::task;

use super::instruments;
use super::outbox;
use super::state;
use crate::ids;
use crate::layout;
use crate::time::Clock;
use crate::time::Moment;
use crate::timer;
use crate::upstream;

/// How long the control connection may take for an answer before a new one is
/// opened in its place.
const CONTROL_LIMIT: time::Duration = time::Duration::from_millis(25);
/// How long the new one may take.
const FRESH_LIMIT: time::Duration = time::Duration::from_millis(500);

/// What all workers of a VM share.
pub(super) struct Means {
    pub(super) clock: Clock,
    pub(super) timer: timer::Service,
    pub(super) outbox: sync::Arc<outbox::Outbox>,
    pub(super) instruments: instruments::Instruments,
    pub(super) calls: Calls,
}

/// Which worker holds a call, so that it can be cancelled.
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

    /// Forgets the calls of one VM.
    pub(super) fn forget(&self, vm: &ids::Vm) {
        self.lock().retain(|id, _| id.entry != *vm);
    }
}

/// One upstream at this home.
pub(super) struct Worker {
    means: sync::Arc<Means>,
    core: sync::Mutex<Core>,
    control: tokio::sync::Mutex<Option<upstream::Connection>>,
    changed: tokio::sync::Notify,
    /// Itself, for the tasks it starts.
    this: sync::Weak<Self>,
}

struct Core {
    state: state::State,
    links: collections::HashMap<state::Link, Connected>,
    wake: Moment,
}

/// A connection and the task that uses it.
struct Connected {
    connection: sync::Arc<upstream::Connection>,
    task: Option<task::AbortHandle>,
}

impl Drop for Connected {
    /// Ends the call under way, which closes the connection.
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Worker {
    pub(super) fn start(state: state::State, means: sync::Arc<Means>) -> sync::Arc<Self> {
        let worker = sync::Arc::new_cyclic(|this| Self {
            means,
            core: sync::Mutex::new(Core {
                state,
                links: collections::HashMap::new(),
                wake: Moment::default(),
            }),
            control: tokio::sync::Mutex::default(),
            changed: tokio::sync::Notify::new(),
            this: this.clone(),
        });
        tokio::spawn(tick(sync::Arc::downgrade(&worker)));
        worker
    }

    /// Reads the state.
    pub(super) fn read<T>(&self, read: impl FnOnce(&state::State) -> T) -> T {
        read(&self.lock().state)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Core> {
        self.core
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes one event and carries out what follows. Actions are started under
    /// the lock: those of two events must not overtake each other.
    pub(super) fn handle(&self, event: state::Event) {
        let now = self.means.clock.now();
        let mut core = self.lock();
        let actions = core.state.handle(event, now);
        for action in actions {
            self.perform(&mut core, action, now);
        }
        let wake = core.state.wake(now);
        let earlier = wake < core.wake || core.wake <= now;
        core.wake = wake;
        drop(core);
        if earlier {
            self.changed.notify_one();
        }
    }

    fn perform(&self, core: &mut Core, action: state::Action, now: Moment) {
        match action {
            state::Action::Send {
                link,
                job,
                time_left,
                ..
            } => {
                self.means.instruments.sent(job.kind);
                self.use_link(core, link, |worker, connection| {
                    worker.call(link, connection, job, time_left)
                });
            }
            state::Action::Prove { link, .. } => {
                self.use_link(core, link, |worker, connection| {
                    worker.prove(link, connection)
                });
            }
            state::Action::Probe => self.spawn(|worker| worker.probe(now)),
            state::Action::CancelAt { link, id } => {
                self.means.instruments.cancelled();
                self.spawn(|worker| worker.cancel(link, id));
            }
            state::Action::Close { link, why } => {
                self.means.instruments.closed(why);
                core.links.remove(&link);
            }
            state::Action::Answer(answer) => self.answer(answer),
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

    /// Runs a task on a connection, which is made where it isn't there yet.
    fn use_link<F>(
        &self,
        core: &mut Core,
        link: state::Link,
        run: impl FnOnce(sync::Arc<Self>, Option<sync::Arc<upstream::Connection>>) -> F,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let Some(worker) = self.this.upgrade() else {
            return;
        };
        let connection = match core.links.remove(&link) {
            Some(connected) => Some(sync::Arc::clone(&connected.connection)),
            None => self.open(core.state.upstream()).map(sync::Arc::new),
        };
        let task = tokio::spawn(run(worker, connection.clone())).abort_handle();
        if let Some(connection) = connection {
            let task = Some(task);
            core.links.insert(link, Connected { connection, task });
        }
    }

    fn open(&self, upstream: &layout::Upstream) -> Option<upstream::Connection> {
        self.means.instruments.opened();
        let connection = upstream::Connection::new(upstream, upstream::Limits::default());
        let failed = |error| log::error!("{}: {error}", upstream.id);
        connection.map_err(failed).ok()
    }

    async fn call(
        self: sync::Arc<Self>,
        link: state::Link,
        connection: Option<sync::Arc<upstream::Connection>>,
        job: state::Job,
        time_left: time::Duration,
    ) {
        let heard = || self.handle(state::Event::Heard(link));
        let reply = match connection {
            None => upstream::Reply::bare(upstream::Outcome::Unsent),
            Some(connection) => run(&connection, &job, time_left, heard).await,
        };
        self.handle(state::Event::Finished { link, reply });
    }

    async fn prove(
        self: sync::Arc<Self>,
        link: state::Link,
        connection: Option<sync::Arc<upstream::Connection>>,
    ) {
        let report = match connection {
            None => Err(upstream::Unanswered { refused: false }),
            Some(connection) => connection.health().await,
        };
        self.handle(state::Event::Proved { link, report });
    }

    /// Asks for a report over the control connection, and over a new one where
    /// that doesn't answer.
    async fn probe(self: sync::Arc<Self>, began: Moment) {
        let mut control = self.control.lock().await;
        let mut report = Err(upstream::Unanswered { refused: false });
        for limit in [CONTROL_LIMIT, FRESH_LIMIT] {
            let Some(connection) = self.controlled(&mut control) else {
                break;
            };
            let answer = tokio::time::timeout(limit, connection.health()).await;
            report = answer.unwrap_or(Err(upstream::Unanswered { refused: false }));
            if report.is_ok() {
                break;
            }
            *control = None;
        }
        drop(control);
        self.handle(state::Event::Probed { began, report });
    }

    async fn cancel(self: sync::Arc<Self>, link: state::Link, id: String) {
        let mut control = self.control.lock().await;
        let mut asked = false;
        for limit in [CONTROL_LIMIT, FRESH_LIMIT] {
            let Some(connection) = self.controlled(&mut control) else {
                break;
            };
            let answer = tokio::time::timeout(limit, connection.cancel(&id)).await;
            asked = matches!(answer, Ok(Some(_)));
            if asked {
                break;
            }
            *control = None;
        }
        drop(control);
        self.handle(state::Event::Cancelled { link, asked });
    }

    fn controlled<'a>(
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
        self.means.instruments.answered(&answer);
        self.means.calls.remove(&answer.job.id);
        self.means.outbox.push(answer);
    }
}

async fn run(
    connection: &upstream::Connection,
    job: &state::Job,
    time_left: time::Duration,
    heard: impl FnOnce(),
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
            connection.search(&call, heard).await
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
            connection.record(&call, heard).await
        }
    }
}

/// Tells the state when something falls due, while its worker is there.
async fn tick(worker: sync::Weak<Worker>) {
    loop {
        let Some(present) = worker.upgrade() else {
            return;
        };
        let now = present.means.clock.now();
        let wake = present.lock().wake;
        if wake <= now {
            present.handle(state::Event::Tick);
            continue;
        }
        let timer = present.means.timer.clone();
        let changed = present.changed.notified();
        tokio::select! {
            going = timer.sleep(now.until(wake)) => if !going { return },
            () = changed => {}
        }
    }
}
