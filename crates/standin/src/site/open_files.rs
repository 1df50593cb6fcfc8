//! The process's open files. A site in one process holds both ends of each connection,
//! so it can reach the limit that the system sets.

use std::fmt;
use std::fs;

/// Share of the limit from which new connections are likely to have failed, in percent.
const EXHAUSTED_PERCENT: u64 = 95;

/// The number of files, sockets included, that this process has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenFiles {
    /// Number of open files; `None` if counting them took one more than the limit.
    pub open: Option<u64>,
    /// Maximum number of open files; `None` if there is no limit.
    pub limit: Option<u64>,
}

impl OpenFiles {
    /// Counts the open files of this process.
    pub fn count() -> Self {
        let entries = fs::read_dir("/proc/self/fd");
        Self {
            open: entries.ok().map(|entries| entries.count() as u64),
            limit: rustix::process::getrlimit(rustix::process::Resource::Nofile).current,
        }
    }

    /// Returns whether so many files are open that connections can't be opened.
    pub fn is_exhausted(&self) -> bool {
        let Some(limit) = self.limit else {
            return false;
        };
        self.open
            .is_none_or(|open| open * 100 >= limit * EXHAUSTED_PERCENT)
    }
}

impl fmt::Display for OpenFiles {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.open, self.limit) {
            (Some(open), Some(limit)) => write!(out, "{open} of {limit} files are open")?,
            (None, Some(limit)) => write!(out, "all {limit} files are open")?,
            (Some(open), None) => write!(out, "{open} files are open")?,
            (None, None) => write!(out, "the open files can't be counted")?,
        }
        if self.is_exhausted() {
            write!(
                out,
                ": connections fail; start a site with fewer upstreams or connections, \
                 or raise the limit"
            )?;
        }
        Ok(())
    }
}
