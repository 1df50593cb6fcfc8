//! A small HTTP server that gives its handler control of each connection.
//!
//! Rocket hides connections, but the most important faults affect them: a connection that
//! goes silent, one that breaks while a request runs, a limit on their number. So the
//! stand-ins use hyper, which rocket is built on.

use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::server::conn::http1;
use hyper_util::rt;
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body; larger ones are refused with 413.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A request with its complete body.
pub type Request = hyper::Request<Bytes>;
/// A response with its complete body.
pub type Response = hyper::Response<http_body_util::Full<Bytes>>;

/// How the server reacts to a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends the response.
    Answer(Response),
    /// Sends nothing and leaves the connection open.
    Silence,
    /// Closes the connection without a response.
    Close,
}

/// Accepts connections and answers requests.
#[async_trait::async_trait]
pub trait Handler: Send + Sync + 'static {
    /// State of a connection, dropped when the connection ends.
    type Connection: Send + Sync + 'static;

    /// Accepts a new connection, or returns `None` to close it at once.
    async fn connect(&self) -> Option<Self::Connection>;

    /// Answers a request.
    async fn answer(&self, connection: &Self::Connection, request: Request) -> Reply;
}

/// Binds `address`, retrying for about a second: after a restart, the previous server may
/// still hold the port.
///
/// # Errors
/// If the address can't be bound.
pub async fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    const MAX_ATTEMPTS: u32 = 50;
    const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
    for _ in 1..MAX_ATTEMPTS {
        if let Ok(listener) = tokio::net::TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    tokio::net::TcpListener::bind(address).await
}

/// Serves until `stop` is cancelled, then drops every connection at once.
pub async fn run<H: Handler>(
    listener: tokio::net::TcpListener,
    handler: sync::Arc<H>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let connection = serve(stream, sync::Arc::clone(&handler), stop.clone());
        tokio::spawn(connection);
    }
}

async fn serve<H: Handler>(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<H>,
    stop: CancellationToken,
) {
    let Some(connection) = handler.connect().await else {
        return;
    };
    let connection = sync::Arc::new(connection);
    let service = hyper::service::service_fn(|request| {
        let handler = sync::Arc::clone(&handler);
        let connection = sync::Arc::clone(&connection);
        async move { answer(handler.as_ref(), connection.as_ref(), request).await }
    });
    let served = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
    tokio::select! {
        _ = served => {}
        () = stop.cancelled() => {}
    }
}

async fn answer<H: Handler>(
    handler: &H,
    connection: &H::Connection,
    request: hyper::Request<body::Incoming>,
) -> Result<Response, io::Error> {
    let (head, body) = request.into_parts();
    let limited = http_body_util::Limited::new(body, MAX_BODY_BYTES);
    let Ok(body) = limited.collect().await else {
        return Ok(text(413, "the body is too large"));
    };
    let request = hyper::Request::from_parts(head, body.to_bytes());
    match handler.answer(connection, request).await {
        Reply::Answer(response) => Ok(response),
        Reply::Silence => std::future::pending().await,
        Reply::Close => Err(io::Error::other("closed by a fault")),
    }
}

/// Returns a plain text response.
pub fn text(status: u16, body: impl Into<String>) -> Response {
    response(status, "text/plain", Bytes::from(body.into()))
}

/// Returns a JSON response.
pub fn json(status: u16, body: &impl serde::Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => response(status, "application/json", Bytes::from(body)),
        Err(error) => text(500, error.to_string()),
    }
}

/// Returns a response with the given content type.
pub fn response(status: u16, content_type: &'static str, body: Bytes) -> Response {
    let mut response = hyper::Response::new(http_body_util::Full::new(body));
    let code = hyper::StatusCode::from_u16(status);
    *response.status_mut() = code.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Sets a header; does nothing if the value isn't valid in a header.
pub fn set_header(response: &mut Response, name: &'static str, value: impl ToString) {
    if let Ok(value) = value.to_string().parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Returns a header of the request, or `None` if it is missing or can't be parsed.
pub fn header<T: std::str::FromStr>(request: &Request, name: &str) -> Option<T> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the percent-decoded value of a parameter of the query string.
pub fn query(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = found.find(|(key, _)| *key == name)?;
    Some(decode(value))
}

/// Decodes percent-encoded text; other characters stay as they are.
pub fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
