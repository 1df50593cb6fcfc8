//! Tests.
