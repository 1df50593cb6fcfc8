//! Tables and ages as people read them.

use std::time;

/// comfy-table's codes for nothing but a line below the heads.
const HEAD_LINE: &str = "     ──            ";

/// A table under `heads`.
pub(crate) fn table(heads: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(HEAD_LINE);
    table.set_header(heads.iter().copied());
    table.add_rows(rows);
    let lines: Vec<_> = table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}

/// How long ago something was, in one unit.
pub(crate) fn age(span: time::Duration) -> String {
    const MINUTE: u64 = 60;
    const HOUR: u64 = 60 * MINUTE;
    const DAY: u64 = 24 * HOUR;
    match span.as_secs() {
        seconds if seconds < 2 * MINUTE => format!("{seconds} s"),
        seconds if seconds < 2 * HOUR => format!("{} min", seconds / MINUTE),
        seconds if seconds < 2 * DAY => format!("{} h", seconds / HOUR),
        seconds => format!("{} days", seconds / DAY),
    }
}

/// JSON for other programs.
pub(crate) fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
