//! HTTP routes for callers: searches, registrations and their records.

use crate::http::body;
use crate::http::head;
use crate::http::reply;
use crate::ids;
use crate::ledger;
use crate::query;

/// Default of a search's `limit`.
const DEFAULT_LIMIT: u32 = 10;

/// JSON body of a search request.
#[derive(Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    query: Box<serde_json::value::RawValue>,
    limit: Option<u32>,
    shards: Option<Vec<ids::Shard>>,
}

/// Returns the routes to mount.
pub(super) fn routes() -> Vec<rocket::Route> {
    rocket::routes![search, register, record]
}

/// Returns the error catchers to register.
pub(super) fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![handle_error]
}

#[rocket::post("/v1/services/<service>/search", data = "<data>")]
async fn search(
    service: &str,
    data: rocket::Data<'_>,
    head: head::Head,
    context: &rocket::State<head::Context>,
) -> reply::Reply {
    let answer = match read_search(service, data, &head, context).await {
        Ok(search) => context.backend.search(search).await,
        Err(refusal) => Err(refusal),
    };
    to_reply(answer, &head, context)
}

#[rocket::post("/v1/services/<service>/records", data = "<data>")]
async fn register(
    service: &str,
    data: rocket::Data<'_>,
    head: head::Head,
    context: &rocket::State<head::Context>,
) -> reply::Reply {
    let done = match read_record(service, data, &head, context).await {
        Ok(registration) => context.backend.register(registration).await,
        Err(refusal) => Err(refusal),
    };
    to_reply(done, &head, context)
}

#[rocket::get("/v1/services/<service>/records/<key>")]
async fn record(
    service: &str,
    key: &str,
    head: head::Head,
    context: &rocket::State<head::Context>,
) -> reply::Reply {
    let parsed = head
        .admit()
        .and_then(|_| head.start())
        .and_then(|()| Ok((parse_id(service)?, parse_id(key)?)));
    let state = match parsed {
        Ok((service, key)) => context.backend.key_status(service, key).await,
        Err(refusal) => Err(refusal),
    };
    to_reply(state, &head, context)
}

/// Answers requests that rocket refuses, such as unknown paths and wrong methods,
/// and requests whose handler panicked. Rocket catches such a panic, so that other
/// requests are not affected.
#[rocket::catch(default)]
fn handle_error(status: rocket::http::Status, request: &rocket::Request<'_>) -> reply::Reply {
    let (code, ran) = match status.code {
        404 | 405 => (query::Code::NotFound, query::Ran::No),
        413 => (query::Code::TooLarge, query::Ran::No),
        500.. => (query::Code::Internal, query::Ran::Unknown),
        _ => (query::Code::BadRequest, query::Ran::No),
    };
    let message = match code {
        query::Code::NotFound => format!(
            "no path {} {}; callers use POST /v1/services/{{service}}/search and .../records",
            request.method(),
            request.uri().path(),
        ),
        query::Code::Internal => "internal error; other requests are not affected".to_owned(),
        _ => format!("invalid request: {status}"),
    };
    let refusal = query::Refusal {
        code,
        message,
        ran,
        retry_after: None,
    };
    match request.rocket().state::<head::Context>() {
        Some(context) => reply::Reply::refusal(&refusal, &context.backend.request_id()),
        None => reply::Reply::text(status.code, refusal.message),
    }
}

fn to_reply(
    answer: Result<impl serde::Serialize, query::Refusal>,
    head: &head::Head,
    context: &head::Context,
) -> reply::Reply {
    let reply = match &answer {
        Ok(answer) => reply::Reply::json(answer, &head.request),
        Err(refusal) => {
            log_refusal(refusal, head);
            reply::Reply::refusal(refusal, &head.request)
        }
    };
    reply.closing(context.gate.is_stopping())
}

fn log_refusal(refusal: &query::Refusal, head: &head::Head) {
    let caller = head
        .headers
        .as_ref()
        .ok()
        .and_then(|headers| headers.caller_id.as_deref());
    log::info!(
        target: "callers",
        request = head.request.as_str(),
        caller_request = caller.unwrap_or("-"),
        code:% = refusal.code,
        ran:% = refusal.ran;
        "refused: {}", refusal.message
    );
}

async fn read_search(
    service: &str,
    data: rocket::Data<'_>,
    head: &head::Head,
    context: &head::Context,
) -> Result<query::Search, query::Refusal> {
    let headers = head.admit()?;
    let service = parse_id(service)?;
    let bytes = body::read(data, headers.body_len, context).await?;
    head.start()?;
    let body: Body =
        serde_json::from_slice(&bytes).map_err(|error| bad_request(format!("body: {error}")))?;
    let size = body.query.get().len() as u64;
    if size > context.limits.query.0 {
        let max = context.limits.query.0;
        let message = format!("body: query: {size} bytes; send at most {max}");
        return Err(query::Refusal::not_run(query::Code::TooLarge, message));
    }
    let limit = body.limit.unwrap_or(DEFAULT_LIMIT);
    if !(1..=context.limits.hits).contains(&limit) {
        let max = context.limits.hits;
        return Err(bad_request(format!(
            "body: limit: {limit} is out of range; ask for 1 to {max} hits"
        )));
    }
    if body.shards.as_ref().is_some_and(Vec::is_empty) {
        return Err(bad_request(
            "body: shards: the list is empty; name at least one shard or omit it".to_owned(),
        ));
    }
    Ok(query::Search {
        request: head.request.clone(),
        service,
        query: body.query,
        limit,
        shards: body.shards,
        time_left: headers.time_left,
    })
}

async fn read_record(
    service: &str,
    data: rocket::Data<'_>,
    head: &head::Head,
    context: &head::Context,
) -> Result<ledger::Registration, query::Refusal> {
    let headers = head.admit()?;
    let service = parse_id(service)?;
    let missing = || {
        let name = head::IDEMPOTENCY_KEY;
        bad_request(format!(
            "header {name} is missing; send a key that identifies this registration"
        ))
    };
    let key = headers.key.clone().ok_or_else(missing)?;
    let bytes = body::read(data, headers.body_len, context).await?;
    head.start()?;
    let parsed = serde_json::from_slice::<&serde_json::value::RawValue>(&bytes);
    parsed.map_err(|error| bad_request(format!("body: {error}")))?;
    Ok(ledger::Registration {
        request: head.request.clone(),
        service,
        key,
        body: bytes,
        time_left: headers.time_left,
    })
}

fn parse_id<T: std::str::FromStr<Err = ids::Error>>(text: &str) -> Result<T, query::Refusal> {
    text.parse()
        .map_err(|error| bad_request(format!("path: {error}")))
}

fn bad_request(message: String) -> query::Refusal {
    query::Refusal::not_run(query::Code::BadRequest, message)
}
