//! Runs a site's upstreams in one process, and writes the layouts and documents of its
//! services to the store of a platform in another process.

use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::metrics;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time::Clock;

use crate::site;

/// Reasons why a site's upstreams can't be started.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// An upstream can't listen.
    #[display("an upstream can't listen: {_0}")]
    Listen(std::io::Error),
    /// The layouts or documents can't be published to the platform's store.
    #[display("can't publish layouts and documents: {_0}")]
    Store(store::Error),
    /// The metrics of the store's client can't be set up.
    #[display("can't set up the store's client: {_0}")]
    Metrics(metrics::Error),
}

/// Starts a site's upstreams and writes its layouts to the platform's store, and its
/// documents unless the store already has them.
///
/// # Errors
/// If an upstream can't listen or the store fails.
pub async fn start_upstreams(
    site: site::Preset,
    platform_url: &str,
    data_centres: usize,
    first_port: Option<u16>,
) -> Result<Vec<site::Service>, Error> {
    let meter = metrics::Metrics::new()?.meter();
    let store = store::Client::new(platform_url.to_owned(), Clock::start(), &meter)?;
    let mut services = Vec::new();
    let mut port = first_port;
    for (number, spec) in site.services().into_iter().enumerate() {
        let mut service = site::Service::start(spec, data_centres, number as u64, port).await?;
        service.layout.version = next_version(&store, service.id()).await?;
        let ports_used = u16::try_from(service.upstreams.len()).unwrap_or(u16::MAX);
        port = port.map(|port| port.saturating_add(ports_used));
        for (key, body) in service.objects() {
            put(&store, &key, body).await?;
        }
        services.push(service);
    }
    Ok(services)
}

/// Returns one more than the stored layout's version, because VMs apply a layout only if
/// its version is higher than that of their own.
async fn next_version(
    store: &store::Client,
    service: &ids::Service,
) -> Result<ids::LayoutVersion, store::Error> {
    let stored = match store.get(&layout::key(service)).await {
        Ok(object) => serde_json::from_slice::<layout::Layout>(&object.body).ok(),
        Err(store::Error::Missing { .. }) => None,
        Err(error) => return Err(error),
    };
    Ok(ids::LayoutVersion(
        stored.map_or(1, |layout| layout.version.0 + 1),
    ))
}

/// Writes an object: a layout always, a document only if there is none.
async fn put(store: &store::Client, key: &str, body: bytes::Bytes) -> Result<(), store::Error> {
    let is_layout = key.starts_with("layouts/");
    let condition = if is_layout {
        store::Condition::Any
    } else {
        store::Condition::Absent
    };
    match store.put(key, body, condition).await {
        Ok(_) | Err(store::Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
