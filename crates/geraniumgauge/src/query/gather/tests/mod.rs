//! Searches against a fake of everything around them.

mod failures;
mod properties;
mod world;
