//! Logs as JSON lines.
//!
//! Each record is one line with the fields `time` (RFC 3339, UTC, milliseconds),
//! `level`, `vm`, `build` (the sources' version), `target` and `message`, and one field for each of the record's
//! key-values. The id of a request is the key-value `request`, as in
//! `log::warn!(request = id.as_str(); "shard call lost")`. A key-value with the name
//! of a fixed field is written as `kv.{name}`.

mod bounded;

pub use bounded::BoundedSink;

/// Identifies the sources that this program was built from.
pub const SOURCES_VERSION: &str = env!("SOURCES_VERSION");

use std::collections;
use std::time;

use log::kv;

#[derive(serde::Serialize)]
struct Line<'r> {
    time: String,
    level: &'static str,
    vm: &'r str,
    build: &'static str,
    target: &'r str,
    message: String,
    #[serde(flatten)]
    rest: collections::BTreeMap<String, String>,
}

/// Names of the fields that every line has.
const FIXED_FIELDS: [&str; 6] = ["time", "level", "vm", "build", "target", "message"];

/// Returns the log line of VM `vm` for `record`, whose formatted text is `message`.
pub fn format(vm: &str, now: time::SystemTime, message: &str, record: &log::Record<'_>) -> String {
    let mut pairs = Pairs::default();
    // The visit can't fail, since `Pairs` returns no error.
    let _ = record.key_values().visit(&mut pairs);
    let line = Line {
        time: humantime::format_rfc3339_millis(now).to_string(),
        level: record.level().as_str(),
        vm,
        build: SOURCES_VERSION,
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
        let is_fixed = FIXED_FIELDS.contains(&key.as_str());
        let key = if is_fixed {
            format!("kv.{key}")
        } else {
            key.to_string()
        };
        self.0.insert(key, value.to_string());
        Ok(())
    }
}

#[cfg(test)]
mod tests;
