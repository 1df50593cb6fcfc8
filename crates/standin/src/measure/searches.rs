//! Sends searches to a site, while a scenario may inject faults, and counts the calls that
//! the upstreams' homes made for them.

use std::time;

use geraniumgauge::ids;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::tally;
use crate::site;

/// Promise that the homes of an upstream open no more connections to it than it accepts.
pub const CONNECTION_LIMIT_KEPT: &str = "within the upstreams' connections";
/// Promise that requests which crashed no upstream aren't quarantined.
pub const NO_FALSE_QUARANTINE: &str = "innocent requests aren't quarantined";

/// Deadline of each search.
pub const DEADLINE: time::Duration = time::Duration::from_millis(1000);
/// Time for which a scenario sends searches before it measures, so that the VMs know
/// the upstreams' call times.
pub const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(2);

/// A search that was sent.
#[derive(Debug)]
pub struct Search {
    /// Query that was sent.
    pub query: serde_json::Value,
    /// Time of sending, from the start of the load.
    pub at: time::Duration,
    /// Result of the request.
    pub sample: load::Sample,
}

impl Search {
    /// Returns whether the answer came within the deadline and covers every shard.
    pub fn is_complete_in_time(&self) -> bool {
        let complete = |reply: &load::Reply| reply.body["coverage"]["complete"] == true;
        let in_time = self.sample.took <= self.sample.deadline;
        self.sample.answered() && in_time && self.sample.reply.as_ref().is_ok_and(complete)
    }
}

/// Open-loop load of searches whose query texts are chosen by [`send`] and whose deadline is
/// [`DEADLINE`]. Use [`load::SearchLoad`] to choose query texts and deadline.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Mean number of searches a second.
    pub rate: f64,
    /// Time for which searches are sent.
    pub duration: time::Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Sends searches at random times and waits for all.
pub async fn send(
    site: &site::Site,
    service: &str,
    load: Load,
) -> Result<Vec<Search>, measure::Error> {
    let caller = load::Caller::new(site)?;
    let id: ids::Service = site.service(service).id().clone();
    let start = tokio::time::Instant::now();
    let searches = load::open_loop(load.rate, load.duration, load.seed, |number| {
        let (caller, id) = (caller.clone(), id.clone());
        let query = serde_json::json!({ "text": format!("query {} {}", load.seed, number % 50) });
        async move {
            let at = start.elapsed();
            let sample = caller.search(&id, &query, DEADLINE).await;
            Search { query, at, sample }
        }
    });
    Ok(searches.await)
}

/// Sends searches at random times, waits for all and tallies them.
pub(super) async fn send_and_tally(
    site: &site::Site,
    service: &str,
    rate: f64,
    duration: time::Duration,
    seed: u64,
    deadline: time::Duration,
) -> Result<tally::Tally, measure::Error> {
    let caller = load::Caller::new(site)?;
    let service = site.service(service);
    let searches = load::SearchLoad {
        text: "query",
        rate,
        duration,
        seed,
        deadline,
    };
    let samples = searches.send(caller, service.id().clone());
    let mut tally = tally::Tally::default();
    for (query, sample) in samples.await {
        tally.add(&service.layout, &query, &sample);
    }
    Ok(tally)
}

/// A warmed-up site, the load to measure on it, and the counters of its homes and
/// upstreams before that load.
#[derive(Debug)]
pub struct WarmSite {
    site: site::Site,
    service: ids::Service,
    load: Load,
    /// Shard calls that had reached the upstreams before the load.
    arrived_before: u64,
    /// Calls that the homes had sent before the load.
    sent_before: Attempts,
}

impl WarmSite {
    /// Starts a site of one service and warms it up. The load is `share` of the
    /// upstreams' capacity.
    ///
    /// # Errors
    /// Returns an error if the site or the HTTP client can't be set up, or if a VM's
    /// metrics can't be read.
    pub async fn start(
        context: measure::Context,
        spec: site::Spec,
        share: f64,
        duration: time::Duration,
    ) -> Result<Self, measure::Error> {
        let id = spec.id.clone();
        let site = context.site(spec).await?;
        let rate = site.service(id.as_str()).capacity() * share;
        let warm_up = Load {
            rate,
            duration: WARM_UP_DURATION,
            seed: context.seed,
        };
        send(&site, id.as_str(), warm_up).await?;
        let arrived_before = site.service(id.as_str()).counts().arrived();
        let sent_before = Attempts::read(&site).await?;
        let load = Load {
            rate,
            duration,
            seed: context.seed + 1,
        };
        Ok(Self {
            site,
            service: id,
            load,
            arrived_before,
            sent_before,
        })
    }

    /// Returns the service under load.
    pub fn service(&self) -> &site::Service {
        self.site.service(self.service.as_str())
    }

    /// Sends the load and waits for all searches.
    ///
    /// # Errors
    /// Returns an error if the HTTP client can't be built.
    pub async fn send(&self) -> Result<Vec<Search>, measure::Error> {
        send(&self.site, self.service.as_str(), self.load).await
    }

    /// Summarizes the searches and the calls to upstreams since the warm-up.
    ///
    /// # Errors
    /// Returns an error if a VM's metrics can't be read.
    pub async fn summarize(&self, searches: &[Search]) -> Result<outcome::Outcome, measure::Error> {
        let calls_sent = Attempts::read(&self.site).await?.since(self.sent_before);
        let calls_arrived = self.service().counts().arrived() - self.arrived_before;
        Ok(summarize(
            self.service(),
            searches,
            calls_arrived,
            calls_sent,
        ))
    }
}

/// Number of calls that the homes have sent, by kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    /// First attempts, including canaries.
    pub first: f64,
    /// Hedged attempts.
    pub hedges: f64,
    /// Retried attempts.
    pub retries: f64,
}

impl Attempts {
    /// Sums the counters in the metrics of the site's VMs.
    pub async fn read(site: &site::Site) -> Result<Self, measure::Error> {
        let client = reqwest::Client::new();
        let mut sent = Self::default();
        for vm in &site.vms {
            let url = format!("http://{}/metrics", vm.operators_address());
            let text = client.get(url).send().await?.text().await?;
            sent.first += attempts_of_kind(&text, "First") + attempts_of_kind(&text, "Canary");
            sent.hedges += attempts_of_kind(&text, "Hedge");
            sent.retries += attempts_of_kind(&text, "Retry");
        }
        Ok(sent)
    }

    /// Returns the calls that were sent after `earlier` was read.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            first: self.first - earlier.first,
            hedges: self.hedges - earlier.hedges,
            retries: self.retries - earlier.retries,
        }
    }

    /// Adds hedges and retries as shares of first attempts.
    pub fn set_figures(self, out: &mut outcome::Outcome) {
        let first = self.first.max(1.0);
        out.set_figure("hedge_load_share", self.hedges / first);
        out.set_figure("retry_load_share", self.retries / first);
    }
}

fn attempts_of_kind(metrics: &str, kind: &str) -> f64 {
    let label = format!("kind=\"{kind}\"");
    let lines = metrics
        .lines()
        .filter(|line| line.starts_with("home_sent_total{"));
    let lines = lines.filter(|line| line.contains(&label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Summarizes searches: the figures and checks of [`tally::Tally`], the share
/// answered completely and in time, and the shares of hedges and retries. `calls_arrived` is
/// the number of calls that reached the upstreams, `calls_sent` counts the calls that the
/// homes sent, both during these searches.
///
/// Checks that the homes kept to the upstreams' connection limits, and that no search was
/// quarantined, as none of these crashes an upstream.
pub fn summarize(
    service: &site::Service,
    searches: &[Search],
    calls_arrived: u64,
    calls_sent: Attempts,
) -> outcome::Outcome {
    let mut tally = tally::Tally::default();
    for search in searches {
        tally.add(&service.layout, &search.query, &search.sample);
    }
    let mut out = tally.outcome(calls_arrived);
    out.set_figure("whole_share", complete_in_time_share(searches));
    calls_sent.set_figures(&mut out);
    for upstream in &service.upstreams {
        let counts = upstream.state().counts();
        if counts.connections_refused > 0 {
            let seen = format!("{}: {counts:?}", upstream.state().config().id);
            out.add_violation(CONNECTION_LIMIT_KEPT, "-", seen);
        }
    }
    let quarantined = searches.iter().filter(|search| is_quarantined(search));
    for search in quarantined {
        let request = search.sample.request_id();
        out.add_violation(NO_FALSE_QUARANTINE, request, "answered as quarantined");
    }
    out
}

fn is_quarantined(search: &Search) -> bool {
    let Ok(reply) = &search.sample.reply else {
        return false;
    };
    let missing = reply.body["coverage"]["missing"].as_array();
    let mut missing = missing.into_iter().flatten();
    reply.body["error"]["code"] == "quarantined"
        || missing.any(|missing| missing["reason"] == "quarantined")
}

/// Returns the share of searches with a complete answer within the deadline.
pub fn complete_in_time_share<'a>(searches: impl IntoIterator<Item = &'a Search>) -> f64 {
    let (mut complete, mut total) = (0.0, 0.0_f64);
    for search in searches {
        total += 1.0;
        complete += f64::from(u8::from(search.is_complete_in_time()));
    }
    complete / total.max(1.0)
}
