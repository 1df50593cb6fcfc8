//! The age of an idempotency key, and where its claim is kept.
//!
//! A claim can be forgotten only when no repeat of its key will be run. A key
//! that carries its time is refused by that time, so its claim may go after the
//! window. Two forms carry one: a UUID of version 7, and `t` with 13 digits of
//! milliseconds since the Unix epoch and a separator, as in
//! `t1764719093000-lot-7`. Any other key has no known age: its hash is kept for
//! good (16 bytes), its result for the window.

use crate::ids;
use crate::time;

/// Buckets of a service. Writes to the store grow with buckets, not with
/// claims, so there is one: 54 services that are all busy then share the store's
/// writes by 54. One bucket's VM takes thousands of claims a second, and when it
/// is lost, entries claim by themselves. Changing it needs an empty ledger: keys
/// would be looked for elsewhere.
pub const SLOTS: u64 = 1;

/// Digits of the time in a `t…` key: milliseconds, until the year 2286.
const DIGITS: usize = 13;

/// The bucket of a key.
#[expect(clippy::modulo_one, reason = "the count may be raised")]
pub fn slot(key: &ids::Key) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key.as_str().as_bytes()) % SLOTS
}

/// Store key of a bucket's head.
pub fn head(service: &ids::Service, slot: u64) -> String {
    format!("ledger/{service}/head-{slot}")
}

/// What stays of a key that was forgotten.
pub(super) fn hash(key: &ids::Key) -> u128 {
    xxhash_rust::xxh3::xxh3_128(key.as_str().as_bytes())
}

/// The time that a key carries.
pub fn time(key: &ids::Key) -> Option<time::Wall> {
    let text = key.as_str();
    uuid_time(text).or_else(|| prefix_time(text))
}

fn prefix_time(text: &str) -> Option<time::Wall> {
    let rest = text.strip_prefix('t')?;
    let digits = rest.get(..DIGITS)?;
    let separator = rest[DIGITS..].chars().next()?;
    let plain = digits.bytes().all(|byte| byte.is_ascii_digit());
    let whole = plain && !separator.is_ascii_alphanumeric();
    whole.then(|| digits.parse().ok().map(time::Wall)).flatten()
}

fn uuid_time(text: &str) -> Option<time::Wall> {
    let mut parts = text.split('-');
    let lengths = [8, 4, 4, 4, 12];
    let hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
    let fits = lengths.iter().all(|len| {
        parts
            .next()
            .is_some_and(|part| part.len() == *len && hex(part))
    });
    if !fits || parts.next().is_some() || text.as_bytes().get(14) != Some(&b'7') {
        return None;
    }
    let digits = format!("{}{}", text.get(..8)?, text.get(9..13)?);
    u64::from_str_radix(&digits, 16).ok().map(time::Wall)
}

#[cfg(test)]
#[path = "tests/key.rs"]
mod tests;
