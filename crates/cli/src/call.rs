//! One call of the command: what a verb gets of the command line.

use std::env;

use geraniumgauge::ids;
use geraniumgauge::metrics;
use geraniumgauge::store;
use geraniumgauge::time;

use crate::failure;

/// Names the store where `--store` isn't given.
pub(crate) const STORE: &str = "GERANIUMGAUGE_STORE";

/// One call of the command, read by its verb.
pub(crate) struct Call {
    pub(crate) arguments: Vec<String>,
    pub(crate) flags: Vec<(&'static str, String)>,
    pub(crate) store: Option<String>,
    /// The verb's help text, for errors of usage.
    pub(crate) help: String,
}

impl Call {
    /// The argument at `index`; the verb's table says how many there are.
    pub(crate) fn argument(&self, index: usize) -> &str {
        self.arguments.get(index).map_or("", String::as_str)
    }

    /// The service that the first argument names.
    pub(crate) fn service(&self) -> Result<ids::Service, failure::Failure> {
        let parsed = self.argument(0).parse::<ids::Service>();
        parsed.map_err(|error| self.usage(error))
    }

    /// Whether a switch is given.
    pub(crate) fn has(&self, flag: &str) -> bool {
        self.flags.iter().any(|(name, _)| *name == flag)
    }

    /// The value of a flag, where it is given.
    pub(crate) fn value<T>(&self, flag: &str) -> Result<Option<T>, failure::Failure>
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        let given = self.flags.iter().find(|(name, _)| *name == flag);
        let parsed = given.map(|(_, value)| value.parse()).transpose();
        parsed.map_err(|error: T::Err| self.usage(format!("{flag}: {error}")))
    }

    /// A usage error of this verb.
    pub(crate) fn usage(&self, message: impl std::fmt::Display) -> failure::Failure {
        failure::Failure::Usage {
            message: message.to_string(),
            usage: self.help.clone(),
        }
    }

    /// A client of the store that `--store` or the environment names.
    pub(crate) fn store(&self) -> Result<store::Client, failure::Failure> {
        let url = self.store.clone().or_else(|| env::var(STORE).ok());
        let url = url.ok_or_else(|| {
            self.usage(format!(
                "name the platform's object API by --store URL or {STORE}"
            ))
        })?;
        let failed = |error: String| failure::Failure::Refused(error);
        let meter = metrics::Metrics::new().map_err(|error| failed(error.to_string()))?;
        Ok(store::Client::new(
            url,
            time::Clock::start(),
            &meter.meter(),
        )?)
    }
}
