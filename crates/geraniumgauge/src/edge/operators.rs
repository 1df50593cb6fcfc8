//! Readiness and metrics over HTTP.

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

/// Largest request here; probes have a head of a few lines.
const LIMIT: rate::Bytes = rate::Bytes(8 << 10);
/// Longest time for a request to come or an answer to be read.
const TIME: time::Duration = time::Duration::from_secs(30);

/// Answers probes: 200 on `/readyz` while requests are served, on `/healthz`
/// while the process runs; the figures on `/metrics`.
#[derive(Debug, Clone)]
pub struct Operators {
    engine: edge::Engine,
    metrics: metrics::Metrics,
}

impl Operators {
    /// Answers for `engine`.
    pub fn new(engine: edge::Engine, metrics: metrics::Metrics) -> Self {
        Self { engine, metrics }
    }

    /// Listens on `address` until the process ends.
    ///
    /// # Errors
    /// Where the address can't be listened on.
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
                        tokio::time::sleep(server::ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Ok(())
    }

    async fn serve(self, mut stream: tokio::net::TcpStream) {
        let mut codec = h1::RequestCodec::new(*self.engine.names(), LIMIT, LIMIT);
        let mut buffer = bytes::BytesMut::new();
        loop {
            let request = match codec.decode(&mut buffer) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let read = tokio::time::timeout(TIME, stream.read_buf(&mut buffer)).await;
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
            let written = tokio::time::timeout(TIME, write).await;
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
                    log::warn!(error:% = error; "metrics can't be shown");
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
