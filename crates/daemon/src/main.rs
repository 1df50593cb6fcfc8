//! One VM of geraniumgauge.
// Placeholder until the wiring is merged from the lead's branch.
#![allow(dead_code)]

mod fields;
mod logs;
mod settings;

fn main() {}
