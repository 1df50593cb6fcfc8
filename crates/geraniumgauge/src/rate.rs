//! Rates, shares and sizes as distinct types.

use std::str;

use crate::time;

/// A text or number that isn't a valid rate, share or size.
#[derive(Debug, Clone, PartialEq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{text:?} is no {kind}; {remedy}")]
pub struct Error {
    kind: &'static str,
    text: String,
    remedy: &'static str,
}

/// A share from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{_0}")]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// Returns a share, or `None` if `value` isn't between 0 and 1.
    pub fn new(value: f64) -> Option<Self> {
        (0.0..=1.0).contains(&value).then_some(Self(value))
    }

    /// Returns the share `percent` / 100, at most 1. For constants.
    pub const fn percent(percent: u8) -> Self {
        let capped = if percent > 100 { 100 } else { percent };
        Self(capped as f64 / 100.0)
    }

    /// Returns the share as a number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;
    fn try_from(value: f64) -> Result<Self, Error> {
        let remedy = "give a number from 0 to 1";
        Self::new(value).ok_or(Error {
            kind: "share",
            text: value.to_string(),
            remedy,
        })
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl str::FromStr for Share {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let remedy = "give a number from 0 to 1";
        let value = text.parse().ok().and_then(Self::new);
        value.ok_or_else(|| Error {
            kind: "share",
            text: text.to_owned(),
            remedy,
        })
    }
}

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{_0} B")]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl str::FromStr for Bytes {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_suffix("B").unwrap_or(text).trim_end();
        let remedy = "give a whole number of bytes, such as 65536";
        let value = digits.parse().map(Self);
        value.map_err(|_| Error {
            kind: "size",
            text: text.to_owned(),
            remedy,
        })
    }
}

/// Bytes per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{_0} B/s")]
#[serde(transparent)]
pub struct BytesPerSecond(pub f64);

impl BytesPerSecond {
    /// Converts from megabits per second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits * 125_000.0)
    }

    /// Converts to megabits per second.
    pub fn to_megabits(self) -> f64 {
        self.0 / 125_000.0
    }
}

impl str::FromStr for BytesPerSecond {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.strip_suffix("B/s").unwrap_or(text).trim_end();
        let value = number.parse().ok().filter(|rate: &f64| *rate > 0.0);
        value.map(Self).ok_or_else(|| Error {
            kind: "rate",
            text: text.to_owned(),
            remedy: "give a number of bytes per second above zero, such as 1750000",
        })
    }
}

/// Events per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{_0}/s")]
#[serde(transparent)]
pub struct PerSecond(pub f64);

impl str::FromStr for PerSecond {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let remedy = "give a number per second of 0 or more, such as 20/s";
        let value = digits
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0);
        value.map(Self).ok_or_else(|| Error {
            kind: "rate",
            text: text.to_owned(),
            remedy,
        })
    }
}

/// Limits hedges and retries to a share of the first attempts.
///
/// Each first attempt adds `share` of a token; each hedge or retry costs one token.
/// Without a limit, slow or refusing upstreams would cause a retry storm: the worse
/// they do, the more calls they get. The cap bounds the burst after idle time. It
/// doesn't depend on the request rate, and the budget starts full, so that a service
/// of a few requests a minute can hedge too.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    cap: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget that earns `share` tokens per first attempt and holds at
    /// most `cap`.
    pub fn new(share: Share, cap: f64) -> Self {
        Self {
            share: share.get(),
            cap,
            tokens: cap,
        }
    }

    /// Changes share and cap; tokens above the new cap are dropped.
    pub fn set(&mut self, share: Share, cap: f64) {
        self.share = share.get();
        self.cap = cap;
        self.tokens = self.tokens.min(cap);
    }

    /// Adds the tokens for `count` first attempts.
    pub fn earn(&mut self, count: usize) {
        self.tokens = (self.tokens + self.share * count as f64).min(self.cap);
    }

    /// Takes one token; false if there is none.
    pub fn spend(&mut self) -> bool {
        let paid = self.tokens >= 1.0;
        if paid {
            self.tokens -= 1.0;
        }
        paid
    }

    /// Returns the number of tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// A token bucket that allows `rate` per second in the long run and `burst` at once.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: PerSecond,
    burst: f64,
    tokens: f64,
    updated: time::Moment,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: PerSecond, burst: f64, now: time::Moment) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            updated: now,
        }
    }

    /// Changes rate and burst. Tokens stay, up to the new burst, so that frequent
    /// changes don't refill the bucket.
    pub fn resize(&mut self, rate: PerSecond, burst: f64, now: time::Moment) {
        self.take(0.0, now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes `count` tokens; false, and takes none, if there are fewer.
    pub fn take(&mut self, count: f64, now: time::Moment) -> bool {
        let gained = now.since(self.updated).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.updated = self.updated.max(now);
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

#[cfg(test)]
#[path = "tests/rate.rs"]
mod tests;
