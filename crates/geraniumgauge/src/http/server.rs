//! Runs rocket, one instance for callers and one for operators.

use std::net;
use std::time;

use rocket::fairing;

use crate::http;
use crate::http::callers;
use crate::http::head;
use crate::http::operators;

/// Time rocket gives running requests after it stopped listening, in seconds.
/// Requests are over before (see [`http::Gate::idle`]); this is for the last
/// bytes of their answers.
const GRACE_S: u32 = 1;
const MERCY_S: u32 = 1;

/// Why a server can't run.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("can't serve on {address}: {reason}; is another process using it?")]
pub struct Error {
    /// Where it was to listen.
    address: net::SocketAddr,
    /// What rocket said.
    reason: String,
}

/// One rocket instance that listens.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Serves callers.
    ///
    /// # Errors
    /// Where the address can't be had.
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
            });
        Self::launch(address, rocket).await
    }

    /// Serves operators.
    ///
    /// # Errors
    /// Where the address can't be had.
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
            });
        Self::launch(address, rocket).await
    }

    /// Where it listens.
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
        let (told, listening) = tokio::sync::oneshot::channel();
        let told = std::sync::Mutex::new(Some(told));
        let liftoff = fairing::AdHoc::on_liftoff("address", move |rocket| {
            let address = net::SocketAddr::new(rocket.config().address, rocket.config().port);
            let shutdown = rocket.shutdown();
            let told = told.lock().ok().and_then(|mut told| told.take());
            Box::pin(async move {
                if let Some(told) = told {
                    let _ = told.send((address, shutdown));
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
                        log::warn!(target: "http", "server on {address} ended: {error}");
                    }
                });
                Ok(Self { address, shutdown, task })
            }
            ended = &mut launched => match ended {
                Ok(Err(error)) => Err(failed(error.to_string())),
                _ => Err(failed("it ended at once".to_owned())),
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
    config.keep_alive = u32::try_from(time::Duration::from_secs(75).as_secs()).unwrap_or(75);
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config.shutdown.grace = GRACE_S;
    config.shutdown.mercy = MERCY_S;
    config
}
