//! The age of an idempotency key, and the bucket that stores its claim.
//!
//! A claim may be deleted only if a repeat of its key can no longer run. A key
//! that contains its creation time is refused once that time is outside the
//! window, so its claim may be deleted then. Two forms contain a time: a UUID of
//! version 7, and `t` with 13 digits of milliseconds since the Unix epoch and a
//! separator, as in `t1764719093000-lot-7`. Any other key has no known age: its
//! hash (16 bytes) is kept forever, its result for the window.

use crate::ids;
use crate::time;

/// Number of buckets of a service.
///
/// The number of store writes grows with the number of buckets and not of claims,
/// since all waiting claims of a bucket are written together. One bucket for each
/// service keeps it lowest: with 54 busy services, 54 buckets share the writes that
/// the store accepts. One bucket is enough, since its VM handles thousands of claims
/// a second, and if that VM fails, the coordinators create the claims on their own.
///
/// Changing the number requires an empty ledger, since keys would map to other
/// buckets.
pub const BUCKETS_PER_SERVICE: u64 = 1;

/// Digits of the time in a `t…` key. 13 digits of milliseconds last until the
/// year 2286.
const TIME_DIGITS: usize = 13;

/// Returns the number of a key's bucket.
#[expect(clippy::modulo_one, reason = "the count may be raised")]
pub fn bucket(key: &ids::Key) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key.as_str().as_bytes()) % BUCKETS_PER_SERVICE
}

/// Returns the store key of the object with a bucket's recent claims and the list of
/// its pages.
pub fn head_key(service: &ids::Service, bucket: u64) -> String {
    format!("ledger/{service}/head-{bucket}")
}

/// Returns the hash of a key, which is kept after its entry is deleted.
pub(super) fn hash(key: &ids::Key) -> u128 {
    xxhash_rust::xxh3::xxh3_128(key.as_str().as_bytes())
}

/// Returns the creation time that a key contains, if any.
pub fn time(key: &ids::Key) -> Option<time::Wall> {
    let text = key.as_str();
    uuid_time(text).or_else(|| prefix_time(text))
}

fn prefix_time(text: &str) -> Option<time::Wall> {
    let rest = text.strip_prefix('t')?;
    let digits = rest.get(..TIME_DIGITS)?;
    let separator = rest[TIME_DIGITS..].chars().next()?;
    let numeric = digits.bytes().all(|byte| byte.is_ascii_digit());
    let valid = numeric && !separator.is_ascii_alphanumeric();
    valid.then(|| digits.parse().ok().map(time::Wall)).flatten()
}

fn uuid_time(text: &str) -> Option<time::Wall> {
    let mut parts = text.split('-');
    let lengths = [8, 4, 4, 4, 12];
    let hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
    let valid = lengths.iter().all(|len| {
        parts
            .next()
            .is_some_and(|part| part.len() == *len && hex(part))
    });
    if !valid || parts.next().is_some() || text.as_bytes().get(14) != Some(&b'7') {
        return None;
    }
    let digits = format!("{}{}", text.get(..8)?, text.get(9..13)?);
    u64::from_str_radix(&digits, 16).ok().map(time::Wall)
}

#[cfg(test)]
#[path = "tests/key.rs"]
mod tests;
