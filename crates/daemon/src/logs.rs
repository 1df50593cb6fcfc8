//! Logs as JSON lines.
//!
//! One line a record: `time` (RFC 3339, UTC, milliseconds), `level`, `vm`,
//! `target`, `message`, and the record's key-values beside them. A request's id
//! goes in by log's key-value syntax, under the key `request`:
//! `log::warn!(request = id.as_str(); "shard call lost")`. A key-value with
//! the name of a fixed field is written as `kv.{name}`.

use std::collections;
use std::io;
use std::time;

use log::kv;

use crate::settings;

/// Why logging can't start.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub(crate) enum Error {
    /// The file can't be opened.
    #[display("log.file {file} can't be opened: {reason}; give a path that this user may write")]
    File {
        /// Its path.
        file: String,
        /// What the system said.
        reason: io::Error,
    },
    /// Logging was set up before in this process.
    #[display("logging is set up already")]
    Twice,
}

#[derive(serde::Serialize)]
struct Line<'r> {
    time: String,
    level: &'static str,
    vm: &'r str,
    target: &'r str,
    message: String,
    #[serde(flatten)]
    rest: collections::BTreeMap<String, String>,
}

const FIXED: [&str; 5] = ["time", "level", "vm", "target", "message"];

/// Starts logging as `settings` say.
///
/// # Errors
/// Where the file can't be opened or logging is set up already.
pub(crate) fn init(settings: &settings::Settings) -> Result<(), Error> {
    let vm = settings.vm.to_string();
    let dispatch = fern::Dispatch::new()
        .level(settings.log.level)
        .level_for("rocket", settings.log.level.min(log::LevelFilter::Warn))
        .level_for("hyper", settings.log.level.min(log::LevelFilter::Warn))
        .format(move |out, message, record| {
            let line = format(&vm, time::SystemTime::now(), &message.to_string(), record);
            out.finish(format_args!("{line}"));
        });
    let dispatch = match &settings.log.file {
        None => dispatch.chain(io::stderr()),
        Some(file) => dispatch.chain(fern::log_file(file).map_err(|reason| Error::File {
            file: file.display().to_string(),
            reason,
        })?),
    };
    dispatch.apply().map_err(|_| Error::Twice)
}

fn format(vm: &str, now: time::SystemTime, message: &str, record: &log::Record<'_>) -> String {
    let mut pairs = Pairs::default();
    // Visiting a record's own pairs can't fail; `Pairs` returns no error.
    let _ = record.key_values().visit(&mut pairs);
    let line = Line {
        time: humantime::format_rfc3339_millis(now).to_string(),
        level: record.level().as_str(),
        vm,
        target: record.target(),
        message: message.to_owned(),
        rest: pairs.0,
    };
    serde_json::to_string(&line).unwrap_or_default()
}

#[derive(Default)]
struct Pairs(collections::BTreeMap<String, String>);

impl<'kvs> kv::VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let taken = FIXED.contains(&key.as_str());
        let key = if taken {
            format!("kv.{key}")
        } else {
            key.to_string()
        };
        self.0.insert(key, value.to_string());
        Ok(())
    }
}

#[cfg(test)]
#[path = "tests/logs.rs"]
mod tests;
