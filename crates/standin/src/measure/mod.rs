//! Scenarios that compare the query tier with a baseline and check its promises.
//! A promise is a property that must hold for every request, whatever the load or fault, for
//! example that a registration runs at most once. Times are reported but never fail a run;
//! only a broken promise does.

pub mod check;
pub mod load;
pub mod outcome;
pub mod registration_load;
pub mod tally;

mod calls;
mod cold_start;
mod control;
mod crash_query;
mod crossed;
mod documents;
mod drain;
mod fanout;
mod generations;
mod outage;
mod overload;
mod registrations;
mod replica_loss;
mod report;
pub mod searches;
mod shed;
mod silent;
mod stop;
mod straggler;
mod together;
mod usage;
mod versions;
mod vm_loss;

pub use report::Report;

use futures_util::future;
use geraniumgauge::query;

use crate::site;

/// An error that keeps a scenario from running.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The site could not be started or operated.
    #[display("site: {_0}")]
    Site(site::Error),
    /// An HTTP client could not be built, or a request for metrics failed.
    #[display("HTTP client: {_0}")]
    Client(reqwest::Error),
    /// Anything else that a scenario could not set up or obtain.
    #[from(ignore)]
    #[display("{what}")]
    #[error(ignore)]
    Other {
        /// What failed.
        what: String,
    },
}

/// Settings of one run.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Seed of the random arrivals and faults.
    pub seed: u64,
    /// Policy by which VMs call the upstreams.
    pub policy: query::Policy,
}

impl Context {
    /// Starts a site of one service on [`site::VM_COUNT`] VMs, as many as each of
    /// the real sites has.
    ///
    /// # Errors
    /// Returns an error if the site can't be started.
    pub async fn site(self, spec: site::Spec) -> Result<site::Site, Error> {
        let mut config = site::Config::new(vec![spec]);
        config.policy = self.policy;
        config.seed = self.seed;
        config.vms = usize::from(site::VM_COUNT);
        Ok(site::Site::start(config).await?)
    }
}

/// Future of a running scenario.
pub type Run = future::BoxFuture<'static, Result<outcome::Outcome, Error>>;

/// A scenario that can be run from the command line.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Policy to compare with; `None` if the scenario doesn't compare policies.
    pub baseline: Option<query::Policy>,
    /// Runs the scenario once.
    pub run: fn(Context) -> Run,
}

/// All scenarios, in the order in which `measure all` runs them.
pub const SCENARIOS: &[Scenario] = &[
    straggler::SCENARIO,
    fanout::SCENARIO,
    overload::SCENARIO,
    shed::SCENARIO,
    cold_start::SCENARIO,
    drain::SCENARIO,
    replica_loss::SCENARIO,
    silent::SCENARIO,
    registrations::SCENARIO,
    outage::SCENARIO,
    stop::SCENARIO,
    vm_loss::SCENARIO,
    control::SCENARIO,
    calls::SCENARIO,
    documents::SCENARIO,
    together::SCENARIO,
    crossed::SCENARIO,
    versions::SCENARIO,
    crash_query::SCENARIO,
];

/// Returns the scenario called `name`.
pub fn find(name: &str) -> Option<Scenario> {
    SCENARIOS
        .iter()
        .find(|scenario| scenario.name == name)
        .copied()
}

/// Runs the scenario under the policy of `context` and then under its baseline policy, if
/// it has one. What the first run breaks is logged before the baseline starts, so that it
/// is known even if the baseline can't run.
///
/// # Errors
/// Returns an error if the site or a client can't be set up or used.
pub async fn run(scenario: Scenario, context: Context) -> Result<Report, Error> {
    let outcome = (scenario.run)(context).await?;
    for violation in &outcome.violations {
        log::warn!(
            request = violation.request_id.as_str();
            "{} breaks a promise, {}: {}", scenario.name, violation.promise, violation.seen
        );
    }
    let baseline = match scenario.baseline {
        Some(policy) => Some((policy, (scenario.run)(Context { policy, ..context }).await?)),
        None => None,
    };
    Ok(Report::new(scenario.name, context, baseline, outcome))
}
