//! Searches under a changing site, and what its homes sent for them.

use std::time;

use geraniumgauge::ids;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::tally;
use crate::site;

/// The homes stay within the connections that an upstream takes.
pub const WITHIN_MEANS: &str = "within the upstreams' connections";
/// No request that never crashed anything is taken for one that does.
pub const INNOCENT: &str = "innocent requests aren't quarantined";

/// Deadline of each search.
pub const DEADLINE: time::Duration = time::Duration::from_millis(1000);
/// Load before a scenario's own begins, so that times are known.
pub const WARM_UP: time::Duration = time::Duration::from_secs(2);

/// One search.
#[derive(Debug)]
pub struct Search {
    /// What was asked.
    pub query: serde_json::Value,
    /// When it was sent, from the start of the load.
    pub at: time::Duration,
    /// What came back.
    pub sample: load::Sample,
}

impl Search {
    /// Whether it was answered in time with every shard covered.
    pub fn is_whole(&self) -> bool {
        let complete = |reply: &load::Reply| reply.body["coverage"]["complete"] == true;
        let in_time = self.sample.took <= self.sample.deadline;
        self.sample.answered() && in_time && self.sample.reply.as_ref().is_ok_and(complete)
    }
}

/// What is asked of a site.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Searches a second.
    pub rate: f64,
    /// For how long.
    pub span: time::Duration,
    /// Seeds the arrivals.
    pub seed: u64,
}

/// Sends searches at random times.
pub async fn send(
    site: &site::Site,
    service: &str,
    load: Load,
) -> Result<Vec<Search>, measure::Error> {
    let caller = load::Caller::new(site)?;
    let id: ids::Service = site.service(service).id().clone();
    let start = tokio::time::Instant::now();
    let searches = load::open_loop(load.rate, load.span, load.seed, |number| {
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

/// A site that is warm, the load to be measured there, and what its homes and
/// upstreams had counted before.
#[derive(Debug)]
pub struct Bench {
    site: site::Site,
    service: ids::Service,
    load: Load,
    arrived: u64,
    sent: Sent,
}

impl Bench {
    /// Starts a site of one service and warms it up. The load is `share` of
    /// what the upstreams can run.
    ///
    /// # Errors
    /// Where the site or a client can't be had.
    pub async fn start(
        context: measure::Context,
        spec: site::Spec,
        share: f64,
        span: time::Duration,
    ) -> Result<Self, measure::Error> {
        let id = spec.id.clone();
        let site = context.site(spec).await?;
        let rate = site.service(id.as_str()).capacity() * share;
        let warm_up = Load {
            rate,
            span: WARM_UP,
            seed: context.seed,
        };
        send(&site, id.as_str(), warm_up).await?;
        let arrived = site.service(id.as_str()).counts().arrived();
        let sent = Sent::read(&site).await?;
        let load = Load {
            rate,
            span,
            seed: context.seed + 1,
        };
        Ok(Self {
            site,
            service: id,
            load,
            arrived,
            sent,
        })
    }

    /// The service.
    pub fn service(&self) -> &site::Service {
        self.site.service(self.service.as_str())
    }

    /// Sends the load.
    ///
    /// # Errors
    /// Where the HTTP client can't be set up.
    pub async fn send(&self) -> Result<Vec<Search>, measure::Error> {
        send(&self.site, self.service.as_str(), self.load).await
    }

    /// Sums up what came back, with the load on upstreams since the start.
    ///
    /// # Errors
    /// Where a VM's metrics can't be read.
    pub async fn sum(&self, found: &[Search]) -> Result<outcome::Outcome, measure::Error> {
        let sent = Sent::read(&self.site).await?.since(self.sent);
        let arrived = self.service().counts().arrived() - self.arrived;
        Ok(sum(self.service(), found, arrived, sent))
    }
}

/// Calls that the homes sent, since their start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sent {
    /// First attempts, canaries among them.
    pub first: f64,
    /// Hedges.
    pub hedges: f64,
    /// Retries.
    pub retries: f64,
}

impl Sent {
    /// Reads the VMs' metrics.
    pub async fn read(site: &site::Site) -> Result<Self, measure::Error> {
        let client = reqwest::Client::new();
        let mut sent = Self::default();
        for node in &site.nodes {
            let url = format!("http://{}/metrics", node.operators());
            let text = client.get(url).send().await?.text().await?;
            sent.first += counted(&text, "First") + counted(&text, "Canary");
            sent.hedges += counted(&text, "Hedge");
            sent.retries += counted(&text, "Retry");
        }
        Ok(sent)
    }

    /// What was sent after `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            first: self.first - earlier.first,
            hedges: self.hedges - earlier.hedges,
            retries: self.retries - earlier.retries,
        }
    }

    /// Adds the shares over first attempts.
    pub fn figures(self, out: &mut outcome::Outcome) {
        let first = self.first.max(1.0);
        out.figure("hedge_load_share", self.hedges / first);
        out.figure("retry_load_share", self.retries / first);
    }
}

fn counted(metrics: &str, kind: &str) -> f64 {
    let label = format!("kind=\"{kind}\"");
    let lines = metrics
        .lines()
        .filter(|line| line.starts_with("home_sent_total{"));
    let lines = lines.filter(|line| line.contains(&label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Sums searches up: the usual figures and checks, the share of whole answers,
/// the homes' extra load, and whether they stayed within the connections.
pub fn sum(
    service: &site::Service,
    searches: &[Search],
    arrived: u64,
    sent: Sent,
) -> outcome::Outcome {
    let mut tally = tally::Tally::default();
    for search in searches {
        tally.add(&service.layout, &search.query, &search.sample);
    }
    let mut out = tally.outcome(arrived);
    out.figure("whole_share", whole(searches));
    sent.figures(&mut out);
    for upstream in &service.upstreams {
        let counts = upstream.state().counts();
        if counts.connections_refused > 0 {
            let seen = format!("{}: {counts:?}", upstream.state().config().id);
            out.violate(WITHIN_MEANS, "-", seen);
        }
    }
    let marked = searches.iter().filter(|search| is_quarantined(search));
    for search in marked {
        let request = search.sample.request_id();
        out.violate(INNOCENT, request, "answered as quarantined");
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

/// Share of the searches that were answered whole and in time.
pub fn whole<'a>(searches: impl IntoIterator<Item = &'a Search>) -> f64 {
    let (mut whole, mut all) = (0.0, 0.0_f64);
    for search in searches {
        all += 1.0;
        whole += f64::from(u8::from(search.is_whole()));
    }
    whole / all.max(1.0)
}
