//! Sends load to a site that `scripts/site` runs as separate processes.

use std::collections;
use std::fmt;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::metrics;
use geraniumgauge::rate;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time::Clock;

use crate::measure::load;
use crate::measure::outcome;
use crate::measure::tally;
use crate::site;

/// Configuration of a load run.
#[derive(Debug, Clone)]
pub struct Config {
    /// Site to send requests to.
    pub site: site::Preset,
    /// Service of the site.
    pub service: ids::Service,
    /// Average number of requests per second.
    pub rate: rate::PerSecond,
    /// Duration of the load.
    pub duration: time::Duration,
    /// Sends registrations instead of searches.
    pub send_registrations: bool,
}

/// Reasons why load can't be sent to a site.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The HTTP client can't be set up.
    #[display("{_0}")]
    Client(reqwest::Error),
    /// The layout can't be read from the store.
    #[display("{_0}; is the site running? see scripts/site")]
    Store(store::Error),
    /// The metrics of the store's client can't be set up.
    #[display("{_0}")]
    Metrics(metrics::Error),
    /// The stored layout can't be parsed.
    #[display("the stored layout is invalid: {_0}")]
    Layout(serde_json::Error),
}

/// Figures and violations of a load run.
#[derive(Debug)]
pub struct Report {
    outcome: outcome::Outcome,
}

impl Report {
    /// Returns whether no promise was broken.
    pub fn kept_all_promises(&self) -> bool {
        self.outcome.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in &self.outcome.figures {
            writeln!(out, "  {name:<36}{value:>14.3}")?;
        }
        writeln!(out, "  violations: {}", self.outcome.violations.len())?;
        for violation in &self.outcome.violations {
            writeln!(out, "    {violation}")?;
        }
        Ok(())
    }
}

/// Deadline of each request.
const DEADLINE: time::Duration = time::Duration::from_secs(2);
/// Time given to the balancer to probe every VM once before load is sent.
const FIRST_PROBES_DURATION: time::Duration = time::Duration::from_millis(500);

/// Sends requests and summarizes the replies.
///
/// # Errors
/// If a client can't be set up or the service's layout can't be read.
pub async fn run(config: &Config) -> Result<Report, Error> {
    let meter = metrics::Metrics::new()?.meter();
    let store = store::Client::new(config.site.platform_url(), Clock::start(), &meter)?;
    let object = store.get(&layout::key(&config.service)).await?;
    let layout: layout::Layout = serde_json::from_slice(&object.body)?;
    let balancer = site::Balancer::start();
    for number in 0..site::VM_COUNT {
        let (callers_address, operators_address) = config.site.vm_addresses(number);
        let vm = site::parse_id(format!("{}-vm-{number}", config.site));
        balancer.add(&vm, callers_address, operators_address);
    }
    tokio::time::sleep(FIRST_PROBES_DURATION).await;
    let caller = load::Caller::with_balancer(balancer)?;
    let outcome = match config.send_registrations {
        false => send_searches(config, &caller, &layout).await,
        true => send_registrations(config, &caller).await,
    };
    Ok(Report { outcome })
}

async fn send_searches(
    config: &Config,
    caller: &load::Caller,
    layout: &layout::Layout,
) -> outcome::Outcome {
    let samples = load::open_loop(config.rate.0, config.duration, 1, |number| {
        let (caller, service) = (caller.clone(), config.service.clone());
        let query = serde_json::json!({ "text": format!("load {}", number % 50) });
        async move {
            let sample = caller.search(&service, &query, DEADLINE).await;
            (query, sample)
        }
    });
    let mut tally = tally::Tally::default();
    for (query, sample) in samples.await {
        tally.add(layout, &query, &sample);
    }
    // The number of calls that reached the upstreams isn't known here: it is passed as 0,
    // and `extra_load_share`, which is computed from it, is removed.
    let mut outcome = tally.outcome(0);
    outcome.figures.remove("extra_load_share");
    outcome
}

/// Promise that [`send_registrations`] checks: every request that was sent gets a reply.
const ANSWERED: &str = crate::measure::check::ANSWERED;

async fn send_registrations(config: &Config, caller: &load::Caller) -> outcome::Outcome {
    let run = rand::random::<u32>();
    let samples = load::open_loop(config.rate.0, config.duration, 1, |number| {
        let (caller, service) = (caller.clone(), config.service.clone());
        let key = format!("load-{run:x}-{number}");
        let record = serde_json::json!({ "number": number });
        async move {
            caller
                .register(&service, &key, &record, DEADLINE, None)
                .await
        }
    });
    let mut outcome = outcome::Outcome::default();
    let mut counts = collections::BTreeMap::<String, u64>::new();
    for sample in samples.await {
        let name = match &sample.reply {
            Ok(reply) if reply.status == 200 => "done".to_owned(),
            Ok(reply) => format!(
                "refused_ran_{}",
                reply.body["error"]["ran"].as_str().unwrap_or("-")
            ),
            Err(load::Failure::NotSent(_)) => "unsent".to_owned(),
            Err(load::Failure::NoReply(why)) => {
                outcome.add_violation(ANSWERED, sample.request_id(), why);
                "lost".to_owned()
            }
        };
        *counts.entry(name).or_default() += 1;
    }
    for (name, count) in counts {
        outcome.set_figure(name, count as f64);
    }
    outcome
}
