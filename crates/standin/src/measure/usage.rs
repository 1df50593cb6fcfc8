//! What this process and its VMs spend, read from /proc and from `/metrics`.

use std::collections;
use std::fs;
use std::time;

use crate::measure::outcome;
use crate::site;

/// Bytes of a page of memory, as statm counts.
const PAGE: f64 = 4096.0;

/// Middle, least and most of several runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Spread {
    pub(super) median: f64,
    pub(super) least: f64,
    pub(super) most: f64,
}

impl Spread {
    /// Of `values`; zeros where there are none.
    pub(super) fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |place: usize| values.get(place).copied().unwrap_or(0.0);
        Self {
            median: at(values.len() / 2),
            least: at(0),
            most: at(values.len().saturating_sub(1)),
        }
    }

    /// Adds the median under `name`, the others under `name` with an ending.
    pub(super) fn figure(self, name: &str, out: &mut outcome::Outcome) {
        out.figure(name, self.median);
        out.figure(format!("{name}_least"), self.least);
        out.figure(format!("{name}_most"), self.most);
    }
}

/// Processor time of this process's threads whose names start with `name`,
/// all where it's empty. Threads that have ended don't count.
pub(super) fn processor(name: &str) -> time::Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let paths = tasks.filter_map(Result::ok).map(|entry| entry.path());
    let named = paths.filter(|path| {
        let comm = fs::read_to_string(path.join("comm"));
        comm.is_ok_and(|comm| comm.starts_with(name))
    });
    let nanos = named.filter_map(|path| {
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<u64>().ok()
    });
    time::Duration::from_nanos(nanos.sum())
}

/// Processor time since `earlier` was read. Threads that ended meanwhile take
/// theirs along, so it's a lower bound, and never below zero.
pub(super) fn processor_since(name: &str, earlier: time::Duration) -> time::Duration {
    processor(name).saturating_sub(earlier)
}

/// Resident memory of this process, in bytes.
pub(super) fn memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// The figures of one VM's `/metrics`, labels summed up.
pub(super) async fn metrics(node: &site::Node) -> collections::BTreeMap<String, f64> {
    let url = format!("http://{}/metrics", node.operators());
    let mut sums = collections::BTreeMap::new();
    let Ok(response) = reqwest::get(url).await else {
        return sums;
    };
    let text = response.text().await.unwrap_or_default();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let name = name.split('{').next().unwrap_or(name);
        let name = name.strip_suffix("_total").unwrap_or(name);
        let value: f64 = value.parse().unwrap_or(0.0);
        *sums.entry(name.to_owned()).or_insert(0.0) += value;
    }
    sums
}

/// The sum of one figure over VMs.
pub(super) async fn sum(nodes: &[site::Node], name: &str) -> f64 {
    let all = futures_util::future::join_all(nodes.iter().map(metrics)).await;
    all.iter().filter_map(|figures| figures.get(name)).sum()
}
