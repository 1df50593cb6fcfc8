//! Resource usage of this process and its VMs, read from /proc and `/metrics`.

use std::collections;
use std::fs;
use std::time;

use crate::measure::outcome;
use crate::site;

/// Size of the memory pages that statm counts.
const PAGE_BYTES: f64 = 4096.0;

/// Median, minimum and maximum of several samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Spread {
    pub(super) median: f64,
    pub(super) min: f64,
    pub(super) max: f64,
}

impl Spread {
    /// Returns the spread of `values`; all zeros if there are none.
    pub(super) fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        Self {
            median: at(values.len() / 2),
            min: at(0),
            max: at(values.len().saturating_sub(1)),
        }
    }

    /// Adds the median as figure `name`, the minimum as `{name}_least` and the maximum
    /// as `{name}_most`.
    pub(super) fn set_figure(self, name: &str, out: &mut outcome::Outcome) {
        out.set_figure(name, self.median);
        out.set_figure(format!("{name}_least"), self.min);
        out.set_figure(format!("{name}_most"), self.max);
    }
}

/// Returns the processor time of this process's threads whose names start with
/// `thread_name_prefix`, or of all threads if it is empty. Threads that have ended are missing.
pub(super) fn processor_time(thread_name_prefix: &str) -> time::Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let paths = tasks.filter_map(Result::ok).map(|entry| entry.path());
    let named = paths.filter(|path| {
        let comm = fs::read_to_string(path.join("comm"));
        comm.is_ok_and(|comm| comm.starts_with(thread_name_prefix))
    });
    let nanos = named.filter_map(|path| {
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<u64>().ok()
    });
    time::Duration::from_nanos(nanos.sum())
}

/// Returns the processor time spent since [`processor_time`] returned `time_before` for the
/// same threads. It is a lower bound, as the time of threads that have ended since is
/// missing; it is never below zero.
pub(super) fn processor_time_since(
    thread_name_prefix: &str,
    time_before: time::Duration,
) -> time::Duration {
    processor_time(thread_name_prefix).saturating_sub(time_before)
}

/// Returns the resident memory of this process in bytes.
pub(super) fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Reads one VM's `/metrics`, with each metric summed over its labels and named without
/// the suffix `_total`. Empty if the VM doesn't answer.
pub(super) async fn metrics(vm: &site::RunningVm) -> collections::BTreeMap<String, f64> {
    let url = format!("http://{}/metrics", vm.operators_address());
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

/// Returns the sum of one metric over all `vms`.
pub(super) async fn metric_sum(vms: &[site::RunningVm], name: &str) -> f64 {
    let all_metrics = futures_util::future::join_all(vms.iter().map(metrics)).await;
    all_metrics
        .iter()
        .filter_map(|metrics| metrics.get(name))
        .sum()
}
