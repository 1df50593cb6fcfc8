//! Metrics of one VM: an OpenTelemetry meter whose figures `/metrics` shows.
//!
//! Labels must come from small fixed sets (service, reason, kind), never from
//! requests, keys or fingerprints: each label value costs memory for ever.

use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

/// Why metrics can't be set up or shown.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("metrics: {reason}")]
pub struct Error {
    reason: String,
}

/// One VM's meter and the registry behind `/metrics`. Several VMs in one
/// process each have their own.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
}

impl Metrics {
    /// An empty registry with its meter.
    ///
    /// # Errors
    /// Where the exporter can't be set up.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let reader = exporter.build().map_err(|error| Error {
            reason: error.to_string(),
        })?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { registry, provider })
    }

    /// The meter from which each duty makes its own instruments.
    pub fn meter(&self) -> metrics::Meter {
        self.provider.meter("geraniumgauge")
    }

    /// The figures in the Prometheus text format.
    ///
    /// # Errors
    /// Where the figures can't be encoded.
    pub fn text(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        let encoded = prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.map_err(|error| Error {
            reason: error.to_string(),
        })?;
        String::from_utf8(text).map_err(|error| Error {
            reason: error.to_string(),
        })
    }
}
