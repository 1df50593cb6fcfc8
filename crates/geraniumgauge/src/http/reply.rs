//! HTTP responses for answers and refusals.

use std::io;

use rocket::http;
use rocket::response;

use crate::ids;
use crate::query;

/// An HTTP response: status, body and the headers `Retry-After` and `Connection`.
#[derive(Debug)]
pub(super) struct Reply {
    status: u16,
    body: Vec<u8>,
    kind: http::ContentType,
    retry_after_s: Option<u64>,
    close: bool,
}

#[derive(serde::Serialize)]
struct Refused<'a> {
    error: Error<'a>,
    request_id: &'a ids::Request,
}

#[derive(serde::Serialize)]
struct Error<'a> {
    code: query::Code,
    message: &'a str,
    ran: query::Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Reply {
    /// Returns a response with a JSON body and status 200.
    pub(super) fn json(body: &impl serde::Serialize, request: &ids::Request) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self::new(200, body, http::ContentType::JSON),
            Err(error) => {
                let message = format!("cannot serialize the answer: {error}");
                Self::refusal(
                    &query::Refusal::unknown(query::Code::Internal, message),
                    request,
                )
            }
        }
    }

    /// Returns a response that reports a refusal.
    pub(super) fn refusal(refusal: &query::Refusal, request: &ids::Request) -> Self {
        let millis = refusal.retry_after.map(|delay| delay.as_millis());
        let error = Error {
            code: refusal.code,
            message: &refusal.message,
            ran: refusal.ran,
            retry_after_ms: millis.and_then(|millis| u64::try_from(millis).ok()),
        };
        let body = serde_json::to_vec(&Refused {
            error,
            request_id: request,
        });
        let mut reply = Self::new(
            refusal.code.status(),
            body.unwrap_or_default(),
            http::ContentType::JSON,
        );
        reply.retry_after_s = refusal
            .retry_after
            .map(|delay| delay.as_secs_f64().ceil() as u64);
        reply
    }

    /// Returns a response with a plain-text body.
    pub(super) fn text(status: u16, body: impl Into<String>) -> Self {
        Self::new(status, body.into().into_bytes(), http::ContentType::Plain)
    }

    /// Sets whether the response asks the caller to close its connection.
    pub(super) fn closing(self, close: bool) -> Self {
        Self { close, ..self }
    }

    fn new(status: u16, body: Vec<u8>, kind: http::ContentType) -> Self {
        Self {
            status,
            body,
            kind,
            retry_after_s: None,
            close: false,
        }
    }
}

impl<'r> response::Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> response::Result<'static> {
        let mut response = rocket::Response::build();
        response
            .status(http::Status::new(self.status))
            .header(self.kind);
        response.sized_body(self.body.len(), io::Cursor::new(self.body));
        if let Some(seconds) = self.retry_after_s {
            response.raw_header("Retry-After", seconds.max(1).to_string());
        }
        if self.close {
            response.raw_header("Connection", "close");
        }
        response.ok()
    }
}
