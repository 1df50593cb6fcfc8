//! HTTP routes for operators: liveness, readiness and metrics.

use crate::http::head;
use crate::http::reply;

/// Returns the routes to mount.
pub(super) fn routes() -> Vec<rocket::Route> {
    rocket::routes![healthz, readyz, metrics]
}

/// Returns the error catchers to register.
pub(super) fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![handle_error]
}

#[rocket::get("/healthz")]
fn healthz() -> reply::Reply {
    reply::Reply::text(200, "ok\n")
}

#[rocket::get("/readyz")]
fn readyz(context: &rocket::State<head::Context>) -> reply::Reply {
    match context.backend.unready_reason() {
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
fn handle_error(status: rocket::http::Status, _: &rocket::Request<'_>) -> reply::Reply {
    reply::Reply::text(
        status.code,
        "operators' paths: /healthz, /readyz, /metrics\n",
    )
}
