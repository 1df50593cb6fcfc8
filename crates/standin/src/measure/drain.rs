//! Upstreams drain under load: one whose health report lags, one whose report
//! lies, and both come back.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;
use crate::upstream;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "drain",
    about: "two upstreams drain under load; one report lags, one lies",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// A leaving upstream gets no new work.
const NO_NEW_WORK: &str = "no new work at a leaving upstream after 2 s";
/// Work that runs at a leaving upstream is finished.
const NOT_CUT: &str = "no running call is cut at a leaving upstream";

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.15;
const SPAN: time::Duration = time::Duration::from_secs(12);
const START: time::Duration = time::Duration::from_secs(2);
const GRACE: time::Duration = time::Duration::from_secs(2);
const DRAIN: time::Duration = time::Duration::from_secs(4);
const LAG_MS: u64 = 1500;

/// Calls that must run at upstreams when they begin to drain.
const ENOUGH: usize = 4;
/// How long these calls run, and how long one cut by the drain may take to show.
const LONG: time::Duration = time::Duration::from_millis(200);

/// What a leaving upstream was sent.
struct Seen {
    upstream: String,
    late: u64,
    back: u64,
}

/// What became of calls that ran when their upstreams began to drain.
struct Cut {
    running: usize,
    cancelled: u64,
}

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let bench =
        searches::Bench::start(context, site::Spec::small(SERVICE, SHARDS), LOAD, SPAN).await?;
    let service = bench.service();
    let (lags, lies) = (service.replica(0, 0), service.replica(1, 1));
    let (found, lags, lies) = tokio::join!(bench.send(), drain(lags, false), drain(lies, true),);
    let found = found?;
    let mut out = bench.sum(&found).await?;
    for (name, seen) in [("lagging", lags), ("lying", lies)] {
        seen.into_outcome(name, &mut out);
    }
    drop(bench);
    long_calls(context).await?.into_outcome(&mut out);
    Ok(out)
}

/// Drains one upstream of each shard while long calls run there. Without
/// hedges, no call has a reason to be cancelled.
async fn long_calls(context: measure::Context) -> Result<Cut, measure::Error> {
    let mut config = site::Config::new(vec![site::Spec::small(SERVICE, 4)]);
    config.policy = match context.policy {
        query::Policy::Full => query::Policy::NoHedge,
        other => other,
    };
    config.seed = context.seed;
    let site = site::Site::start(config).await?;
    let service = site.service(SERVICE);
    let leaving = || (0..4).map(|shard| service.replica(shard, 0).state());
    let delay = u64::try_from(LONG.as_millis()).unwrap_or_default();
    leaving().for_each(|state| state.set_faults(|faults| faults.delay_ms = delay));
    let drains = async {
        let running = || leaving().map(upstream::State::running).sum::<usize>();
        while running() < ENOUGH {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        let running = running();
        let before = service.counts().cancelled;
        leaving().for_each(|state| state.set_faults(|faults| faults.draining = true));
        tokio::time::sleep(LONG).await;
        let cancelled = service.counts().cancelled - before;
        Cut { running, cancelled }
    };
    let span = time::Duration::from_secs(3);
    let load = searches::Load {
        rate: 60.0,
        span,
        seed: context.seed,
    };
    let (found, cut) = tokio::join!(searches::send(&site, SERVICE, load), drains);
    found?;
    Ok(cut)
}

async fn drain(server: &upstream::Server, lies: bool) -> Seen {
    let state = server.state();
    tokio::time::sleep(START).await;
    state.set_faults(|faults| {
        faults.health_lag_ms = LAG_MS;
        faults.health_lie = lies.then(|| "up".to_owned());
    });
    tokio::time::sleep(time::Duration::from_millis(LAG_MS)).await;
    state.set_faults(|faults| faults.draining = true);
    tokio::time::sleep(GRACE).await;
    let early = state.counts();
    tokio::time::sleep(DRAIN).await;
    let late = state.counts();
    state.set_faults(|faults| {
        faults.draining = false;
        faults.health_lie = None;
    });
    tokio::time::sleep(time::Duration::from_millis(LAG_MS) + GRACE).await;
    Seen {
        upstream: state.config().id.to_string(),
        late: late.arrived_draining - early.arrived_draining,
        back: state.counts().started - late.started,
    }
}

impl Seen {
    fn into_outcome(self, name: &str, out: &mut outcome::Outcome) {
        out.figure(format!("{name}_arrived_after_2s"), self.late as f64);
        out.figure(format!("{name}_started_once_back"), self.back as f64);
        if self.late > 0 {
            let seen = format!("{}: {} calls arrived", self.upstream, self.late);
            out.violate(NO_NEW_WORK, "-", seen);
        }
    }
}

impl Cut {
    fn into_outcome(self, out: &mut outcome::Outcome) {
        out.figure("running_at_drain", self.running as f64);
        out.figure("cancelled_at_drain", self.cancelled as f64);
        if self.cancelled > 0 {
            let seen = format!("{} of {} calls", self.cancelled, self.running);
            out.violate(NOT_CUT, "-", seen);
        }
    }
}
