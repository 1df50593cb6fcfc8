//! x
fn main() {}
