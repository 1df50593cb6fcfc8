//! Reads JSON with comments into values that remember their place.
