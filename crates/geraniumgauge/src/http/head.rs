//! Parsing and validation of a caller's request headers.

use std::time;

use rocket::request;

use crate::http;
use crate::ids;
use crate::memory;
use crate::query;

/// Header with the time within which the caller needs the answer, in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: &str = "Request-Timeout-Ms";
/// Header with the key that identifies a registration.
pub(super) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Header with the caller's own request id, which is logged in addition to ours.
const REQUEST_ID: &str = "Request-Id";
/// Largest `Request-Timeout-Ms`: a day. The maximum of a service is lower.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;

/// Request guard: the request's id, its admission and its headers.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) request: ids::Request,
    /// `None` when the limit of concurrent requests was reached.
    pub(super) permit: Option<http::gate::Permit>,
    pub(super) headers: Result<Headers, query::Refusal>,
}

/// Validated values of the headers; `None` for those that the caller did not send.
#[derive(Debug, Clone)]
pub(super) struct Headers {
    /// Value of `Request-Timeout-Ms`.
    pub(super) time_left: Option<time::Duration>,
    /// Value of `Idempotency-Key`.
    pub(super) key: Option<ids::Key>,
    /// Value of `Request-Id`.
    pub(super) caller_id: Option<String>,
    /// Value of `Content-Length`.
    pub(super) body_len: Option<usize>,
}

/// State shared by all request handlers.
pub(super) struct Context {
    pub(super) backend: http::Shared,
    pub(super) gate: http::Gate,
    pub(super) limits: http::Limits,
    /// What bodies take up memory from.
    pub(super) budget: memory::Budget,
}

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Head {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r rocket::Request<'_>) -> request::Outcome<Self, Self::Error> {
        let Some(context) = request.rocket().state::<Context>() else {
            return request::Outcome::Forward(rocket::http::Status::InternalServerError);
        };
        let head = Self {
            request: context.backend.request_id(),
            permit: context.gate.enter(),
            headers: read(request.headers(), &context.limits),
        };
        request::Outcome::Success(head)
    }
}

impl Head {
    /// Returns the headers, or the refusal if the request was not admitted or its
    /// headers are invalid.
    pub(super) fn admit(&self) -> Result<&Headers, query::Refusal> {
        if self.permit.is_none() {
            return Err(overloaded("this VM runs its maximum number of requests"));
        }
        self.headers.as_ref().map_err(Clone::clone)
    }

    /// Starts to run the request, which has been received.
    pub(super) fn start(&self) -> Result<(), query::Refusal> {
        let started = self.permit.as_ref().is_some_and(http::gate::Permit::start);
        let refusal = || overloaded("this VM runs its maximum number of requests");
        started.then_some(()).ok_or_else(refusal)
    }
}

/// Returns the refusal of a request that this VM has no room for.
pub(super) fn overloaded(cause: &str) -> query::Refusal {
    let message = format!("{cause}; retry later");
    let refusal = query::Refusal::not_run(query::Code::Overloaded, message);
    refusal.retry_after(time::Duration::from_secs(1))
}

fn read(
    headers: &rocket::http::HeaderMap<'_>,
    limits: &http::Limits,
) -> Result<Headers, query::Refusal> {
    let size: usize = headers
        .iter()
        .map(|h| h.name().as_str().len() + h.value().len() + 4)
        .sum();
    if size as u64 > limits.headers.0 {
        let message = format!(
            "the headers have {size} bytes; send at most {}",
            limits.headers.0
        );
        return Err(query::Refusal::not_run(query::Code::TooLarge, message));
    }
    let time_left = headers
        .get_one(REQUEST_TIMEOUT_MS)
        .map(parse_timeout)
        .transpose()?;
    let key = headers
        .get_one(IDEMPOTENCY_KEY)
        .map(parse_key)
        .transpose()?;
    let caller_id = headers.get_one(REQUEST_ID).map(ToOwned::to_owned);
    let body_len = headers.get_one("Content-Length");
    Ok(Headers {
        time_left,
        key,
        caller_id,
        body_len: body_len.and_then(|len| len.parse().ok()),
    })
}

fn parse_timeout(text: &str) -> Result<time::Duration, query::Refusal> {
    let millis = text
        .trim()
        .parse()
        .ok()
        .filter(|millis| (1..=MAX_TIMEOUT_MS).contains(millis));
    let invalid = || {
        let message = format!(
            "header {REQUEST_TIMEOUT_MS}: {text:?} is not a timeout; \
             give whole milliseconds from 1 to {MAX_TIMEOUT_MS}"
        );
        query::Refusal::not_run(query::Code::BadRequest, message)
    };
    millis.map(time::Duration::from_millis).ok_or_else(invalid)
}

fn parse_key(text: &str) -> Result<ids::Key, query::Refusal> {
    let invalid = |error| {
        let message = format!("header {IDEMPOTENCY_KEY}: {error}");
        query::Refusal::not_run(query::Code::BadRequest, message)
    };
    text.parse().map_err(invalid)
}
