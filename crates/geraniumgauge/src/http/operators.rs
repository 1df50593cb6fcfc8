//! Operators' paths: is it alive, should it get requests, what are its figures.

use crate::http::head;
use crate::http::reply;

/// The paths, for rocket.
pub(super) fn routes() -> Vec<rocket::Route> {
    rocket::routes![healthz, readyz, metrics]
}

/// The catchers, for rocket.
pub(super) fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![caught]
}

#[rocket::get("/healthz")]
fn healthz() -> reply::Reply {
    reply::Reply::text(200, "ok\n")
}

#[rocket::get("/readyz")]
fn readyz(context: &rocket::State<head::Context>) -> reply::Reply {
    match context.backend.unready() {
        None => reply::Reply::text(200, "ready\n"),
        Some(reason) => reply::Reply::text(503, format!("not ready: {reason}\n")),
    }
}

#[rocket::get("/metrics")]
fn metrics(context: &rocket::State<head::Context>) -> reply::Reply {
    match context.backend.metrics() {
        Ok(text) => reply::Reply::text(200, text),
        Err(error) => reply::Reply::text(500, format!("{error}\n")),
    }
}

#[rocket::catch(default)]
fn caught(status: rocket::http::Status, _: &rocket::Request<'_>) -> reply::Reply {
    reply::Reply::text(
        status.code,
        "operators' paths: /healthz, /readyz, /metrics\n",
    )
}
