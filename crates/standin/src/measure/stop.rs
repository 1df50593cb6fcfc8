//! Planned stops under load on a site of [`site::VM_COUNT`] VMs: one VM, then two at once,
//! then as many as the site has, one by one. Each replacement starts and is ready before
//! its VM stops.

use std::time;

use futures_util::future;
use geraniumgauge::query;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::tally;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "stop",
    about: "one of 4 VMs is stopped under load, then two at once, then all in turn, replaced first",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// Promise that a planned stop interrupts or refuses no request.
const GRACEFUL: &str = "planned stops cut off no request";

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.15;
const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(2);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);
/// Time for which searches are sent; long enough for all stops.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(28);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let rate = site.service(SERVICE).capacity() * LOAD_SHARE;
    send(&site, rate, WARM_UP_DURATION, context.seed)
        .await?
        .await;
    let arrived_before = site.service(SERVICE).counts().arrived();
    let sending = send(&site, rate, LOAD_DURATION, context.seed + 1).await?;
    let (samples, replacing_took) = future::join(sending, replace_vms(&mut site)).await;
    let replacing_took = replacing_took?;
    let calls_arrived = site.service(SERVICE).counts().arrived() - arrived_before;
    let mut tally = tally::Tally::default();
    let mut not_accepted = outcome::Outcome::default();
    for (query, sample) in &samples {
        tally.add(&site.service(SERVICE).layout, query, sample);
        check_accepted(sample, &mut not_accepted);
    }
    let mut out = tally.outcome(calls_arrived);
    out.absorb("", not_accepted);
    // `replace_vms` stops one VM, then two, then `VM_COUNT`.
    out.set_figure("stops", f64::from(site::VM_COUNT + 3));
    out.set_figure("stops_took_ms", replacing_took.as_secs_f64() * 1e3);
    Ok(out)
}

type SearchSample = (serde_json::Value, load::Sample);

async fn send(
    site: &site::Site,
    rate: f64,
    duration: time::Duration,
    seed: u64,
) -> Result<impl Future<Output = Vec<SearchSample>> + use<>, measure::Error> {
    let caller = load::Caller::new(site)?;
    let service = site.service(SERVICE).id().clone();
    let searches = load::SearchLoad {
        text: "query",
        rate,
        duration,
        seed,
        deadline: DEADLINE,
    };
    Ok(searches.send(caller, service))
}

/// Reports requests that could not be sent or were refused by a stopping VM.
/// [`tally::Tally`] reports connections that broke after a request was sent.
fn check_accepted(sample: &load::Sample, out: &mut outcome::Outcome) {
    let seen = match &sample.reply {
        Err(load::Failure::NotSent(why)) => format!("not sent: {why}"),
        Ok(reply) if reply.body["error"]["code"] == "stopping" => "refused: stopping".to_owned(),
        _ => return,
    };
    out.add_violation(GRACEFUL, sample.request_id(), seen);
}

/// Replaces one VM, then two at once, then as many as the site had, one by one.
async fn replace_vms(site: &mut site::Site) -> Result<time::Duration, measure::Error> {
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
