//! Sends registrations and compares the replies to callers with the runs at the
//! upstreams.

use std::collections;
use std::time;

use geraniumgauge::ids;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::site;

/// Promise that a record runs at most once.
pub const AT_MOST_ONCE: &str = "at most once";
/// Promise that a registration which is refused as not run has not run.
pub const NOT_RUN: &str = "not run means not run";
/// Promise that a repeated registration is answered with the same result.
pub const SAME_RESULT: &str = "repeats get the same result";
/// Time that a caller waits before it sends an unanswered registration again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Open-loop load of registrations.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Start of each key.
    pub prefix: String,
    /// Mean number of keys a second.
    pub rate: f64,
    /// Time for which new keys are sent.
    pub duration: time::Duration,
    /// Deadline of each request.
    pub deadline: time::Duration,
    /// Share of keys that are sent twice, 5 ms apart.
    pub duplicate_share: f64,
    /// Highest number of requests for a key without an answer, each to a VM other
    /// than the last. A key that is sent twice has as many for each of the two.
    pub max_attempts: usize,
}

/// A registration's key and the results of all requests for it.
#[derive(Debug)]
struct Registration {
    key: String,
    samples: Vec<load::Sample>,
}

/// All registrations that were sent.
#[derive(Debug)]
pub struct Tally {
    registrations: Vec<Registration>,
}

/// Sends registrations as planned and waits for all.
///
/// # Errors
/// Returns an error if the HTTP client can't be built.
pub async fn send(
    site: &site::Site,
    service: &str,
    plan: &Plan,
    seed: u64,
) -> Result<Tally, measure::Error> {
    let caller = load::Caller::new(site)?;
    let service = site.service(service).id().clone();
    Ok(send_by(caller, service, plan.clone(), seed).await)
}

/// Sends registrations as planned through `caller` and waits for all.
pub async fn send_by(caller: load::Caller, service: ids::Service, plan: Plan, seed: u64) -> Tally {
    let sent = load::open_loop(plan.rate, plan.duration, seed, |number| {
        let key = format!("{}-{seed}-{number}", plan.prefix);
        let mut random = rand::rngs::StdRng::seed_from_u64(seed ^ number);
        let duplicate = random.random_bool(plan.duplicate_share);
        send_key(
            caller.clone(),
            service.clone(),
            plan.clone(),
            key,
            duplicate,
        )
    });
    Tally {
        registrations: sent.await,
    }
}

async fn send_key(
    caller: load::Caller,
    service: ids::Service,
    plan: Plan,
    key: String,
    duplicate: bool,
) -> Registration {
    let record = serde_json::json!({ "label": key });
    let first = send_until_answered(&caller, &service, &plan, &key, &record);
    let samples = if duplicate {
        let second = async {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            send_until_answered(&caller, &service, &plan, &key, &record).await
        };
        let (mut first, second) = tokio::join!(first, second);
        first.extend(second);
        first
    } else {
        first.await
    };
    Registration { key, samples }
}

/// Sends a registration until it is answered, at most `plan.max_attempts` times and each
/// time to a VM other than the last.
async fn send_until_answered(
    caller: &load::Caller,
    service: &ids::Service,
    plan: &Plan,
    key: &str,
    record: &serde_json::Value,
) -> Vec<load::Sample> {
    let mut samples: Vec<load::Sample> = Vec::new();
    for _ in 0..plan.max_attempts {
        let last = samples.last().and_then(|sample| sample.vm.clone());
        let sample = caller
            .register(service, key, record, plan.deadline, last.as_ref())
            .await;
        let answered = sample.answered();
        samples.push(sample);
        if answered {
            break;
        }
        if samples.len() < plan.max_attempts {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    samples
}

impl Registration {
    fn results(&self) -> impl Iterator<Item = &serde_json::Value> {
        let answered = self.samples.iter().filter(|sample| sample.answered());
        answered.filter_map(|sample| Some(&sample.reply.as_ref().ok()?.body["result"]))
    }

    /// Returns whether every request was refused as not run.
    fn not_run(&self) -> bool {
        self.samples.iter().all(|sample| sample.ran() == Some("no"))
    }

    fn check(&self, runs: &[&crate::upstream::Run], out: &mut outcome::Outcome) {
        let last = self.samples.last().map(load::Sample::request_id);
        let request = last.unwrap_or_default();
        if runs.len() > 1 {
            out.violate(
                AT_MOST_ONCE,
                &request,
                format!("{} ran {} times", self.key, runs.len()),
            );
        }
        if self.not_run() && !runs.is_empty() {
            out.violate(NOT_RUN, &request, format!("{} ran: {runs:?}", self.key));
        }
        // The name of a call at an upstream starts with the id of its request.
        for sample in self
            .samples
            .iter()
            .filter(|sample| sample.ran() == Some("no"))
        {
            let name = format!("{}.", sample.request_id());
            if runs.iter().any(|run| run.request.starts_with(&name)) {
                out.violate(NOT_RUN, sample.request_id(), format!("{} ran", self.key));
            }
        }
        let results: Vec<_> = self.results().collect();
        if !results.is_empty() && runs.is_empty() {
            out.violate(
                SAME_RESULT,
                &request,
                format!("{} was answered but never ran", self.key),
            );
        }
        if results.windows(2).any(|pair| pair[0] != pair[1]) {
            out.violate(SAME_RESULT, &request, format!("{}: {results:?}", self.key));
        }
    }
}

impl Tally {
    /// Returns the number of keys that were answered.
    pub fn done(&self) -> usize {
        let answered = |sent: &&Registration| sent.results().next().is_some();
        self.registrations.iter().filter(answered).count()
    }

    /// Returns the samples of all requests.
    pub fn samples(&self) -> impl Iterator<Item = &load::Sample> {
        self.registrations.iter().flat_map(|sent| &sent.samples)
    }

    /// Returns the figures and all broken promises.
    pub fn outcome(&self, service: &site::Service) -> outcome::Outcome {
        let mut out = outcome::Outcome::default();
        let runs = service.runs();
        let mut by_key = collections::BTreeMap::<_, Vec<_>>::new();
        for run in &runs {
            by_key.entry(run.key.as_str()).or_default().push(run);
        }
        let mut took = Vec::new();
        let mut counts = collections::BTreeMap::<_, u64>::new();
        for sent in &self.registrations {
            let runs = by_key.get(sent.key.as_str()).map_or(&[][..], Vec::as_slice);
            sent.check(runs, &mut out);
            for sample in &sent.samples {
                *counts.entry(outcome_name(sample)).or_default() += 1;
                if sample.answered() {
                    took.push(sample.took);
                }
            }
        }
        took.sort_unstable();
        let requests: usize = self
            .registrations
            .iter()
            .map(|sent| sent.samples.len())
            .sum();
        out.figure("keys", self.registrations.len() as f64);
        out.figure("requests", requests as f64);
        out.figure(
            "done_share",
            self.done() as f64 / self.registrations.len().max(1) as f64,
        );
        out.figure("p50_ms", quantile(&took, 0.5));
        out.figure("p99_ms", quantile(&took, 0.99));
        for (name, count) in counts {
            out.figure(name, count as f64);
        }
        out
    }

    /// Compares the ledger's state of each key with the runs at the upstreams. Keys
    /// in `unsettled` may have run or not; every other key must agree.
    ///
    /// # Errors
    /// Returns an error if a VM doesn't answer.
    pub async fn check_ledger(
        &self,
        site: &site::Site,
        service: &str,
        unsettled: &collections::BTreeSet<String>,
        out: &mut outcome::Outcome,
    ) -> Result<(), measure::Error> {
        let service = site.service(service);
        let ran: collections::BTreeSet<_> = service.runs().into_iter().map(|run| run.key).collect();
        let client = reqwest::Client::new();
        let Some((_, address)) = site.balancer.pick(None) else {
            return Ok(());
        };
        for sent in &self.registrations {
            let key = &sent.key;
            let url = format!(
                "http://{address}/v1/services/{}/records/{key}",
                service.id()
            );
            let status: serde_json::Value = client.get(url).send().await?.json().await?;
            let agrees = match status["state"].as_str() {
                Some("done") => ran.contains(key),
                Some("not_run" | "unknown") => !ran.contains(key),
                Some("unsettled") => unsettled.contains(key),
                _ => false,
            };
            if !agrees {
                let seen = format!("state of {key}: {status}, ran: {}", ran.contains(key));
                out.violate(NOT_RUN, "-", seen);
            }
        }
        Ok(())
    }
}

fn outcome_name(sample: &load::Sample) -> String {
    match &sample.reply {
        Err(load::Failure::Unsent(_)) => "unsent".to_owned(),
        Err(load::Failure::Sent(_)) => "lost".to_owned(),
        Ok(reply) if reply.status == 200 => "answered".to_owned(),
        Ok(reply) => {
            let error = &reply.body["error"];
            let text = |name: &str| error[name].as_str().unwrap_or("none").to_owned();
            format!("refused_{}_ran_{}", text("code"), text("ran"))
        }
    }
}

/// Returns the quantile `share` of sorted durations in milliseconds; 0 if there are
/// none.
pub(super) fn quantile(sorted: &[time::Duration], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted
        .get(index)
        .map_or(0.0, |took| took.as_secs_f64() * 1e3)
}
