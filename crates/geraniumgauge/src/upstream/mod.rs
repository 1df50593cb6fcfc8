//! The adapter to upstream servers: the only module that knows their HTTP.

/// Header with the id of one call; the reply echoes it.
pub const REQUEST_ID: &str = "Request-Id";
/// Header with the time left, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// Header with the index version, asked for and echoed.
pub const INDEX_VERSION: &str = "Index-Version";
/// Header with the layout's version, asked for and echoed.
pub const LAYOUT_VERSION: &str = "Layout-Version";
/// Reply header with the shard that was searched.
pub const SHARD: &str = "Shard";
/// Reply header with the oldest index version still offered.
pub const INDEX_OLDEST: &str = "Index-Oldest";
/// Reply header with the newest index version offered.
pub const INDEX_NEWEST: &str = "Index-Newest";
/// Header with the caller's idempotency key, for the upstream's own records.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
