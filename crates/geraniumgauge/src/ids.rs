//! Identifiers as distinct types, so that they can't be mixed up.
//!
//! Text identifiers are limited to [`MAX_IDENTIFIER_BYTES`] bytes of `[A-Za-z0-9._:-]`, since
//! they become parts of store keys, URLs and log lines.

use std::fmt;
use std::str;
use std::sync;

/// Maximum length of a text identifier, in bytes.
pub const MAX_IDENTIFIER_BYTES: usize = 128;

/// Why a text isn't a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The text is empty.
    #[display("{kind} is empty; give 1 to {MAX_IDENTIFIER_BYTES} characters")]
    Empty {
        /// The kind of identifier that was parsed.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_IDENTIFIER_BYTES`] bytes.
    #[display("{kind} has {len} bytes; give at most {MAX_IDENTIFIER_BYTES}")]
    Long {
        /// The kind of identifier that was parsed.
        kind: &'static str,
        /// The text's length, in bytes.
        len: usize,
    },
    /// The text contains a character outside the allowed set.
    #[display("{kind} holds {found:?} at byte {at}; use letters, digits and . _ : -")]
    Character {
        /// The kind of identifier that was parsed.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
        /// Its byte offset.
        at: usize,
    },
    /// The text of a numeric identifier isn't a number.
    #[display("{kind} {text:?} is no whole number from 0 to 18446744073709551615")]
    Number {
        /// The kind of identifier that was parsed.
        kind: &'static str,
        /// The text that was parsed.
        text: String,
    },
}

fn check(kind: &'static str, text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty { kind });
    }
    if text.len() > MAX_IDENTIFIER_BYTES {
        return Err(Error::Long {
            kind,
            len: text.len(),
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.char_indices().find(|(_, c)| !allowed(*c)) {
        Some((at, found)) => Err(Error::Character { kind, found, at }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = Error;
            fn from_str(text: &str) -> Result<Self, Error> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;
            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl str::FromStr for $name {
            type Err = Error;
            fn from_str(text: &str) -> Result<Self, Error> {
                let number = text.parse();
                number.map(Self).map_err(|_| Error::Number { kind: $kind, text: text.to_owned() })
            }
        }
    };
}

text_id!(
    /// A service: a search of one team over one set of shards.
    Service, "service"
);
text_id!(
    /// A team: the owner of services and of their documents.
    Team, "team"
);
text_id!(
    /// One shard of a service's indexes.
    Shard, "shard"
);
text_id!(
    /// An upstream server process, which serves one replica of one or more shards.
    Upstream, "upstream"
);
text_id!(
    /// A VM of this system. At most one running process has a given name; its
    /// [`Incarnation`] distinguishes restarts.
    Vm, "vm"
);
text_id!(
    /// A data centre that VMs or upstreams run in.
    DataCentre, "data centre"
);
text_id!(
    /// A caller's request. Each retry by the caller has an id of its own.
    Request, "request id"
);
text_id!(
    /// The `Idempotency-Key` that a caller gives for a registration.
    Key, "idempotency key"
);

number_id!(
    /// One call to one upstream on behalf of one request. Unique, and never reused,
    /// within the VM process that issues it.
    Attempt, "attempt"
);
number_id!(
    /// A hash of a request's content, equal when a caller sends the request again.
    Fingerprint, "fingerprint"
);
number_id!(
    /// Distinguishes restarts of the same VM; higher is later. Milliseconds since the
    /// Unix epoch at the process's start, raised only to exceed the incarnation of an
    /// earlier start whose clock was ahead.
    Incarnation, "incarnation"
);
number_id!(
    /// The number of a service's accepted document; higher is later.
    Generation, "generation"
);
number_id!(
    /// The version of an index, assigned by the upstreams; higher is later.
    IndexVersion, "index version"
);
number_id!(
    /// The version of a service's layout; higher is later.
    LayoutVersion, "layout version"
);
number_id!(
    /// An object's version in the platform's store; 0 if the object doesn't exist.
    ObjectVersion, "object version"
);
number_id!(
    /// The store's revision, which grows with each write to any object.
    Revision, "revision"
);

impl Fingerprint {
    /// Hashes the parts of a request that are equal when the caller sends it again:
    /// the service and the body, but no ids or deadlines.
    pub fn of(service: &Service, body: &[u8]) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(body, seed))
    }

    /// Hashes the request line and the body of a request that is forwarded unchanged.
    pub fn of_request(line: &[u8], body: &[u8]) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(line);
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(body, seed))
    }
}

#[cfg(test)]
#[path = "tests/ids.rs"]
mod tests;
