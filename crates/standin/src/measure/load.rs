//! A caller: sends searches and registrations through the balancer.

use std::sync;
use std::time;

use geraniumgauge::ids;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::measure::check;
use crate::site;

/// Added to the deadline before a caller gives up on an answer.
const PATIENCE: time::Duration = time::Duration::from_secs(5);

/// Sends requests. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::Client,
    balancer: sync::Arc<site::Balancer>,
}

/// What came back for one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The VM asked; `None` where the balancer had none.
    pub vm: Option<ids::Vm>,
    /// From sending to the whole answer.
    pub took: time::Duration,
    /// The deadline sent.
    pub deadline: time::Duration,
    /// Status and body, or why there is none.
    pub reply: Result<Reply, Lost>,
}

/// An answer over HTTP.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The body, `null` where it is no JSON.
    pub body: serde_json::Value,
}

/// No answer came.
#[derive(Debug, Clone)]
pub enum Lost {
    /// Nothing was sent: no VM was ready or it took no connection.
    Unsent(String),
    /// The connection broke or stayed silent after it was sent.
    Sent(String),
}

impl Sample {
    /// The request's id as the caller was told, `-` where it was told none.
    pub fn request_id(&self) -> String {
        let told = self
            .reply
            .as_ref()
            .ok()
            .and_then(|reply| reply.body["request_id"].as_str());
        told.unwrap_or("-").to_owned()
    }

    /// Whether it is an answer with status 200.
    pub fn answered(&self) -> bool {
        self.reply.as_ref().is_ok_and(|reply| reply.status == 200)
    }

    /// `no` or `unknown` of a refusal.
    pub fn ran(&self) -> Option<&str> {
        self.reply.as_ref().ok()?.body["error"]["ran"].as_str()
    }
}

impl Caller {
    /// A caller of `site`.
    ///
    /// # Errors
    /// Where the HTTP client can't be set up.
    pub fn new(site: &site::Site) -> Result<Self, reqwest::Error> {
        Self::through(sync::Arc::clone(&site.balancer))
    }

    /// A caller through a balancer.
    ///
    /// # Errors
    /// Where the HTTP client can't be set up.
    pub fn through(balancer: sync::Arc<site::Balancer>) -> Result<Self, reqwest::Error> {
        let client = reqwest::Client::builder()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(512)
            .retry(reqwest::retry::never())
            .build()?;
        Ok(Self { client, balancer })
    }

    /// Sends a search.
    pub async fn search(
        &self,
        service: &ids::Service,
        query: &serde_json::Value,
        deadline: time::Duration,
    ) -> Sample {
        let body = serde_json::json!({ "query": query, "limit": check::LIMIT });
        self.send(service, "search", None, &body, deadline, None)
            .await
    }

    /// Sends a registration, to another VM than `but`.
    pub async fn register(
        &self,
        service: &ids::Service,
        key: &str,
        record: &serde_json::Value,
        deadline: time::Duration,
        but: Option<&ids::Vm>,
    ) -> Sample {
        self.send(service, "records", Some(key), record, deadline, but)
            .await
    }

    async fn send(
        &self,
        service: &ids::Service,
        kind: &str,
        key: Option<&str>,
        body: &serde_json::Value,
        deadline: time::Duration,
        but: Option<&ids::Vm>,
    ) -> Sample {
        let start = tokio::time::Instant::now();
        let Some((vm, address)) = self.balancer.pick(but) else {
            let reply = Err(Lost::Unsent("no VM is ready".to_owned()));
            return Sample {
                vm: None,
                took: start.elapsed(),
                deadline,
                reply,
            };
        };
        let url = format!("http://{address}/v1/services/{service}/{kind}");
        let millis = deadline.as_millis().to_string();
        let mut request = self
            .client
            .post(url)
            .header("Request-Timeout-Ms", millis)
            .json(body);
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let reply = receive(request.timeout(deadline + PATIENCE)).await;
        Sample {
            vm: Some(vm),
            took: start.elapsed(),
            deadline,
            reply,
        }
    }
}

async fn receive(request: reqwest::RequestBuilder) -> Result<Reply, Lost> {
    let response = request
        .send()
        .await
        .map_err(|error| match error.is_connect() {
            true => Lost::Unsent(format!("{error:?}")),
            false => Lost::Sent(format!("{error:?}")),
        })?;
    let status = response.status().as_u16();
    let body = response
        .bytes()
        .await
        .map_err(|error| Lost::Sent(format!("{error:?}")))?;
    Ok(Reply {
        status,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

/// Starts `send` at random times, `rate` a second on average, for `span`,
/// whether earlier ones are done or not, and waits for all.
pub async fn open_loop<F, T>(
    rate: f64,
    span: time::Duration,
    seed: u64,
    mut send: impl FnMut(u64) -> F,
) -> Vec<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let start = tokio::time::Instant::now();
    let mut due = start;
    let mut tasks = Vec::new();
    while due < start + span {
        tokio::time::sleep_until(due).await;
        tasks.push(tokio::spawn(send(tasks.len() as u64)));
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        due += time::Duration::from_secs_f64(gap);
    }
    let done = futures_util::future::join_all(tasks).await;
    done.into_iter().filter_map(Result::ok).collect()
}

/// Searches to be sent at random times.
#[derive(Debug, Clone, Copy)]
pub struct Searches {
    /// Starts the text of each query; fifty different ones follow from the seed.
    pub text: &'static str,
    /// Searches a second on average.
    pub rate: f64,
    /// For how long.
    pub span: time::Duration,
    /// Seeds the arrivals.
    pub seed: u64,
    /// Deadline of each.
    pub deadline: time::Duration,
}

impl Searches {
    /// Sends them and waits for all; each with its query.
    pub async fn send(
        self,
        caller: Caller,
        service: ids::Service,
    ) -> Vec<(serde_json::Value, Sample)> {
        let Self {
            text,
            rate,
            span,
            seed,
            deadline,
        } = self;
        open_loop(rate, span, seed, move |number| {
            let (caller, service) = (caller.clone(), service.clone());
            let query = serde_json::json!({ "text": format!("{text} {seed} {}", number % 50) });
            async move {
                let sample = caller.search(&service, &query, deadline).await;
                (query, sample)
            }
        })
        .await
    }
}
