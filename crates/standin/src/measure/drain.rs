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

/// What a leaving upstream was sent and what became of it.
struct Seen {
    upstream: String,
    late: u64,
    unfinished: u64,
    back: u64,
}

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut config = site::Config::new(vec![site::Spec::small(SERVICE, SHARDS)]);
    config.policy = context.policy;
    config.seed = context.seed;
    config.vms = 8;
    let site = site::Site::start(config).await?;
    let service = site.service(SERVICE);
    let rate = service.capacity() * LOAD;
    let load = searches::Load {
        rate,
        span: searches::WARM_UP,
        seed: context.seed,
    };
    searches::send(&site, SERVICE, load).await?;
    let (before, sent) = (
        service.counts().arrived(),
        searches::Sent::read(&site).await?,
    );
    let load = searches::Load {
        span: SPAN,
        seed: context.seed + 1,
        ..load
    };
    let (lags, lies) = (service.replica(0, 0), service.replica(1, 1));
    let (found, lags, lies) = tokio::join!(
        searches::send(&site, SERVICE, load),
        drain(lags, false),
        drain(lies, true),
    );
    let found = found?;
    let sent = searches::Sent::read(&site).await?.since(sent);
    let mut out = searches::sum(service, &found, service.counts().arrived() - before, sent);
    for (name, seen) in [("lagging", lags), ("lying", lies)] {
        seen.into_outcome(name, &mut out);
    }
    Ok(out)
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
    let unfinished = late.started.saturating_sub(late.finished + late.cancelled);
    state.set_faults(|faults| {
        faults.draining = false;
        faults.health_lie = None;
    });
    tokio::time::sleep(time::Duration::from_millis(LAG_MS) + GRACE).await;
    Seen {
        upstream: state.config().id.to_string(),
        late: late.arrived_draining - early.arrived_draining,
        unfinished,
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
        if self.unfinished > 0 {
            let seen = format!("{}: {} calls have no end", self.upstream, self.unfinished);
            out.violate(NOT_CUT, "-", seen);
        }
    }
}
