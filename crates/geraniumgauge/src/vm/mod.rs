//! One VM: every duty, wired.
