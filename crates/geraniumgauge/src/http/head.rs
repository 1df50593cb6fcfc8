//! A request's headers, checked.

use std::time;

use rocket::request;

use crate::http;
use crate::ids;
use crate::query;

/// Header with the time the caller gives the answer, in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: &str = "Request-Timeout-Ms";
/// Header that names a registration.
pub(super) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The caller's own id; it is logged beside ours.
const REQUEST_ID: &str = "Request-Id";
/// Longest `Request-Timeout-Ms`: a day. The service's own maximum is less.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;

/// The headers that matter, or what is wrong with them.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) request: ids::Request,
    pub(super) entered: Option<http::gate::Entered>,
    pub(super) headers: Result<Headers, query::Refusal>,
}

/// Checked headers.
#[derive(Debug, Clone)]
pub(super) struct Headers {
    pub(super) time_left: Option<time::Duration>,
    pub(super) key: Option<ids::Key>,
    pub(super) caller_id: Option<String>,
}

/// What every handler shares.
pub(super) struct Context {
    pub(super) backend: http::Shared,
    pub(super) gate: http::Gate,
    pub(super) limits: http::Limits,
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
            entered: context.gate.enter(),
            headers: read(request.headers(), &context.limits),
        };
        request::Outcome::Success(head)
    }
}

impl Head {
    /// The headers, once the request is let in.
    pub(super) fn admit(&self) -> Result<&Headers, query::Refusal> {
        if self.entered.is_none() {
            let message = "this VM runs as many requests as it may; come back later";
            let refusal = query::Refusal::not_run(query::Code::Overloaded, message);
            return Err(refusal.retry_after(time::Duration::from_secs(1)));
        }
        self.headers.as_ref().map_err(Clone::clone)
    }
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
        .map(timeout)
        .transpose()?;
    let key = headers.get_one(IDEMPOTENCY_KEY).map(key).transpose()?;
    let caller_id = headers.get_one(REQUEST_ID).map(ToOwned::to_owned);
    Ok(Headers {
        time_left,
        key,
        caller_id,
    })
}

fn timeout(text: &str) -> Result<time::Duration, query::Refusal> {
    let millis = text
        .trim()
        .parse()
        .ok()
        .filter(|millis| (1..=MAX_TIMEOUT_MS).contains(millis));
    let wrong = || {
        let message = format!(
            "header {REQUEST_TIMEOUT_MS}: {text:?} is no time; \
             give whole milliseconds from 1 to {MAX_TIMEOUT_MS}"
        );
        query::Refusal::not_run(query::Code::BadRequest, message)
    };
    millis.map(time::Duration::from_millis).ok_or_else(wrong)
}

fn key(text: &str) -> Result<ids::Key, query::Refusal> {
    let wrong = |error| {
        let message = format!("header {IDEMPOTENCY_KEY}: {error}");
        query::Refusal::not_run(query::Code::BadRequest, message)
    };
    text.parse().map_err(wrong)
}
