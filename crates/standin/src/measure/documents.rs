//! Edits a service's document with races between operators, invalid texts, watches
//! that report nothing, lost replies, an outage during which a VM is replaced, and a
//! store that returns to an earlier state.

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

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "documents",
    about: "racing operators, bad edits, an outage, an older store: time until in force on all VMs",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
/// Number of times that two operators replace the same version at once.
const RACES: u64 = 12;
const BAD_EDITS: u64 = 3;
const OUTAGE_DURATION: time::Duration = time::Duration::from_secs(20);
/// Time given to a forbidden change to show before the state is checked.
const CHECK_DELAY: time::Duration = time::Duration::from_secs(4);
/// Time limit for the accepted record to show an edit; an edit that exceeds it counts as
/// lost.
const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const NEVER_REVERTS: &str = "an accepted configuration never reverts";
const IN_FORCE: &str = "an accepted configuration is in force everywhere";
const RACE_CONFLICT: &str = "racing operators get a conflict";
const REFUSED: &str = "a refused edit changes nothing and is reported";

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let site = context.site(site::Spec::small(SERVICE, 4)).await?;
    let mut editor = Editor::new(site, context.seed).await?;
    editor.measure_idle_store_calls().await;
    editor.race_edits().await?;
    editor.write_bad_edits().await?;
    editor.edit_with_silent_watches().await?;
    editor.edit_with_lost_replies().await?;
    editor.replace_vm_in_outage().await?;
    editor.restore_earlier_state().await?;
    Ok(editor.end())
}

/// Edits the document of one service and checks how the site's VMs apply the edits.
struct Editor {
    site: site::Site,
    store: store::Client,
    observer: generations::Observer,
    random: rand::rngs::StdRng,
    outcome: outcome::Outcome,
    /// Deadline in ms that the last edit set; each edit sets another one.
    deadline: u64,
}

impl Editor {
    async fn new(site: site::Site, seed: u64) -> Result<Self, measure::Error> {
        let store = site.store().map_err(store_error)?;
        let observer = generations::Observer::start(&site, SERVICE)?;
        let mut editor = Self {
            site,
            store,
            observer,
            random: rand::rngs::StdRng::seed_from_u64(seed),
            outcome: outcome::Outcome::default(),
            deadline: 2000,
        };
        // Wait until the document that the site starts with is in force.
        let first = editor.accepted().map_or(1, |record| record.generation.0);
        if editor.observer.applied_by_all(first.max(1)).await.is_none() {
            editor.add_violation(IN_FORCE, "the first document is not in force on all VMs");
        }
        Ok(editor)
    }

    /// Measures the store calls of a site without requests.
    async fn measure_idle_store_calls(&mut self) {
        let counts_before = self.site.platform.state().counts();
        let duration = time::Duration::from_secs(10);
        clock::sleep(duration).await;
        let counts_after = self.site.platform.state().counts();
        let per_vm = |count: u64| count as f64 / duration.as_secs_f64() / f64::from(site::VM_COUNT);
        let reads =
            |counts: &crate::platform::Counts| counts.get + counts.list + counts.watch + counts.vms;
        let (reads, writes) = (
            reads(&counts_after) - reads(&counts_before),
            counts_after.put - counts_before.put,
        );
        self.outcome
            .set_figure("idle_store_reads_per_s", per_vm(reads));
        self.outcome
            .set_figure("idle_store_writes_per_s", per_vm(writes));
    }

    /// Lets two operators replace the same version; one of them must get a conflict.
    async fn race_edits(&mut self) -> Result<(), measure::Error> {
        for _ in 0..RACES {
            let base = self.version().await?;
            let (first_text, second_text) = (self.next_text(), self.next_text());
            let (first, second) = tokio::join!(
                self.put(&first_text.1, store::Condition::Version(base)),
                self.put(&second_text.1, store::Condition::Version(base)),
            );
            let winner = match (&first, &second) {
                (Ok(_), Err(store::Error::Conflict { .. })) => first_text.0,
                (Err(store::Error::Conflict { .. }), Ok(_)) => second_text.0,
                _ => {
                    let seen = format!("over version {base}: {first:?} and {second:?}");
                    self.add_violation(RACE_CONFLICT, seen);
                    continue;
                }
            };
            self.await_in_force("race", winner).await;
        }
        Ok(())
    }

    /// Writes invalid texts; they must change nothing and the status must report the
    /// findings.
    async fn write_bad_edits(&mut self) -> Result<(), measure::Error> {
        for number in 0..BAD_EDITS {
            let before = self.accepted();
            let text = match number {
                0 => "{\"team\": \"a\", \"deadline_ms\": 0}",
                1 => "{\"team\": \"a\", \"dedline_ms\": 10}",
                _ => "{\"team\": \"a\",, }",
            };
            let version = self
                .put(text, store::Condition::Any)
                .await
                .map_err(store_error)?;
            clock::sleep(CHECK_DELAY).await;
            if self.accepted() != before {
                self.add_violation(REFUSED, format!("{text} changed the accepted record"));
            }
            let verdict = self.status().map(|status| status.document);
            let refused = matches!(&verdict, Some(document::Verdict::Refused { version: of, findings })
                if *of == version && !findings.is_empty());
            if !refused {
                self.add_violation(REFUSED, format!("status after {text}: {verdict:?}"));
            }
        }
        let (deadline, text) = self.next_text();
        self.put(&text, store::Condition::Any)
            .await
            .map_err(store_error)?;
        self.await_in_force("after_bad_edits", deadline).await;
        Ok(())
    }

    /// Edits while watches report no changes; VMs must find the edits by listing.
    async fn edit_with_silent_watches(&mut self) -> Result<(), measure::Error> {
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.deaf_watches = true);
        for _ in 0..3 {
            let (deadline, text) = self.next_text();
            self.put(&text, store::Condition::Any)
                .await
                .map_err(store_error)?;
            self.await_in_force("deaf_watch", deadline).await;
        }
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.deaf_watches = false);
        Ok(())
    }

    /// Edits while half of the replies to writes are lost after the write took effect;
    /// each edit must be accepted exactly once.
    async fn edit_with_lost_replies(&mut self) -> Result<(), measure::Error> {
        for _ in 0..4 {
            let before = self.accepted().map_or(0, |record| record.generation.0);
            let (deadline, text) = self.next_text();
            self.put(&text, store::Condition::Any)
                .await
                .map_err(store_error)?;
            let state = self.site.platform.state();
            state.set_faults(|faults| faults.lose_replies = 0.5);
            self.await_in_force("lost_reply", deadline).await;
            let state = self.site.platform.state();
            state.set_faults(|faults| faults.lose_replies = 0.0);
            let after = self.accepted().map_or(0, |record| record.generation.0);
            if after != before + 1 {
                let seen = format!("one edit changed the generation from {before} to {after}");
                self.add_violation("an edit is accepted once", seen);
            }
        }
        Ok(())
    }

    /// Replaces a VM while the store is down.
    async fn replace_vm_in_outage(&mut self) -> Result<(), measure::Error> {
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.down = true);
        clock::sleep(time::Duration::from_secs(2)).await;
        let generation = self.accepted().map_or(0, |record| record.generation.0);
        let index = self.random.random_range(0..self.site.vms.len());
        self.site.kill(index);
        let started = clock::Instant::now();
        self.site.add().await?;
        self.observer.set_targets(&self.site);
        match self.site.wait_until_ready().await {
            Ok(()) => {
                let took = started.elapsed().as_secs_f64() * 1000.0;
                self.outcome.set_figure("ready_in_outage_ms", took);
            }
            Err(error) => {
                self.add_violation("a new VM starts while the store is out", error.to_string())
            }
        }
        if self.observer.applied_by_all(generation).await.is_none() {
            let seen = format!("the new VM does not apply generation {generation}");
            self.add_violation(NEVER_REVERTS, seen);
        }
        clock::sleep(OUTAGE_DURATION.saturating_sub(started.elapsed())).await;
        let state = self.site.platform.state();
        state.set_faults(|faults| faults.down = false);
        let (deadline, text) = self.next_text();
        self.put(&text, store::Condition::Any)
            .await
            .map_err(store_error)?;
        self.await_in_force("after_outage", deadline).await;
        Ok(())
    }

    /// Returns the store to an earlier state and starts a VM from it; no VM may apply an
    /// earlier generation.
    async fn restore_earlier_state(&mut self) -> Result<(), measure::Error> {
        let old = self
            .site
            .platform
            .state()
            .objects(|objects| objects.clone());
        for _ in 0..2 {
            let (deadline, text) = self.next_text();
            self.put(&text, store::Condition::Any)
                .await
                .map_err(store_error)?;
            self.await_in_force("before_set_back", deadline).await;
        }
        let generation = self.accepted().map_or(0, |record| record.generation.0);
        self.site.platform.state().objects(|objects| *objects = old);
        self.site.add().await?;
        self.site.wait_until_ready().await?;
        self.observer.set_targets(&self.site);
        clock::sleep(4 * CHECK_DELAY).await;
        let lowest = self.observer.lowest();
        if lowest < generation {
            let seen = format!("generation {generation} was in force, but a VM applies {lowest}");
            self.add_violation(NEVER_REVERTS, seen);
        }
        let (deadline, text) = self.next_text();
        self.put(&text, store::Condition::Any)
            .await
            .map_err(store_error)?;
        self.await_in_force("after_set_back", deadline).await;
        Ok(())
    }

    fn end(mut self) -> outcome::Outcome {
        for (vm, before, after) in self.observer.regressions() {
            self.add_violation(
                NEVER_REVERTS,
                format!("{vm} went from generation {before} to {after}"),
            );
        }
        self.outcome
    }

    /// Waits until the edit is accepted and then in force on all VMs. Adds the longest
    /// time of each `kind` from write to acceptance and from acceptance to in force.
    async fn await_in_force(&mut self, kind: &str, deadline: u64) {
        let written = clock::Instant::now();
        let Some(record) = self.await_accepted(deadline).await else {
            let seen = format!("the edit to deadline {deadline} ms ({kind}) was not accepted");
            return self.add_violation("no accepted edit is lost", seen);
        };
        let accepted = clock::Instant::now();
        let generation = record.generation.0;
        let Some(at) = self.observer.applied_by_all(generation).await else {
            let seen = format!("generation {generation} ({kind}) is not in force on all VMs");
            return self.add_violation(IN_FORCE, seen);
        };
        let took = at.saturating_duration_since(accepted);
        self.keep_max(&format!("{kind}_accepted_max_ms"), accepted - written);
        self.keep_max(&format!("{kind}_in_force_max_ms"), took);
        self.keep_max("in_force_max_ms", took);
    }

    fn keep_max(&mut self, name: &str, took: time::Duration) {
        let millis = took.as_secs_f64() * 1000.0;
        let before = self.outcome.figures.get(name).copied().unwrap_or(0.0);
        self.outcome.set_figure(name, millis.max(before));
    }

    async fn await_accepted(&self, deadline: u64) -> Option<keeper::Accepted> {
        let until = clock::Instant::now() + ACCEPT_TIMEOUT;
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
        text.map(|object| object.version).map_err(store_error)
    }

    /// Returns the accepted record as stored, unaffected by the store's faults.
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

    fn add_violation(&mut self, promise: &'static str, seen: impl Into<String>) {
        self.outcome.add_violation(promise, "-", seen);
    }
}

#[expect(clippy::expect_used, reason = "a constant name")]
fn service() -> ids::Service {
    SERVICE.parse().expect("a valid name")
}

fn store_error(error: store::Error) -> measure::Error {
    measure::Error::Other {
        what: error.to_string(),
    }
}
