//! Requests that crash upstreams.
