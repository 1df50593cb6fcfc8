//! A small HTTP server with a say over each connection.
//!
//! Rocket hides connections, and the faults that matter most live there: a
//! connection that goes silent, one that breaks while a request runs, a limit
//! on how many there are. So the stand-ins use hyper, which rocket is built on.

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

/// Largest request body read, in bytes.
const MAX_BODY: usize = 4 << 20;

/// A request with its body read.
pub type Request = hyper::Request<Bytes>;
/// An answer.
pub type Response = hyper::Response<http_body_util::Full<Bytes>>;

/// What becomes of a request.
#[derive(Debug)]
pub enum Reply {
    /// It is answered.
    Answer(Response),
    /// It is never answered, and its connection stays open.
    Silence,
    /// Its connection is closed without an answer.
    Close,
}

/// Decides about connections and requests.
#[async_trait::async_trait]
pub trait Handler: Send + Sync + 'static {
    /// What a connection carries from its start to its end.
    type Connection: Send + Sync + 'static;

    /// Takes a new connection, or none to close it at once.
    async fn connect(&self) -> Option<Self::Connection>;

    /// Answers one request.
    async fn answer(&self, connection: &Self::Connection, request: Request) -> Reply;
}

/// Binds `address`, retrying for a while: the port may still be held by the
/// life before a restart.
///
/// # Errors
/// Where the address can't be bound.
pub async fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    const TRIES: u32 = 50;
    const PAUSE: time::Duration = time::Duration::from_millis(20);
    for _ in 1..TRIES {
        if let Ok(listener) = tokio::net::TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(PAUSE).await;
    }
    tokio::net::TcpListener::bind(address).await
}

/// Serves until `stop` is cancelled; then every connection is dropped at once.
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
    let limited = http_body_util::Limited::new(body, MAX_BODY);
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

/// A text answer.
pub fn text(status: u16, body: impl Into<String>) -> Response {
    build(status, "text/plain", Bytes::from(body.into()))
}

/// A JSON answer.
pub fn json(status: u16, body: &impl serde::Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => build(status, "application/json", Bytes::from(body)),
        Err(error) => text(500, error.to_string()),
    }
}

/// An answer of any kind.
pub fn build(status: u16, kind: &'static str, body: Bytes) -> Response {
    let mut response = hyper::Response::new(http_body_util::Full::new(body));
    let code = hyper::StatusCode::from_u16(status);
    *response.status_mut() = code.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let kind = hyper::header::HeaderValue::from_static(kind);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Sets a header; a value that can't be one is left out.
pub fn set(response: &mut Response, name: &'static str, value: impl ToString) {
    if let Ok(value) = value.to_string().parse() {
        response.headers_mut().insert(name, value);
    }
}

/// A header of the request as the type wanted.
pub fn header<T: std::str::FromStr>(request: &Request, name: &str) -> Option<T> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// A value of the request's query string, percent-decoded where needed.
pub fn query(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = found.find(|(key, _)| *key == name)?;
    Some(decode(value))
}

/// Undoes percent-encoding; what isn't encoded stays as it is.
pub fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
