//! The task of one search, which carries out the state machine's actions.

mod trace;

use std::collections;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::document;
use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::trial;
use crate::query;
use crate::query::admission;
use crate::query::gather;
use crate::query::router;
use crate::query::service;
use crate::query::state;
use crate::slo;
use crate::time as clock;

/// A call that waited in a queue for more than the search's time divided by this
/// is a sign of congestion.
const LONG_QUEUE_DIVISOR: u32 = 3;
/// A search of which more than one in this many calls was refused because of overload
/// is a sign of congestion.
const REFUSED_SHARE_DIVISOR: u64 = 8;

/// An input of a running search.
pub(super) enum Input {
    /// Replies from a home.
    Replies(ids::Vm, Vec<message::Reply>),
    /// The link to a VM was lost.
    LinkLost(ids::Vm),
    /// The link to a VM couldn't be opened.
    LinkNotOpened(ids::Vm),
    /// Quarantine marks have changed.
    MarksChanged,
    /// The isolated trial may run.
    Granted(quarantine::Trial),
    /// The isolated trial may not run; may be requested again after this time.
    Denied(quarantine::Delay, time::Duration),
}

/// The parts of a search that all its calls share.
#[derive(Debug, Clone)]
pub(super) struct Context {
    pub(super) request: ids::Request,
    pub(super) service: ids::Service,
    pub(super) body: Bytes,
    pub(super) fingerprint: ids::Fingerprint,
    /// When the upstreams' replies are due at this VM.
    pub(super) deadline: clock::Moment,
    /// When the caller's answer is due.
    pub(super) answer_due: clock::Moment,
    pub(super) started: clock::Moment,
}

/// The isolated trial of one search.
#[derive(Default)]
pub(super) struct Trial {
    /// The right to run it, from the grant to its end.
    granted: Option<quarantine::Trial>,
    /// What it had to wait for when its last request was denied, for the log.
    delay: Option<quarantine::Delay>,
}

/// One running search.
pub(super) struct Task {
    pub(super) owner: sync::Arc<service::Inner>,
    pub(super) state: sync::Arc<state::State>,
    pub(super) document: sync::Arc<document::Document>,
    pub(super) context: Context,
    pub(super) number: u64,
    pub(super) gather: gather::Gather,
    pub(super) inbox: mpsc::UnboundedReceiver<Input>,
    pub(super) sender: router::InputSender,
    pub(super) trial: Trial,
    /// The congestion that the search observed, for the admission limit.
    pub(super) load: admission::Load,
}

impl Task {
    /// Runs the search until it has an answer.
    pub(super) async fn run(mut self) -> query::Answer {
        let verdict = self.verdict();
        let mut event = gather::Event::Start(verdict);
        loop {
            if let Some(answer) = self.step(event) {
                self.record(&answer);
                self.log(&answer);
                return answer;
            }
            event = self.next().await;
        }
    }

    async fn next(&mut self) -> gather::Event {
        let wake = self.owner.clock.instant(self.gather.wake());
        match tokio::time::timeout_at(wake, self.inbox.recv()).await {
            Ok(Some(input)) => self.event(input),
            Ok(None) | Err(_) => gather::Event::Tick,
        }
    }

    fn event(&mut self, input: Input) -> gather::Event {
        match input {
            Input::Replies(from, replies) => {
                self.check_queue_times(&replies);
                self.log_losses(&from, &replies);
                gather::Event::Replies { from, replies }
            }
            Input::LinkLost(vm) => gather::Event::LinkLost(vm),
            Input::LinkNotOpened(vm) => gather::Event::LinkNotOpened(vm),
            Input::MarksChanged => gather::Event::Verdict(self.verdict()),
            Input::Granted(trial) => {
                self.trial.granted = Some(trial);
                gather::Event::Granted(self.owner.quarantine.down())
            }
            Input::Denied(delay, after) => {
                self.trial.delay = Some(delay);
                gather::Event::Denied(Some(after))
            }
        }
    }

    /// Notes congestion if any call waited in a queue for a long time.
    fn check_queue_times(&mut self, replies: &[message::Reply]) {
        let total = self.context.deadline.since(self.context.started);
        let long = clock::micros(total / LONG_QUEUE_DIVISOR);
        if replies.iter().any(|reply| reply.queued_us > long) {
            self.load = admission::Load::Congested;
        }
    }

    /// Handles one event and the events that its actions cause.
    fn step(&mut self, event: gather::Event) -> Option<query::Answer> {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.owner.clock.now();
            for action in self.gather.handle(event, now) {
                match self.carry_out(action) {
                    Effect::Nothing => {}
                    Effect::Event(event) => events.push_back(event),
                    Effect::Answer(answer) => return Some(*answer),
                }
            }
        }
        None
    }

    fn carry_out(&mut self, action: gather::Action) -> Effect {
        match action {
            gather::Action::Send {
                vm,
                version,
                layout,
                calls,
            } => return self.send(&vm, version, layout, calls),
            gather::Action::Cancel { vm, attempts } => self.cancel(&vm, attempts),
            gather::Action::Lost { upstream, run } => {
                let context = &self.context;
                let quarantine = &self.owner.quarantine;
                quarantine.connection_lost(&context.service, context.fingerprint, &upstream, run);
                return Effect::Event(gather::Event::Verdict(self.verdict()));
            }
            gather::Action::Completed => {
                let context = &self.context;
                self.owner
                    .quarantine
                    .completed(&context.service, context.fingerprint);
            }
            gather::Action::Inquire { vm, upstreams } => self.inquire(&vm, &upstreams),
            gather::Action::RequestTrial(place) => self.request_trial(place),
            gather::Action::EndTrial { end, upstream } => {
                if let Some(trial) = self.trial.granted.take() {
                    trial.finish(end, upstream.as_ref());
                }
                return Effect::Event(gather::Event::Verdict(self.verdict()));
            }
            gather::Action::Replan => {
                let plan = self.owner.plan(&self.state);
                return Effect::Event(gather::Event::Plan(plan));
            }
            gather::Action::Finish(answer) => return Effect::Answer(answer),
        }
        Effect::Nothing
    }

    fn send(
        &mut self,
        vm: &ids::Vm,
        version: Option<ids::IndexVersion>,
        layout: ids::LayoutVersion,
        calls: Vec<message::Call>,
    ) -> Effect {
        self.log_single_calls(vm, &calls);
        let isolated = |call: &message::Call| call.kind() == message::Kind::Trial;
        if calls.iter().any(isolated)
            && let Some(trial) = &mut self.trial.granted
        {
            trial.begin();
        }
        let attempts: Vec<u64> = calls.iter().map(|call| call.attempt).collect();
        let context = &self.context;
        let batch = message::Batch {
            request: context.request.to_string(),
            service: context.service.to_string(),
            body: context.body.clone(),
            fingerprint: context.fingerprint.0,
            time_left_us: clock::micros(self.owner.clock.now().until(context.deadline)),
            index_version: version.map(|version| version.0),
            layout: layout.0,
            calls,
        };
        match self.owner.mesh.send(vm, message::Body::Batch(batch)) {
            Ok(()) => Effect::Nothing,
            Err(error) => {
                log::debug!("failed to send calls to {vm}, trying another home: {error}");
                Effect::Event(gather::Event::Unsent(attempts))
            }
        }
    }

    fn cancel(&self, vm: &ids::Vm, attempts: Vec<u64>) {
        let body = message::Body::Cancel(message::Cancel { attempts });
        if let Err(error) = self.owner.mesh.send(vm, body) {
            log::debug!("failed to send a cancel to {vm}: {error}");
        }
    }

    /// Asks a home when upstreams last answered it. The report goes to the statistics
    /// of the upstreams, which the search reads when it looks for a trial's upstream
    /// again.
    fn inquire(&self, vm: &ids::Vm, upstreams: &[ids::Upstream]) {
        let inquiry = message::Inquiry {
            service: self.context.service.to_string(),
            asked_us: self.owner.clock.now().0,
            upstreams: upstreams.iter().map(ids::Upstream::to_string).collect(),
        };
        if let Err(error) = self.owner.mesh.send(vm, message::Body::Inquiry(inquiry)) {
            log::debug!("failed to ask {vm} when upstreams last answered: {error}");
        }
    }

    /// Requests the trial in the background; the search continues meanwhile.
    fn request_trial(&self, place: trial::Place) {
        let quarantine = self.owner.quarantine.clone();
        let (service, fingerprint) = (self.context.service.clone(), self.context.fingerprint);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let input = match quarantine.trial(&service, fingerprint, Some(place)).await {
                Ok(trial) => Input::Granted(trial),
                Err(quarantine::Denied::Later { delay, after }) => Input::Denied(delay, after),
                Err(quarantine::Denied::Quarantined) => Input::MarksChanged,
            };
            // If the search has ended, the trial is dropped without being started.
            let _ = sender.send(input);
        });
    }

    /// Returns the present verdict on the request; always clear under
    /// [`query::Policy::Direct`].
    fn verdict(&self) -> quarantine::Verdict {
        if self.owner.config.policy == query::Policy::Direct {
            return quarantine::Verdict::Clear;
        }
        let context = &self.context;
        self.owner
            .quarantine
            .verdict(&context.service, context.fingerprint)
    }

    /// Records the search in the statistics, objectives and metrics.
    fn record(&mut self, answer: &query::Answer) {
        let now = self.owner.clock.now();
        let counts = self.gather.counts();
        if counts.overloads * REFUSED_SHARE_DIVISOR > counts.first {
            self.load = admission::Load::Congested;
        }
        let call_times = self.gather.call_times();
        self.state
            .upstreams
            .record_call_times(call_times, &self.document.budgets, now);
        let mut missing = collections::BTreeMap::new();
        for shard in &answer.coverage.missing {
            *missing.entry(shard.reason).or_default() += 1;
        }
        let event = slo::Event {
            service: self.context.service.clone(),
            in_time: now <= self.context.answer_due,
            complete: answer.coverage.complete,
            refused: false,
            missing: missing.into_iter().collect(),
            first_attempts: counts.first,
            extra_attempts: counts.extra(),
        };
        self.owner.slo.record(&event);
        let instruments = &self.owner.instruments;
        instruments.answered(&self.context.service, &answer.coverage, &event.missing);
    }
}

impl Drop for Task {
    /// Cancels the remaining calls and releases the search's capacity. Runs also
    /// when the caller has disconnected or a step has panicked.
    fn drop(&mut self) {
        self.owner.router.remove(self.number);
        for action in self.gather.abandon() {
            if let gather::Action::Cancel { vm, attempts } = action {
                self.cancel(&vm, attempts);
            }
        }
        if self.gather.leaves_calls() {
            self.owner.router.keep_ended(router::Ended {
                search: self.number,
                service: self.context.service.clone(),
                fingerprint: self.context.fingerprint,
            });
        }
        let counts = self.gather.counts();
        self.owner
            .instruments
            .record_counts(&self.context.service, counts);
        self.owner.release(&self.state, self.load);
    }
}

/// The result of carrying out an action.
enum Effect {
    Nothing,
    Event(gather::Event),
    Answer(Box<query::Answer>),
}
