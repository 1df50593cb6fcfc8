//! Properties over the same seeds in every run.
//!
//! quickcheck draws new values each time, so a property that holds for all but
//! one seed in a thousand passes today and fails tomorrow, in whichever change
//! happens to be tested then. Set [`VARIABLE`] to a number to try other seeds;
//! one that fails is kept in its test.

use std::env;

/// Environment variable with another start for the values drawn.
pub(crate) const VARIABLE: &str = "GERANIUMGAUGE_SEED";

/// Size of quickcheck's values, its own default.
const SIZE: usize = 100;

/// A checker whose values follow from [`VARIABLE`], or are always the same.
pub(crate) fn checker() -> quickcheck::QuickCheck {
    let seed = env::var(VARIABLE).ok().and_then(|text| text.parse().ok());
    let values = quickcheck::Gen::from_size_and_seed(SIZE, seed.unwrap_or(0));
    quickcheck::QuickCheck::new().rng(values)
}
