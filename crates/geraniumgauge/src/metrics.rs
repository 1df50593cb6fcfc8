//! Metrics of a VM: an OpenTelemetry meter whose values `/metrics` exports.
//!
//! Label values must come from small fixed sets (service, reason, kind), never from
//! requests, keys or fingerprints: each one occupies memory until the VM stops.

use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

/// Failure to set up or export metrics.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("metrics: {reason}")]
pub struct Error {
    reason: String,
}

/// Meter of a VM and the registry behind `/metrics`. Each VM in a process has its own.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
}

impl Metrics {
    /// Returns an empty registry with its meter.
    ///
    /// # Errors
    /// When the exporter can't be set up.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let reader = exporter.build().map_err(|error| Error {
            reason: error.to_string(),
        })?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter from which each component creates its instruments.
    pub fn meter(&self) -> metrics::Meter {
        self.provider.meter("geraniumgauge")
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    /// When the metrics can't be encoded.
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
