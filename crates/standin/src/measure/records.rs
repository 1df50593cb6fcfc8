//! Sends registrations and compares what callers were told with what upstreams
//! ran.

use std::collections;
use std::time;

use geraniumgauge::ids;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::site;

/// A record runs at most once.
pub const ONCE: &str = "at most once";
/// What is refused as not run has not run.
pub const NOT_RUN: &str = "not run means not run";
/// A repeat is answered with the same result.
pub const SAME: &str = "repeats get the same result";
/// Wait of a caller before it sends again, where it isn't told one.
const AGAIN: time::Duration = time::Duration::from_millis(150);

/// What to send.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Starts each key.
    pub prefix: String,
    /// Keys a second.
    pub rate: f64,
    /// For how long.
    pub span: time::Duration,
    /// Deadline of each request.
    pub deadline: time::Duration,
    /// Share of keys that are sent at two VMs at almost the same time.
    pub doubles: f64,
    /// Most times that a key without an answer is sent, each at another VM.
    pub tries: usize,
}

/// One key, and everything its caller was told.
#[derive(Debug)]
struct Sent {
    key: String,
    samples: Vec<load::Sample>,
}

/// Every key sent.
#[derive(Debug)]
pub struct Tally {
    sent: Vec<Sent>,
}

/// Sends registrations as planned and waits for all.
///
/// # Errors
/// Where the HTTP client can't be set up.
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

/// Sends registrations as planned, through a caller that is there already.
pub async fn send_by(caller: load::Caller, service: ids::Service, plan: Plan, seed: u64) -> Tally {
    let sent = load::open_loop(plan.rate, plan.span, seed, |number| {
        let key = format!("{}-{seed}-{number}", plan.prefix);
        let mut random = rand::rngs::StdRng::seed_from_u64(seed ^ number);
        let double = random.random_bool(plan.doubles);
        one(caller.clone(), service.clone(), plan.clone(), key, double)
    });
    Tally { sent: sent.await }
}

async fn one(
    caller: load::Caller,
    service: ids::Service,
    plan: Plan,
    key: String,
    double: bool,
) -> Sent {
    let record = serde_json::json!({ "label": key });
    let first = tries(&caller, &service, &plan, &key, &record);
    let samples = if double {
        let second = async {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            tries(&caller, &service, &plan, &key, &record).await
        };
        let (mut first, second) = tokio::join!(first, second);
        first.extend(second);
        first
    } else {
        first.await
    };
    Sent { key, samples }
}

/// Sends until answered, each time at another VM than the last.
async fn tries(
    caller: &load::Caller,
    service: &ids::Service,
    plan: &Plan,
    key: &str,
    record: &serde_json::Value,
) -> Vec<load::Sample> {
    let mut samples: Vec<load::Sample> = Vec::new();
    for _ in 0..plan.tries {
        let last = samples.last().and_then(|sample| sample.vm.clone());
        let sample = caller
            .register(service, key, record, plan.deadline, last.as_ref())
            .await;
        let answered = sample.answered();
        samples.push(sample);
        if answered {
            break;
        }
        if samples.len() < plan.tries {
            tokio::time::sleep(AGAIN).await;
        }
    }
    samples
}

impl Sent {
    fn results(&self) -> impl Iterator<Item = &serde_json::Value> {
        let answered = self.samples.iter().filter(|sample| sample.answered());
        answered.filter_map(|sample| Some(&sample.reply.as_ref().ok()?.body["result"]))
    }

    /// Whether every request was refused as not run.
    fn not_run(&self) -> bool {
        self.samples.iter().all(|sample| sample.ran() == Some("no"))
    }

    fn check(&self, runs: &[&crate::upstream::Run], out: &mut outcome::Outcome) {
        let last = self.samples.last().map(load::Sample::request_id);
        let request = last.unwrap_or_default();
        if runs.len() > 1 {
            out.violate(
                ONCE,
                &request,
                format!("{} ran {} times", self.key, runs.len()),
            );
        }
        if self.not_run() && !runs.is_empty() {
            out.violate(NOT_RUN, &request, format!("{} ran: {runs:?}", self.key));
        }
        // Upstreams name a call by the request that it is for.
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
                SAME,
                &request,
                format!("{} is done and never ran", self.key),
            );
        }
        if results.windows(2).any(|pair| pair[0] != pair[1]) {
            out.violate(SAME, &request, format!("{}: {results:?}", self.key));
        }
    }
}

impl Tally {
    /// Keys that were answered.
    pub fn done(&self) -> usize {
        let answered = |sent: &&Sent| sent.results().next().is_some();
        self.sent.iter().filter(answered).count()
    }

    /// Every request's sample.
    pub fn samples(&self) -> impl Iterator<Item = &load::Sample> {
        self.sent.iter().flat_map(|sent| &sent.samples)
    }

    /// The figures, and every broken promise.
    pub fn outcome(&self, service: &site::Service) -> outcome::Outcome {
        let mut out = outcome::Outcome::default();
        let runs = service.runs();
        let mut by_key = collections::BTreeMap::<_, Vec<_>>::new();
        for run in &runs {
            by_key.entry(run.key.as_str()).or_default().push(run);
        }
        let mut took = Vec::new();
        let mut counts = collections::BTreeMap::<_, u64>::new();
        for sent in &self.sent {
            let runs = by_key.get(sent.key.as_str()).map_or(&[][..], Vec::as_slice);
            sent.check(runs, &mut out);
            for sample in &sent.samples {
                *counts.entry(kind(sample)).or_default() += 1;
                if sample.answered() {
                    took.push(sample.took);
                }
            }
        }
        took.sort_unstable();
        let requests: usize = self.sent.iter().map(|sent| sent.samples.len()).sum();
        out.figure("keys", self.sent.len() as f64);
        out.figure("requests", requests as f64);
        out.figure(
            "done_share",
            self.done() as f64 / self.sent.len().max(1) as f64,
        );
        out.figure("p50_ms", quantile(&took, 0.5));
        out.figure("p99_ms", quantile(&took, 0.99));
        for (kind, count) in counts {
            out.figure(kind, count as f64);
        }
        out
    }

    /// Compares what the ledger says of each key with what ran. Keys listed as
    /// unsettled may have run or not; every other one must agree.
    ///
    /// # Errors
    /// Where a VM can't be asked.
    pub async fn check_record(
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
        for sent in &self.sent {
            let key = &sent.key;
            let url = format!(
                "http://{address}/v1/services/{}/records/{key}",
                service.id()
            );
            let told: serde_json::Value = client.get(url).send().await?.json().await?;
            let agrees = match told["state"].as_str() {
                Some("done") => ran.contains(key),
                Some("not_run" | "unknown") => !ran.contains(key),
                Some("unsettled") => unsettled.contains(key),
                _ => false,
            };
            if !agrees {
                let seen = format!("{key} is told as {told}, ran: {}", ran.contains(key));
                out.violate(NOT_RUN, "-", seen);
            }
        }
        Ok(())
    }
}

fn kind(sample: &load::Sample) -> String {
    match &sample.reply {
        Err(load::Lost::Unsent(_)) => "unsent".to_owned(),
        Err(load::Lost::Sent(_)) => "lost".to_owned(),
        Ok(reply) if reply.status == 200 => "answered".to_owned(),
        Ok(reply) => {
            let error = &reply.body["error"];
            let text = |name: &str| error[name].as_str().unwrap_or("none").to_owned();
            format!("refused_{}_ran_{}", text("code"), text("ran"))
        }
    }
}

/// A quantile in milliseconds; 0 where there are none.
pub(super) fn quantile(sorted: &[time::Duration], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * share).round() as usize;
    sorted.get(at).map_or(0.0, |took| took.as_secs_f64() * 1e3)
}
