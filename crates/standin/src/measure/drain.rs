//! Two upstreams drain under load and return. The health report of one lags, that of
//! the other keeps claiming that it is up.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;
use crate::upstream;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "drain",
    about: "two upstreams drain under load; one health report lags, the other always says up",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// Promise that an upstream gets no new calls once it has drained for 2 s.
const NO_NEW_WORK: &str = "no new work at a leaving upstream after 2 s";
/// Promise that calls which run at a draining upstream are finished.
const NOT_CANCELLED: &str = "no running call is cut at a leaving upstream";

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.15;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(12);
/// Time until the faults are set, from the start of the load.
const FAULTS_AT: time::Duration = time::Duration::from_secs(2);
/// Time after which a draining upstream must get no new calls.
const DRAIN_GRACE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Time for which new calls at a draining upstream are counted.
const DRAIN_DURATION: time::Duration = time::Duration::from_secs(4);
/// Delay of both upstreams' health reports.
const HEALTH_LAG_MS: u64 = 1500;

/// Calls that must be running before the upstreams start to drain.
const MIN_RUNNING_CALLS: usize = 4;
/// Extra time that these calls take, and the time for which cancellations are counted.
const LONG_CALL_DURATION: time::Duration = time::Duration::from_millis(200);

/// Calls that an upstream got while it drained and afterwards.
struct DrainedUpstream {
    upstream: String,
    /// Calls that arrived later than `DRAIN_GRACE_PERIOD` after the drain began.
    arrived_late: u64,
    /// Calls started after the drain ended.
    started_after: u64,
}

/// Calls that ran when their upstreams started to drain.
struct RunningCalls {
    running: usize,
    cancelled: u64,
}

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let warm_site = searches::WarmSite::start(
        context,
        site::Spec::small(SERVICE, SHARDS),
        LOAD_SHARE,
        LOAD_DURATION,
    )
    .await?;
    let service = warm_site.service();
    let (lagging, lying) = (service.replica(0, 0), service.replica(1, 1));
    let (results, lagging, lying) =
        tokio::join!(warm_site.send(), drain(lagging, false), drain(lying, true),);
    let results = results?;
    let mut out = warm_site.summarize(&results).await?;
    for (name, drained) in [("lagging", lagging), ("lying", lying)] {
        drained.add_to(name, &mut out);
    }
    drop(warm_site);
    long_calls(context).await?.add_to(&mut out);
    Ok(out)
}

/// Drains one upstream of each shard while long calls run there. Hedging is off, as
/// a hedge that wins would cancel the other call.
async fn long_calls(context: measure::Context) -> Result<RunningCalls, measure::Error> {
    let mut config = site::Config::new(vec![site::Spec::small(SERVICE, 4)]);
    config.policy = match context.policy {
        query::Policy::Full => query::Policy::NoHedge,
        other => other,
    };
    config.seed = context.seed;
    let site = site::Site::start(config).await?;
    let service = site.service(SERVICE);
    let drained = || (0..4).map(|shard| service.replica(shard, 0).state());
    let delay = u64::try_from(LONG_CALL_DURATION.as_millis()).unwrap_or_default();
    drained().for_each(|state| state.set_faults(|faults| faults.delay_ms = delay));
    let draining = async {
        let running = || drained().map(upstream::State::running).sum::<usize>();
        while running() < MIN_RUNNING_CALLS {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        let running = running();
        let cancelled_before = service.counts().cancelled;
        drained().for_each(|state| state.set_faults(|faults| faults.draining = true));
        tokio::time::sleep(LONG_CALL_DURATION).await;
        let cancelled = service.counts().cancelled - cancelled_before;
        RunningCalls { running, cancelled }
    };
    let duration = time::Duration::from_secs(3);
    let load = searches::Load {
        rate: 60.0,
        duration,
        seed: context.seed,
    };
    let (results, calls) = tokio::join!(searches::send(&site, SERVICE, load), draining);
    results?;
    Ok(calls)
}

async fn drain(server: &upstream::Server, lies: bool) -> DrainedUpstream {
    let state = server.state();
    tokio::time::sleep(FAULTS_AT).await;
    state.set_faults(|faults| {
        faults.health_lag_ms = HEALTH_LAG_MS;
        faults.health_lie = lies.then(|| "up".to_owned());
    });
    tokio::time::sleep(time::Duration::from_millis(HEALTH_LAG_MS)).await;
    state.set_faults(|faults| faults.draining = true);
    tokio::time::sleep(DRAIN_GRACE_PERIOD).await;
    let counts_after_grace = state.counts();
    tokio::time::sleep(DRAIN_DURATION).await;
    let counts_after_drain = state.counts();
    state.set_faults(|faults| {
        faults.draining = false;
        faults.health_lie = None;
    });
    tokio::time::sleep(time::Duration::from_millis(HEALTH_LAG_MS) + DRAIN_GRACE_PERIOD).await;
    DrainedUpstream {
        upstream: state.config().id.to_string(),
        arrived_late: counts_after_drain.arrived_draining - counts_after_grace.arrived_draining,
        started_after: state.counts().started - counts_after_drain.started,
    }
}

impl DrainedUpstream {
    fn add_to(self, name: &str, out: &mut outcome::Outcome) {
        out.set_figure(format!("{name}_arrived_after_2s"), self.arrived_late as f64);
        out.set_figure(
            format!("{name}_started_once_back"),
            self.started_after as f64,
        );
        if self.arrived_late > 0 {
            let seen = format!("{}: {} calls arrived", self.upstream, self.arrived_late);
            out.add_violation(NO_NEW_WORK, "-", seen);
        }
    }
}

impl RunningCalls {
    fn add_to(self, out: &mut outcome::Outcome) {
        out.set_figure("running_at_drain", self.running as f64);
        out.set_figure("cancelled_at_drain", self.cancelled as f64);
        if self.cancelled > 0 {
            let seen = format!("{} of {} calls", self.cancelled, self.running);
            out.add_violation(NOT_CANCELLED, "-", seen);
        }
    }
}
