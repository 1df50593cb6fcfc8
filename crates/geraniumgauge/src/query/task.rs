//! One search's task: carries the state machine's actions out.

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
use crate::query::desk;
use crate::query::gather;
use crate::query::route;
use crate::query::service;
use crate::slo;
use crate::time as clock;

/// Share of the time left that a call may wait in a queue before the entry
/// lets fewer searches in: one part in this.
const LONG_WAIT: u32 = 3;
/// Share of calls refused for load from which the entry lets fewer searches in:
/// one part in this.
const MANY_REFUSED: u64 = 8;

/// What a search is told from outside.
pub(super) enum Input {
    Replies(ids::Vm, Vec<message::Reply>),
    Lost(ids::Vm),
    Marked,
    Granted(quarantine::Trial),
    Denied(Option<time::Duration>),
}

/// What all calls of a search carry.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub(super) request: ids::Request,
    pub(super) service: ids::Service,
    pub(super) body: Bytes,
    pub(super) fingerprint: ids::Fingerprint,
    /// When the upstreams' replies are due here.
    pub(super) deadline: clock::Moment,
    /// When the caller's answer is due.
    pub(super) promised: clock::Moment,
    pub(super) started: clock::Moment,
}

/// One running search.
pub(super) struct Task {
    pub(super) owner: sync::Arc<service::Inner>,
    pub(super) desk: sync::Arc<desk::Desk>,
    pub(super) document: sync::Arc<document::Document>,
    pub(super) ask: Ask,
    pub(super) number: u64,
    pub(super) gather: gather::Gather,
    pub(super) inbox: mpsc::UnboundedReceiver<Input>,
    pub(super) sender: route::Inbox,
    pub(super) trial: Option<quarantine::Trial>,
    pub(super) sign: admission::Sign,
}

impl Task {
    /// Runs to the answer.
    pub(super) async fn run(mut self) -> query::Answer {
        let verdict = self.verdict();
        let mut event = gather::Event::Start(verdict);
        loop {
            if let Some(answer) = self.step(event) {
                self.account(&answer);
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
                self.watch_load(&replies);
                gather::Event::Replies { from, replies }
            }
            Input::Lost(vm) => gather::Event::LinkLost(vm),
            Input::Marked => gather::Event::Verdict(self.verdict()),
            Input::Granted(trial) => {
                self.trial = Some(trial);
                gather::Event::Granted(self.owner.book.down())
            }
            Input::Denied(after) => gather::Event::Denied(after),
        }
    }

    fn watch_load(&mut self, replies: &[message::Reply]) {
        let whole = self.ask.deadline.since(self.ask.started);
        let long = clock::micros(whole / LONG_WAIT);
        if replies.iter().any(|reply| reply.queued_us > long) {
            self.sign = admission::Sign::Congested;
        }
    }

    /// Handles one event and those that its actions bring about.
    fn step(&mut self, event: gather::Event) -> Option<query::Answer> {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.owner.clock.now();
            for action in self.gather.handle(event, now) {
                match self.carry_out(action) {
                    Done::Nothing => {}
                    Done::Event(event) => events.push_back(event),
                    Done::Answer(answer) => return Some(*answer),
                }
            }
        }
        None
    }

    fn carry_out(&mut self, action: gather::Action) -> Done {
        match action {
            gather::Action::Send {
                vm,
                version,
                layout,
                calls,
            } => return self.send(&vm, version, layout, calls),
            gather::Action::Cancel { vm, attempts } => self.cancel(&vm, attempts),
            gather::Action::Lost { upstream, run } => {
                let ask = &self.ask;
                let book = &self.owner.book;
                book.lost_while(&ask.service, ask.fingerprint, &upstream, run);
                return Done::Event(gather::Event::Verdict(self.verdict()));
            }
            gather::Action::Completed => {
                let ask = &self.ask;
                self.owner.book.completed(&ask.service, ask.fingerprint);
            }
            gather::Action::AskTrial(place) => self.ask_trial(place),
            gather::Action::EndTrial { end, upstream } => {
                if let Some(trial) = self.trial.take() {
                    trial.finish(end, upstream.as_ref());
                }
                return Done::Event(gather::Event::Verdict(self.verdict()));
            }
            gather::Action::Replan => {
                let plan = self.owner.plan(&self.desk);
                return Done::Event(gather::Event::Plan(plan));
            }
            gather::Action::Finish(answer) => return Done::Answer(answer),
        }
        Done::Nothing
    }

    fn send(
        &mut self,
        vm: &ids::Vm,
        version: Option<ids::IndexVersion>,
        layout: ids::LayoutVersion,
        calls: Vec<message::Call>,
    ) -> Done {
        let lone = |call: &message::Call| call.kind() == message::Kind::Trial;
        if calls.iter().any(lone)
            && let Some(trial) = &mut self.trial
        {
            trial.begin();
        }
        let attempts: Vec<u64> = calls.iter().map(|call| call.attempt).collect();
        let ask = &self.ask;
        let batch = message::Batch {
            request: ask.request.to_string(),
            service: ask.service.to_string(),
            body: ask.body.clone(),
            fingerprint: ask.fingerprint.0,
            time_left_us: clock::micros(self.owner.clock.now().until(ask.deadline)),
            index_version: version.map(|version| version.0),
            layout: layout.0,
            calls,
        };
        match self.owner.post.send(vm, message::Body::Batch(batch)) {
            Ok(()) => Done::Nothing,
            Err(error) => {
                log::debug!("calls go to another home: {error}");
                Done::Event(gather::Event::Unsent(attempts))
            }
        }
    }

    fn cancel(&self, vm: &ids::Vm, attempts: Vec<u64>) {
        let body = message::Body::Cancel(message::Cancel { attempts });
        if let Err(error) = self.owner.post.send(vm, body) {
            log::debug!("a cancel isn't sent: {error}");
        }
    }

    /// Asks the store beside the search, which goes on meanwhile.
    fn ask_trial(&self, place: trial::Place) {
        let book = self.owner.book.clone();
        let (service, fingerprint) = (self.ask.service.clone(), self.ask.fingerprint);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let input = match book.trial(&service, fingerprint, Some(place)).await {
                Ok(trial) => Input::Granted(trial),
                Err(quarantine::Denied::Later { after }) => Input::Denied(Some(after)),
                Err(quarantine::Denied::Quarantined) => Input::Marked,
            };
            // A search that has ended drops the trial, which was not begun.
            let _ = sender.send(input);
        });
    }

    fn verdict(&self) -> quarantine::Verdict {
        if self.owner.config.policy == query::Policy::Direct {
            return quarantine::Verdict::Clear;
        }
        let ask = &self.ask;
        self.owner.book.verdict(&ask.service, ask.fingerprint)
    }

    fn account(&mut self, answer: &query::Answer) {
        let now = self.owner.clock.now();
        let counts = self.gather.counts();
        if counts.overloads * MANY_REFUSED > counts.first {
            self.sign = admission::Sign::Congested;
        }
        let spans = self.gather.call_times();
        self.desk.fleet.measured(spans, &self.document.budgets, now);
        let mut missing = collections::BTreeMap::new();
        for shard in &answer.coverage.missing {
            *missing.entry(shard.reason).or_default() += 1;
        }
        let event = slo::Event {
            service: self.ask.service.clone(),
            in_time: now <= self.ask.promised,
            complete: answer.coverage.complete,
            refused: false,
            missing: missing.into_iter().collect(),
            first_attempts: counts.first,
            extra_attempts: counts.extra(),
        };
        self.owner.slo.record(&event);
        let figures = &self.owner.figures;
        figures.answered(&self.ask.service, &answer.coverage, &event.missing);
    }
}

impl Drop for Task {
    /// Also runs where the caller hung up or a step panicked: what runs for
    /// this search is cancelled, and its place is free again.
    fn drop(&mut self) {
        self.owner.route.remove(self.number);
        for action in self.gather.abandon() {
            if let gather::Action::Cancel { vm, attempts } = action {
                self.cancel(&vm, attempts);
            }
        }
        if self.gather.leaves_calls() {
            self.owner.route.ended(route::Ended {
                search: self.number,
                service: self.ask.service.clone(),
                fingerprint: self.ask.fingerprint,
            });
        }
        let counts = self.gather.counts();
        self.owner.figures.counted(&self.ask.service, counts);
        self.owner.done(&self.desk, self.sign);
    }
}

enum Done {
    Nothing,
    Event(gather::Event),
    Answer(Box<query::Answer>),
}
