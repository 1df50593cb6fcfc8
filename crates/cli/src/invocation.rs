//! The parsed command line that a verb runs with.

use std::env;

use geraniumgauge::ids;
use geraniumgauge::metrics;
use geraniumgauge::store;
use geraniumgauge::time;

use crate::failure;

/// Environment variable with the store's base URL, used if `--store` isn't given.
pub(crate) const STORE_VARIABLE: &str = "GERANIUMGAUGE_STORE";

/// Arguments and flags of one run of the command.
pub(crate) struct Invocation {
    /// Positional arguments, as many as the verb requires.
    pub(crate) arguments: Vec<String>,
    /// The flags that were given and their values; a switch has an empty value.
    pub(crate) flags: Vec<(&'static str, String)>,
    /// Value of `--store`.
    pub(crate) store: Option<String>,
    /// Help text of the verb, for usage errors.
    pub(crate) help: String,
}

impl Invocation {
    /// Returns the argument at `index`, or an empty string if there is none.
    pub(crate) fn argument(&self, index: usize) -> &str {
        self.arguments.get(index).map_or("", String::as_str)
    }

    /// Parses the first argument as the name of a service.
    pub(crate) fn service(&self) -> Result<ids::Service, failure::Failure> {
        let parsed = self.argument(0).parse::<ids::Service>();
        parsed.map_err(|error| self.usage_error(error))
    }

    /// Reports whether a flag was given.
    pub(crate) fn has(&self, flag: &str) -> bool {
        self.flags.iter().any(|(name, _)| *name == flag)
    }

    /// Parses the value of a flag; `None` if the flag was not given.
    pub(crate) fn value<T>(&self, flag: &str) -> Result<Option<T>, failure::Failure>
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        let given = self.flags.iter().find(|(name, _)| *name == flag);
        let parsed = given.map(|(_, value)| value.parse()).transpose();
        parsed.map_err(|error: T::Err| self.usage_error(format!("{flag}: {error}")))
    }

    /// Returns a usage error with the help text of this verb.
    pub(crate) fn usage_error(&self, message: impl std::fmt::Display) -> failure::Failure {
        failure::Failure::Usage {
            message: message.to_string(),
            usage: self.help.clone(),
        }
    }

    /// Returns a client for the store given by `--store` or by the environment.
    pub(crate) fn store(&self) -> Result<store::Client, failure::Failure> {
        let url = self.store.clone().or_else(|| env::var(STORE_VARIABLE).ok());
        let url = url.ok_or_else(|| {
            self.usage_error(format!(
                "missing URL of the platform's store; give --store URL or set {STORE_VARIABLE}"
            ))
        })?;
        let other = |error: String| failure::Failure::Other(error);
        let metrics = metrics::Metrics::new().map_err(|error| other(error.to_string()))?;
        Ok(store::Client::new(
            url,
            time::Clock::start(),
            &metrics.meter(),
        )?)
    }
}
