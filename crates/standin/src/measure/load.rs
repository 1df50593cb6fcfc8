//! Load generator: sends searches and registrations through the balancer.

use std::sync;
use std::time;

use geraniumgauge::ids;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::measure::check;
use crate::site;

/// Time after a request's deadline at which the caller stops waiting for the reply.
const REPLY_GRACE_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Client that sends requests to the VMs that the balancer picks. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::Client,
    balancer: sync::Arc<site::Balancer>,
}

/// Result of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// VM that the request was sent to; `None` if no VM was ready.
    pub vm: Option<ids::Vm>,
    /// Time from sending the request to the end of the reply.
    pub took: time::Duration,
    /// Deadline that was sent with the request.
    pub deadline: time::Duration,
    /// Status and body, or why there was no reply.
    pub reply: Result<Reply, Failure>,
}

/// HTTP reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body; `null` if it isn't JSON.
    pub body: serde_json::Value,
}

/// Reason why a request got no reply.
#[derive(Debug, Clone)]
pub enum Failure {
    /// Nothing was sent: no VM was ready, or the connection could not be opened.
    NotSent(String),
    /// The request was sent, but the connection broke or no reply came in time.
    NoReply(String),
}

impl Sample {
    /// Returns the request id in the reply, or `-` if there is none.
    pub fn request_id(&self) -> String {
        let id = self
            .reply
            .as_ref()
            .ok()
            .and_then(|reply| reply.body["request_id"].as_str());
        id.unwrap_or("-").to_owned()
    }

    /// Returns whether the reply has status 200.
    pub fn answered(&self) -> bool {
        self.reply.as_ref().is_ok_and(|reply| reply.status == 200)
    }

    /// Returns whether a refused request ran, `no` or `unknown`; `None` if it wasn't
    /// refused.
    pub fn ran(&self) -> Option<&str> {
        self.reply.as_ref().ok()?.body["error"]["ran"].as_str()
    }
}

impl Caller {
    /// Creates a caller that uses the balancer of `site`.
    ///
    /// # Errors
    /// Returns an error if the HTTP client can't be built.
    pub fn new(site: &site::Site) -> Result<Self, reqwest::Error> {
        Self::with_balancer(sync::Arc::clone(&site.balancer))
    }

    /// Creates a caller that uses `balancer`.
    ///
    /// # Errors
    /// Returns an error if the HTTP client can't be built.
    pub fn with_balancer(balancer: sync::Arc<site::Balancer>) -> Result<Self, reqwest::Error> {
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
        let body = serde_json::json!({ "query": query, "limit": check::HIT_LIMIT });
        self.send(service, "search", None, &body, deadline, None)
            .await
    }

    /// Sends a registration to a random ready VM other than `exclude`.
    pub async fn register(
        &self,
        service: &ids::Service,
        key: &str,
        record: &serde_json::Value,
        deadline: time::Duration,
        exclude: Option<&ids::Vm>,
    ) -> Sample {
        self.send(service, "records", Some(key), record, deadline, exclude)
            .await
    }

    async fn send(
        &self,
        service: &ids::Service,
        kind: &str,
        key: Option<&str>,
        body: &serde_json::Value,
        deadline: time::Duration,
        exclude: Option<&ids::Vm>,
    ) -> Sample {
        let start = tokio::time::Instant::now();
        let Some((vm, address)) = self.balancer.pick(exclude) else {
            let reply = Err(Failure::NotSent("no VM is ready".to_owned()));
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
        let reply = receive(request.timeout(deadline + REPLY_GRACE_PERIOD)).await;
        Sample {
            vm: Some(vm),
            took: start.elapsed(),
            deadline,
            reply,
        }
    }
}

async fn receive(request: reqwest::RequestBuilder) -> Result<Reply, Failure> {
    let response = request
        .send()
        .await
        .map_err(|error| match error.is_connect() {
            true => Failure::NotSent(format!("{error:?}")),
            false => Failure::NoReply(format!("{error:?}")),
        })?;
    let status = response.status().as_u16();
    let body = response
        .bytes()
        .await
        .map_err(|error| Failure::NoReply(format!("{error:?}")))?;
    Ok(Reply {
        status,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

/// Calls `send` at random times for `duration`, on average `rate` times a second,
/// without waiting for earlier calls, then waits for all of them.
pub async fn open_loop<F, T>(
    rate: f64,
    duration: time::Duration,
    seed: u64,
    mut send: impl FnMut(u64) -> F,
) -> Vec<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let start = tokio::time::Instant::now();
    let mut send_at = start;
    let mut tasks = Vec::new();
    while send_at < start + duration {
        tokio::time::sleep_until(send_at).await;
        tasks.push(tokio::spawn(send(tasks.len() as u64)));
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        send_at += time::Duration::from_secs_f64(gap);
    }
    let done = futures_util::future::join_all(tasks).await;
    done.into_iter().filter_map(Result::ok).collect()
}

/// Open-loop load of searches with query texts and a deadline of the scenario's choice.
#[derive(Debug, Clone, Copy)]
pub struct SearchLoad {
    /// Start of each query's text; the seed and a number from 0 to 49 follow.
    pub text: &'static str,
    /// Mean number of searches a second.
    pub rate: f64,
    /// Time for which searches are sent.
    pub duration: time::Duration,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Deadline of each search.
    pub deadline: time::Duration,
}

impl SearchLoad {
    /// Sends the searches, waits for all and returns each query with its sample.
    pub async fn send(
        self,
        caller: Caller,
        service: ids::Service,
    ) -> Vec<(serde_json::Value, Sample)> {
        let Self {
            text,
            rate,
            duration,
            seed,
            deadline,
        } = self;
        open_loop(rate, duration, seed, move |number| {
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
