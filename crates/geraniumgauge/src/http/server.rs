//! HTTP servers built on rocket, one instance for callers and one for operators.

use std::net;

use rocket::fairing;

use crate::http;
use crate::http::callers;
use crate::http::head;
use crate::http::operators;
use crate::memory;

/// Time in which rocket lets running requests finish after it stopped listening, in
/// seconds. The requests have ended by then (see [`http::Gate::idle`]), but the last
/// bytes of their answers may still have to be sent.
const SHUTDOWN_GRACE_S: u32 = 1;
/// Further time after which rocket closes the remaining connections, in seconds.
const SHUTDOWN_MERCY_S: u32 = 1;
/// Time for which rocket keeps an idle connection open, in seconds.
const KEEP_ALIVE_S: u32 = 75;

/// Failure to start a server.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("can't serve on {address}: {reason}; is another process using it?")]
pub struct Error {
    /// Address on which it should listen.
    address: net::SocketAddr,
    /// Error text of rocket.
    reason: String,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts the server for callers.
    ///
    /// # Errors
    /// When the server can't listen on the address.
    pub async fn callers(
        address: net::SocketAddr,
        backend: http::Shared,
        gate: http::Gate,
        limits: http::Limits,
    ) -> Result<Self, Error> {
        let rocket = rocket::custom(config(address))
            .mount("/", callers::routes())
            .register("/", callers::catchers())
            .manage(head::Context {
                backend,
                gate,
                limits,
                budget: memory::Budget::new(limits.bodies),
            });
        Self::launch(address, rocket).await
    }

    /// Starts the server for operators.
    ///
    /// # Errors
    /// When the server can't listen on the address.
    pub async fn operators(
        address: net::SocketAddr,
        backend: http::Shared,
        gate: http::Gate,
    ) -> Result<Self, Error> {
        let limits = http::Limits::default();
        let rocket = rocket::custom(config(address))
            .mount("/", operators::routes())
            .register("/", operators::catchers())
            .manage(head::Context {
                backend,
                gate,
                limits,
                budget: memory::Budget::new(limits.bodies),
            });
        Self::launch(address, rocket).await
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops listening, lets running requests finish, and returns when all
    /// connections are closed.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }

    async fn launch(
        address: net::SocketAddr,
        rocket: rocket::Rocket<rocket::Build>,
    ) -> Result<Self, Error> {
        let (sender, listening) = tokio::sync::oneshot::channel();
        let sender = std::sync::Mutex::new(Some(sender));
        let liftoff = fairing::AdHoc::on_liftoff("address", move |rocket| {
            let address = net::SocketAddr::new(rocket.config().address, rocket.config().port);
            let shutdown = rocket.shutdown();
            let sender = sender.lock().ok().and_then(|mut sender| sender.take());
            Box::pin(async move {
                if let Some(sender) = sender {
                    let _ = sender.send((address, shutdown));
                }
            })
        });
        let failed = |reason: String| Error { address, reason };
        let rocket = rocket.attach(liftoff).ignite().await;
        let rocket = rocket.map_err(|error| failed(error.to_string()))?;
        let mut launched = tokio::spawn(async move { rocket.launch().await.map(drop) });
        tokio::select! {
            Ok((address, shutdown)) = listening => {
                let task = tokio::spawn(async move {
                    if let Ok(Err(error)) = launched.await {
                        log::warn!(target: "http", "server on {address} failed: {error}");
                    }
                });
                Ok(Self { address, shutdown, task })
            }
            ended = &mut launched => match ended {
                Ok(Err(error)) => Err(failed(error.to_string())),
                _ => Err(failed("the server stopped right after its start".to_owned())),
            },
        }
    }
}

fn config(address: net::SocketAddr) -> rocket::Config {
    let mut config = rocket::Config::release_default();
    config.address = address.ip();
    config.port = address.port();
    config.log_level = rocket::config::LogLevel::Off;
    config.cli_colors = false;
    config.ident = rocket::config::Ident::none();
    config.keep_alive = KEEP_ALIVE_S;
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config.shutdown.grace = SHUTDOWN_GRACE_S;
    config.shutdown.mercy = SHUTDOWN_MERCY_S;
    config
}
