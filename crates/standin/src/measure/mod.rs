//! Scenarios that measure the product against its baseline and check its
//! promises. Times are figures, never verdicts: only a broken promise fails.

pub mod check;
pub mod load;
pub mod outcome;
pub mod records;
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

/// Why a scenario couldn't be run.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The site.
    #[display("site: {_0}")]
    Site(site::Error),
    /// A client.
    #[display("HTTP client: {_0}")]
    Client(reqwest::Error),
    /// Something a scenario needs for its own work.
    #[from(ignore)]
    #[display("{what}")]
    #[error(ignore)]
    Other {
        /// What couldn't be had.
        what: String,
    },
}

/// What a run is given.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Seeds arrivals and faults.
    pub seed: u64,
    /// How fan-outs are run.
    pub policy: query::Policy,
}

impl Context {
    /// A site of one service and as many VMs as each user has today.
    ///
    /// # Errors
    /// Where it can't start.
    pub async fn site(self, spec: site::Spec) -> Result<site::Site, Error> {
        let mut config = site::Config::new(vec![spec]);
        config.policy = self.policy;
        config.seed = self.seed;
        config.vms = usize::from(site::VM_COUNT);
        Ok(site::Site::start(config).await?)
    }
}

/// A run under way.
pub type Run = future::BoxFuture<'static, Result<outcome::Outcome, Error>>;

/// One scenario.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it does, in a line.
    pub about: &'static str,
    /// The policy it is compared with, where it is about searches.
    pub baseline: Option<query::Policy>,
    /// Runs it once.
    pub run: fn(Context) -> Run,
}

/// All scenarios, in the order in which `all` runs them.
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

/// The scenario of that name.
pub fn find(name: &str) -> Option<Scenario> {
    SCENARIOS
        .iter()
        .find(|scenario| scenario.name == name)
        .copied()
}

/// Runs the baseline, where there is one, and then the policy wanted.
///
/// # Errors
/// Where the scenario's site or tools can't be had.
pub async fn run(scenario: Scenario, context: Context) -> Result<Report, Error> {
    let baseline = match scenario.baseline {
        Some(policy) => Some((policy, (scenario.run)(Context { policy, ..context }).await?)),
        None => None,
    };
    let outcome = (scenario.run)(context).await?;
    Ok(Report::new(scenario.name, context, baseline, outcome))
}
