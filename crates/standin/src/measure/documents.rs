//! Edits of a service's document under races, bad texts, lost replies, deaf
//! watches, an outage with a VM replaced, and a store that is set back.

use std::time;

use geraniumgauge::document;
use geraniumgauge::document::keeper;
use geraniumgauge::ids;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use tokio::time as clock;

use crate::measure;
use crate::measure::generations;
use crate::measure::outcome;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "documents",
    about: "racing operators, bad edits, an outage, an older store: time to in force at all VMs",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
/// Rounds in which two operators write over the same version.
const RACES: u64 = 12;
const BAD_EDITS: u64 = 3;
const OUTAGE: time::Duration = time::Duration::from_secs(20);
/// How long a state that must not change is watched.
const QUIET: time::Duration = time::Duration::from_secs(4);
/// An accepted edit that no record shows by then is lost.
const LOST: time::Duration = time::Duration::from_secs(20);
const FELL_BACK: &str = "an accepted configuration never reverts";
const IN_FORCE: &str = "an accepted configuration is in force everywhere";
const RACED: &str = "racing operators get a conflict";
const REFUSED: &str = "a refused edit changes nothing and is reported";

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let site = context.site(site::Spec::small(SERVICE, 4)).await?;
    let mut trial = Trial::new(site, context.seed).await?;
    trial.idle().await;
    trial.races().await?;
    trial.bad_edits().await?;
    trial.deaf_watches().await?;
    trial.lost_replies().await?;
    trial.outage().await?;
    trial.set_back().await?;
    Ok(trial.end())
}

struct Trial {
    site: site::Site,
    store: store::Client,
    observer: generations::Observer,
    random: rand::rngs::StdRng,
    outcome: outcome::Outcome,
    /// The deadline that the last edit set, so that each edit differs.
    deadline: u64,
}

impl Trial {
    async fn new(site: site::Site, seed: u64) -> Result<Self, measure::Error> {
        let store = site.store().map_err(other)?;
        let observer = generations::Observer::start(&site, SERVICE)?;
        let mut trial = Self {
            site,
            store,
            observer,
            random: rand::rngs::StdRng::seed_from_u64(seed),
            outcome: outcome::Outcome::default(),
            deadline: 2000,
        };
        // The site's own document comes into force first.
        let first = trial.accepted().map_or(1, |record| record.generation.0);
        if trial.observer.everywhere(first.max(1)).await.is_none() {
            trial.violate(IN_FORCE, "the first document is not in force at all VMs");
        }
        Ok(trial)
    }

    /// Store calls of a site without requests.
    async fn idle(&mut self) {
        let before = self.site.platform.state().counts();
        let span = time::Duration::from_secs(10);
        clock::sleep(span).await;
        let after = self.site.platform.state().counts();
        let per_vm = |count: u64| count as f64 / span.as_secs_f64() / f64::from(site::VM_COUNT);
        let reads =
            |counts: &crate::platform::Counts| counts.get + counts.list + counts.watch + counts.vms;
        let (reads, writes) = (reads(&after) - reads(&before), after.put - before.put);
        self.outcome.figure("idle_store_reads_per_s", per_vm(reads));
        self.outcome
            .figure("idle_store_writes_per_s", per_vm(writes));
    }

    /// Two operators read the same version and write over it.
    async fn races(&mut self) -> Result<(), measure::Error> {
        for _ in 0..RACES {
            let base = self.version().await?;
            let (mine, theirs) = (self.next_text(), self.next_text());
            let (one, two) = tokio::join!(
                self.put(&mine.1, store::Condition::Version(base)),
                self.put(&theirs.1, store::Condition::Version(base)),
            );
            let won = match (&one, &two) {
                (Ok(_), Err(store::Error::Conflict { .. })) => mine.0,
                (Err(store::Error::Conflict { .. }), Ok(_)) => theirs.0,
                _ => {
                    let seen = format!("over version {base}: {one:?} and {two:?}");
                    self.violate(RACED, seen);
                    continue;
                }
            };
            self.in_force("race", won).await;
        }
        Ok(())
    }

    /// Texts with findings: nothing changes, and the status says why.
    async fn bad_edits(&mut self) -> Result<(), measure::Error> {
        for number in 0..BAD_EDITS {
            let before = self.accepted();
            let text = match number {
                0 => "{\"team\": \"a\", \"deadline_ms\": 0}",
                1 => "{\"team\": \"a\", \"dedline_ms\": 10}",
                _ => "{\"team\": \"a\",, }",
            };
            let version = self.put(text, store::Condition::Any).await.map_err(other)?;
            clock::sleep(QUIET).await;
            if self.accepted() != before {
                self.violate(REFUSED, format!("{text} changed the accepted record"));
            }
            let told = self.status().map(|status| status.document);
            let refused = matches!(&told, Some(document::Verdict::Refused { version: of, findings })
                if *of == version && !findings.is_empty());
            if !refused {
                self.violate(REFUSED, format!("the status tells {told:?} of {text}"));
            }
        }
        let (deadline, text) = self.next_text();
        self.put(&text, store::Condition::Any)
            .await
            .map_err(other)?;
        self.in_force("after_bad_edits", deadline).await;
        Ok(())
    }

    /// No watch reports a change any more; listing must find it.
    async fn deaf_watches(&mut self) -> Result<(), measure::Error> {
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.deaf_watches = true);
        for _ in 0..3 {
            let (deadline, text) = self.next_text();
            self.put(&text, store::Condition::Any)
                .await
                .map_err(other)?;
            self.in_force("deaf_watch", deadline).await;
        }
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.deaf_watches = false);
        Ok(())
    }

    /// Half of the replies to writes are lost after the writes took effect.
    async fn lost_replies(&mut self) -> Result<(), measure::Error> {
        for _ in 0..4 {
            let before = self.accepted().map_or(0, |record| record.generation.0);
            let (deadline, text) = self.next_text();
            self.put(&text, store::Condition::Any)
                .await
                .map_err(other)?;
            let state = self.site.platform.state();
            state.set_faults(|faults| faults.lose_replies = 0.5);
            self.in_force("lost_reply", deadline).await;
            let state = self.site.platform.state();
            state.set_faults(|faults| faults.lose_replies = 0.0);
            let after = self.accepted().map_or(0, |record| record.generation.0);
            if after != before + 1 {
                let seen = format!("one edit took generation {before} to {after}");
                self.violate("an edit is accepted once", seen);
            }
        }
        Ok(())
    }

    /// The store is out, and a VM is replaced meanwhile.
    async fn outage(&mut self) -> Result<(), measure::Error> {
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.down = true);
        clock::sleep(time::Duration::from_secs(2)).await;
        let generation = self.accepted().map_or(0, |record| record.generation.0);
        let lost = self.random.random_range(0..self.site.nodes.len());
        self.site.kill(lost);
        let started = clock::Instant::now();
        self.site.add().await?;
        self.observer.follow(&self.site);
        match self.site.wait_until_ready().await {
            Ok(()) => {
                let took = started.elapsed().as_secs_f64() * 1000.0;
                self.outcome.figure("ready_in_outage_ms", took);
            }
            Err(error) => self.violate("a new VM starts while the store is out", error.to_string()),
        }
        if self.observer.everywhere(generation).await.is_none() {
            let seen = format!("the new VM doesn't apply generation {generation}");
            self.violate(FELL_BACK, seen);
        }
        clock::sleep(OUTAGE.saturating_sub(started.elapsed())).await;
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.down = false);
        let (deadline, text) = self.next_text();
        self.put(&text, store::Condition::Any)
            .await
            .map_err(other)?;
        self.in_force("after_outage", deadline).await;
        Ok(())
    }

    /// The store shows an earlier state, and a VM starts from it.
    async fn set_back(&mut self) -> Result<(), measure::Error> {
        let old = self
            .site
            .platform
            .state()
            .objects(|objects| objects.clone());
        for _ in 0..2 {
            let (deadline, text) = self.next_text();
            self.put(&text, store::Condition::Any)
                .await
                .map_err(other)?;
            self.in_force("before_set_back", deadline).await;
        }
        let generation = self.accepted().map_or(0, |record| record.generation.0);
        self.site.platform.state().objects(|objects| *objects = old);
        self.site.add().await?;
        self.site.wait_until_ready().await?;
        self.observer.follow(&self.site);
        clock::sleep(4 * QUIET).await;
        let lowest = self.observer.lowest();
        if lowest < generation {
            let seen = format!("generation {generation} was in force, a VM applies {lowest}");
            self.violate(FELL_BACK, seen);
        }
        let (deadline, text) = self.next_text();
        self.put(&text, store::Condition::Any)
            .await
            .map_err(other)?;
        self.in_force("after_set_back", deadline).await;
        Ok(())
    }

    fn end(mut self) -> outcome::Outcome {
        for (vm, before, after) in self.observer.fallen() {
            self.violate(
                FELL_BACK,
                format!("{vm} went from generation {before} to {after}"),
            );
        }
        self.outcome
    }

    /// Waits until the edit is accepted and in force at all VMs; keeps the
    /// longest times of each kind, counted from the write and from acceptance.
    async fn in_force(&mut self, kind: &str, deadline: u64) {
        let written = clock::Instant::now();
        let Some(record) = self.await_accepted(deadline).await else {
            let seen = format!("the edit to deadline {deadline} ms ({kind}) is in no record");
            return self.violate("no accepted edit is lost", seen);
        };
        let accepted = clock::Instant::now();
        let generation = record.generation.0;
        let Some(at) = self.observer.everywhere(generation).await else {
            let seen = format!("generation {generation} ({kind}) is not in force at all VMs");
            return self.violate(IN_FORCE, seen);
        };
        let took = at.saturating_duration_since(accepted);
        self.longest(&format!("{kind}_accepted_max_ms"), accepted - written);
        self.longest(&format!("{kind}_in_force_max_ms"), took);
        self.longest("in_force_max_ms", took);
    }

    fn longest(&mut self, name: &str, took: time::Duration) {
        let millis = took.as_secs_f64() * 1000.0;
        let before = self.outcome.figures.get(name).copied().unwrap_or(0.0);
        self.outcome.figure(name, millis.max(before));
    }

    async fn await_accepted(&self, deadline: u64) -> Option<keeper::Accepted> {
        let until = clock::Instant::now() + LOST;
        while clock::Instant::now() < until {
            let wanted = time::Duration::from_millis(deadline);
            let found = self
                .accepted()
                .filter(|record| record.document.deadline == wanted);
            if found.is_some() {
                return found;
            }
            clock::sleep(time::Duration::from_millis(5)).await;
        }
        None
    }

    fn next_text(&mut self) -> (u64, String) {
        self.deadline += 1;
        let deadline = self.deadline;
        let text = format!("{{\"team\": \"masons\", \"deadline_ms\": {deadline}}} // trial");
        (deadline, text)
    }

    async fn put(
        &self,
        text: &str,
        condition: store::Condition,
    ) -> Result<ids::ObjectVersion, store::Error> {
        let body = bytes::Bytes::copy_from_slice(text.as_bytes());
        self.store
            .put(&document::text_key(&service()), body, condition)
            .await
    }

    async fn version(&self) -> Result<ids::ObjectVersion, measure::Error> {
        let text = self.store.get(&document::text_key(&service())).await;
        text.map(|object| object.version).map_err(other)
    }

    /// The accepted record as it is, whatever the store's faults.
    fn accepted(&self) -> Option<keeper::Accepted> {
        self.object(&document::accepted_key(&service()))
    }

    fn status(&self) -> Option<document::Status> {
        self.object(&document::status_key(&service()))
    }

    fn object<O: serde::de::DeserializeOwned>(&self, key: &str) -> Option<O> {
        let object = self
            .site
            .platform
            .state()
            .objects(|objects| objects.get(key))
            .ok()?;
        serde_json::from_slice(&object.body).ok()
    }

    fn violate(&mut self, promise: &'static str, seen: impl Into<String>) {
        self.outcome.violate(promise, "-", seen);
    }
}

#[expect(clippy::expect_used, reason = "a constant name")]
fn service() -> ids::Service {
    SERVICE.parse().expect("a valid name")
}

fn other(error: store::Error) -> measure::Error {
    measure::Error::Other {
        what: error.to_string(),
    }
}
