//! Planned stops under load: one VM, then all in turn, each replaced first.

use std::time;

use futures_util::future;
use geraniumgauge::query;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::tally;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "stop",
    about: "one of 4 VMs is stopped under load, then two at once, then all in turn, replaced first",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// No request is cut off by a planned stop.
const GRACEFUL: &str = "planned stops cut off no request";

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.15;
const WARM_UP: time::Duration = time::Duration::from_secs(2);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);
/// Searches go on so long; enough for every stop.
const SPAN: time::Duration = time::Duration::from_secs(28);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let rate = site.service(SERVICE).capacity() * LOAD;
    send(&site, rate, WARM_UP, context.seed).await?.await;
    let before = site.service(SERVICE).counts().arrived();
    let sending = send(&site, rate, SPAN, context.seed + 1).await?;
    let (samples, stopped) = future::join(sending, stops(&mut site)).await;
    let took = stopped?;
    let arrived = site.service(SERVICE).counts().arrived() - before;
    let mut tally = tally::Tally::default();
    let mut cut = outcome::Outcome::default();
    for (query, sample) in &samples {
        tally.add(&site.service(SERVICE).layout, query, sample);
        judge(sample, &mut cut);
    }
    let mut out = tally.outcome(arrived);
    out.absorb("", cut);
    out.figure("stops", f64::from(site::VM_COUNT + 3));
    out.figure("stops_took_ms", took.as_secs_f64() * 1e3);
    Ok(out)
}

type Sent = (serde_json::Value, load::Sample);

async fn send(
    site: &site::Site,
    rate: f64,
    span: time::Duration,
    seed: u64,
) -> Result<impl Future<Output = Vec<Sent>> + use<>, measure::Error> {
    let caller = load::Caller::new(site)?;
    let service = site.service(SERVICE).id().clone();
    let searches = load::Searches {
        text: "query",
        rate,
        span,
        seed,
        deadline: DEADLINE,
    };
    Ok(searches.send(caller, service))
}

/// A connection that broke is seen by [`tally::Tally`] already; here are
/// requests that a stopping VM turned away while the balancer still sent them.
fn judge(sample: &load::Sample, out: &mut outcome::Outcome) {
    let seen = match &sample.reply {
        Err(load::Lost::Unsent(why)) => format!("not taken: {why}"),
        Ok(reply) if reply.body["error"]["code"] == "stopping" => "refused: stopping".to_owned(),
        _ => return,
    };
    out.violate(GRACEFUL, sample.request_id(), seen);
}

/// One stop, two at once, then every VM that was there in turn.
async fn stops(site: &mut site::Site) -> Result<time::Duration, measure::Error> {
    let start = tokio::time::Instant::now();
    replace(site, 1).await?;
    replace(site, 2).await?;
    for _ in 0..site::VM_COUNT {
        replace(site, 1).await?;
    }
    Ok(start.elapsed())
}

async fn replace(site: &mut site::Site, count: usize) -> Result<(), measure::Error> {
    for _ in 0..count {
        site.add().await?;
    }
    site.wait_until_ready().await?;
    let stopping: Vec<_> = (0..count).map(|_| site.stop(0)).collect();
    future::join_all(stopping).await;
    Ok(())
}
