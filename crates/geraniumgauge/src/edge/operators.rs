//! Readiness, liveness and metrics over HTTP.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::engine;
use crate::edge::server;
use crate::h1;
use crate::metrics;
use crate::rate;

/// Largest head and largest body of a request. Probes send a few header lines.
const MAX_REQUEST: rate::Bytes = rate::Bytes(8 << 10);
/// Timeout of each read of a request, and of writing an answer.
const IO_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The operators' HTTP server. `/readyz` answers 200 while the VM is ready, `/healthz`
/// always, and `/metrics` with the metrics.
#[derive(Debug, Clone)]
pub struct Operators {
    engine: edge::Engine,
    metrics: metrics::Metrics,
}

impl Operators {
    /// Creates a server for `engine` and `metrics`.
    pub fn new(engine: edge::Engine, metrics: metrics::Metrics) -> Self {
        Self { engine, metrics }
    }

    /// Listens on `address` and serves requests until the process ends.
    ///
    /// # Errors
    /// If listening on the address fails.
    pub async fn start(self, address: net::SocketAddr) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tokio::task::spawn_local(self.clone().serve(stream));
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

    async fn serve(self, mut stream: tokio::net::TcpStream) {
        let mut codec = h1::RequestCodec::new(*self.engine.names(), MAX_REQUEST, MAX_REQUEST);
        let mut buffer = bytes::BytesMut::new();
        loop {
            let request = match codec.decode(&mut buffer) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let read = tokio::time::timeout(IO_TIMEOUT, stream.read_buf(&mut buffer)).await;
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
            let answer = self.answer(&request);
            let write = stream.write_all(&answer);
            let written = tokio::time::timeout(IO_TIMEOUT, write).await;
            if request.close || !matches!(written, Ok(Ok(()))) {
                return;
            }
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
