//! Logs as JSON lines.
//!
//! One line a record: `time` (RFC 3339, UTC, milliseconds), `level`, `vm`,
//! `target`, `message`, and the record's key-values beside them. A request's id
//! goes in by log's key-value syntax, under the key `request`:
//! `log::warn!(request = id.as_str(); "shard call lost")`. A key-value with
//! the name of a fixed field is written as `kv.{name}`.

mod bounded;

pub use bounded::Bounded;

use std::collections;
use std::time;

use log::kv;

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

/// The line of `record`, whose text is `message`, as VM `vm` writes it.
pub fn format(vm: &str, now: time::SystemTime, message: &str, record: &log::Record<'_>) -> String {
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
mod tests;
