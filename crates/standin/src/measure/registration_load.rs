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

/// Promise that a registration runs at most once.
pub const AT_MOST_ONCE: &str = "at most once";
/// Promise that a registration didn't run if its refusal says so (`ran` is `no`), and that
/// the ledger's state of each key agrees with the runs.
pub const CORRECT_RAN_STATE: &str = "not run means not run";
/// Promise that an answer to a registration is the result of its run, and that repeats get
/// the same result.
pub const SAME_RESULT: &str = "repeats get the same result";
/// Time that a caller waits before it sends an unanswered registration again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Open-loop load of registrations.
#[derive(Debug, Clone)]
pub struct Load {
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
    /// Maximum number of times that a registration is sent until it is answered, each time
    /// to another VM than the time before. If a key is sent twice, this limits each of the
    /// two separately.
    pub max_attempts: usize,
}

/// A registration's key and the results of all requests for it.
#[derive(Debug)]
struct Registration {
    key: String,
    samples: Vec<load::Sample>,
}

/// All registrations that were sent, with the results of their requests.
#[derive(Debug)]
pub struct Registrations {
    registrations: Vec<Registration>,
}

/// Sends the registrations of `load` and waits for all.
///
/// # Errors
/// Returns an error if the HTTP client can't be built.
pub async fn send(
    site: &site::Site,
    service: &str,
    load: &Load,
    seed: u64,
) -> Result<Registrations, measure::Error> {
    let caller = load::Caller::new(site)?;
    let service = site.service(service).id().clone();
    Ok(send_through(caller, service, load.clone(), seed).await)
}

/// Sends the registrations of `load` through `caller` and waits for all.
pub async fn send_through(
    caller: load::Caller,
    service: ids::Service,
    load: Load,
    seed: u64,
) -> Registrations {
    let registrations = load::open_loop(load.rate, load.duration, seed, |number| {
        let key = format!("{}-{seed}-{number}", load.prefix);
        let mut random = rand::rngs::StdRng::seed_from_u64(seed ^ number);
        let duplicate = random.random_bool(load.duplicate_share);
        send_key(
            caller.clone(),
            service.clone(),
            load.clone(),
            key,
            duplicate,
        )
    });
    Registrations {
        registrations: registrations.await,
    }
}

async fn send_key(
    caller: load::Caller,
    service: ids::Service,
    load: Load,
    key: String,
    duplicate: bool,
) -> Registration {
    let record = serde_json::json!({ "label": key });
    let first = send_until_answered(&caller, &service, &load, &key, &record);
    let samples = if duplicate {
        let second = async {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            send_until_answered(&caller, &service, &load, &key, &record).await
        };
        let (mut first, second) = tokio::join!(first, second);
        first.extend(second);
        first
    } else {
        first.await
    };
    Registration { key, samples }
}

/// Sends a registration until it is answered, at most `load.max_attempts` times and each
/// time to another VM than the time before.
async fn send_until_answered(
    caller: &load::Caller,
    service: &ids::Service,
    load: &Load,
    key: &str,
    record: &serde_json::Value,
) -> Vec<load::Sample> {
    let mut samples: Vec<load::Sample> = Vec::new();
    for _ in 0..load.max_attempts {
        let last = samples.last().and_then(|sample| sample.vm.clone());
        let sample = caller
            .register(service, key, record, load.deadline, last.as_ref())
            .await;
        let answered = sample.answered();
        samples.push(sample);
        if answered {
            break;
        }
        if samples.len() < load.max_attempts {
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

    /// Returns whether every request was refused with `ran` set to `no`.
    fn not_run(&self) -> bool {
        self.samples.iter().all(|sample| sample.ran() == Some("no"))
    }

    fn check(&self, runs: &[&crate::upstream::Run], out: &mut outcome::Outcome) {
        let last = self.samples.last().map(load::Sample::request_id);
        let request = last.unwrap_or_default();
        if runs.len() > 1 {
            out.add_violation(
                AT_MOST_ONCE,
                &request,
                format!("{} ran {} times", self.key, runs.len()),
            );
        }
        if self.not_run() && !runs.is_empty() {
            out.add_violation(
                CORRECT_RAN_STATE,
                &request,
                format!("{} ran: {runs:?}", self.key),
            );
        }
        // `run.request` is the id of a call: `{id of the caller's request}.{vm}.{attempt}`.
        for sample in self
            .samples
            .iter()
            .filter(|sample| sample.ran() == Some("no"))
        {
            let call_id_prefix = format!("{}.", sample.request_id());
            if runs
                .iter()
                .any(|run| run.request.starts_with(&call_id_prefix))
            {
                out.add_violation(
                    CORRECT_RAN_STATE,
                    sample.request_id(),
                    format!("{} ran", self.key),
                );
            }
        }
        let results: Vec<_> = self.results().collect();
        if !results.is_empty() && runs.is_empty() {
            out.add_violation(
                SAME_RESULT,
                &request,
                format!("{} was answered but never ran", self.key),
            );
        }
        if results.windows(2).any(|pair| pair[0] != pair[1]) {
            out.add_violation(SAME_RESULT, &request, format!("{}: {results:?}", self.key));
        }
    }
}

impl Registrations {
    /// Returns the number of registrations that were answered.
    pub fn answered_count(&self) -> usize {
        let answered = |registration: &&Registration| registration.results().next().is_some();
        self.registrations.iter().filter(answered).count()
    }

    /// Returns the samples of all requests.
    pub fn samples(&self) -> impl Iterator<Item = &load::Sample> {
        self.registrations
            .iter()
            .flat_map(|registration| &registration.samples)
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
        for registration in &self.registrations {
            let runs = by_key
                .get(registration.key.as_str())
                .map_or(&[][..], Vec::as_slice);
            registration.check(runs, &mut out);
            for sample in &registration.samples {
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
            .map(|registration| registration.samples.len())
            .sum();
        out.set_figure("keys", self.registrations.len() as f64);
        out.set_figure("requests", requests as f64);
        out.set_figure(
            "done_share",
            self.answered_count() as f64 / self.registrations.len().max(1) as f64,
        );
        out.set_figure("p50_ms", quantile_ms(&took, 0.5));
        out.set_figure("p99_ms", quantile_ms(&took, 0.99));
        for (name, count) in counts {
            out.set_figure(name, count as f64);
        }
        out
    }

    /// Checks that the ledger's state of each key agrees with the runs at the upstreams. Keys
    /// in `unsettled` may or may not have run.
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
        for registration in &self.registrations {
            let key = &registration.key;
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
                out.add_violation(CORRECT_RAN_STATE, "-", seen);
            }
        }
        Ok(())
    }
}

fn outcome_name(sample: &load::Sample) -> String {
    match &sample.reply {
        Err(load::Failure::NotSent(_)) => "unsent".to_owned(),
        Err(load::Failure::NoReply(_)) => "lost".to_owned(),
        Ok(reply) if reply.status == 200 => "answered".to_owned(),
        Ok(reply) => {
            let error = &reply.body["error"];
            let text = |name: &str| error[name].as_str().unwrap_or("none").to_owned();
            format!("refused_{}_ran_{}", text("code"), text("ran"))
        }
    }
}

/// Returns the quantile `share` (0 to 1) of sorted durations, in milliseconds, or 0 if there
/// are no durations.
pub(super) fn quantile_ms(sorted: &[time::Duration], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted
        .get(index)
        .map_or(0.0, |took| took.as_secs_f64() * 1e3)
}
