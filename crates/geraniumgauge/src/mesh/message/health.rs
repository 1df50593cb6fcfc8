//! Messages about whether upstreams answer their homes.

/// Asks a home when upstreams last answered it. A home that takes one of them as down
/// checks it at once.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Inquiry {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// When the coordinator asked, in microseconds of its own monotonic clock; echoed.
    #[prost(uint64, tag = "2")]
    pub asked_us: u64,
    /// The upstreams.
    #[prost(string, repeated, tag = "3")]
    pub upstreams: Vec<String>,
}

/// Answers an [`Inquiry`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Report {
    /// See [`Inquiry::service`].
    #[prost(string, tag = "1")]
    pub service: String,
    /// See [`Inquiry::asked_us`].
    #[prost(uint64, tag = "2")]
    pub asked_us: u64,
    /// The upstreams that have answered this home.
    #[prost(message, repeated, tag = "3")]
    pub answered: Vec<Answered>,
}

/// When an upstream last answered.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Answered {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Time since the home sent the latest call or health check that the upstream has
    /// answered, in microseconds.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
}
