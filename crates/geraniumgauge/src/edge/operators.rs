//! Readiness, liveness and metrics over HTTP.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::engine;
use crate::edge::places;
use crate::edge::server;
use crate::h1;
use crate::memory;
use crate::metrics;
use crate::rate;

/// Buffer space for each read.
const READ_BUFFER_SIZE: usize = 512;
/// Largest head and largest body of a request. Probes send a few header lines.
const MAX_REQUEST: rate::Bytes = rate::Bytes(8 << 10);
/// Timeout of writing an answer, and of the pause between two requests.
const IO_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time within which a whole request comes.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Maximum number of connections: many more than balancers and collectors of metrics have, so
/// that their requests are read before their connections make room for others.
const MAX_CONNECTIONS: usize = 256;

/// The operators' HTTP server. `/readyz` answers 200 while the VM is ready, `/healthz`
/// always, and `/metrics` with the metrics.
#[derive(Debug, Clone)]
pub struct Operators {
    engine: edge::Engine,
    metrics: metrics::Metrics,
    places: places::Places,
}

impl Operators {
    /// Creates a server for `engine` and `metrics`.
    pub fn new(engine: edge::Engine, metrics: metrics::Metrics) -> Self {
        let overload = engine.places().overload().clone();
        let budget = memory::Budget::unlimited();
        Self {
            engine,
            metrics,
            places: places::Places::new(MAX_CONNECTIONS, budget, overload),
        }
    }

    /// Listens on `address` and serves requests until the process ends.
    ///
    /// # Errors
    /// If listening on the address fails.
    pub async fn start(self, address: net::SocketAddr) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        server::limit_buffers(&listener, self.engine.capacity().socket_buffer);
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        if let Some(place) = self.places.enter() {
                            tokio::task::spawn_local(self.clone().serve(stream, place));
                        }
                    }
                    Err(error) => {
                        log::warn!(error:% = error; "operator's connection not accepted");
                        tokio::time::sleep(server::ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(())
    }

    /// Serves a connection until it ends, or has to make room for others.
    async fn serve(self, stream: tokio::net::TcpStream, place: places::Place) {
        tokio::select! {
            () = self.answer_requests(stream, &place) => {}
            () = place.ended() => {}
        }
    }

    async fn answer_requests(&self, mut stream: tokio::net::TcpStream, place: &places::Place) {
        let mut codec = h1::RequestCodec::new(*self.engine.names(), MAX_REQUEST, MAX_REQUEST);
        let mut buffer = bytes::BytesMut::new();
        let mut until = tokio::time::Instant::now() + REQUEST_TIMEOUT;
        loop {
            let request = match codec.decode(&mut buffer) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    buffer.reserve(READ_BUFFER_SIZE);
                    let read = tokio::time::timeout_at(until, stream.read_buf(&mut buffer)).await;
                    let now = tokio::time::Instant::now();
                    if place.set_stage(places::Stage::Receiving, now) {
                        until = now + REQUEST_TIMEOUT;
                    }
                    if !matches!(read, Ok(Ok(count)) if count > 0) {
                        return;
                    }
                    continue;
                }
                Err(error) => {
                    log::info!(error:% = error; "operator's request refused");
                    return;
                }
            };
            place.set_stage(places::Stage::Answering, tokio::time::Instant::now());
            let answer = self.answer(&request);
            let write = stream.write_all(&answer);
            let written = tokio::time::timeout(IO_TIMEOUT, write).await;
            if request.close || !matches!(written, Ok(Ok(()))) {
                return;
            }
            let now = tokio::time::Instant::now();
            place.set_stage(places::Stage::Idle, now);
            until = now + IO_TIMEOUT;
            // Otherwise many requests sent ahead would delay those of others.
            tokio::task::yield_now().await;
        }
    }

    fn answer(&self, request: &h1::Request) -> Vec<u8> {
        let path = request.path.split('?').next().unwrap_or_default();
        let (status, body) = match path {
            "/readyz" => {
                let ready = self.engine.phase() == engine::Phase::Serving;
                (
                    if ready {
                        "200 OK"
                    } else {
                        "503 Service Unavailable"
                    },
                    String::new(),
                )
            }
            "/healthz" => ("200 OK", String::new()),
            "/metrics" => match self.metrics.text() {
                Ok(text) => ("200 OK", text),
                Err(error) => {
                    log::warn!(error:% = error; "can't encode metrics");
                    ("500 Internal Server Error", String::new())
                }
            },
            _ => ("404 Not Found", String::new()),
        };
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}
