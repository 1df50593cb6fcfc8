//! Output formats: tables, durations and JSON.

use std::time;

/// comfy-table preset that draws only a line below the header.
const HEADER_LINE_PRESET: &str = "     ──            ";

/// Formats `rows` as a table with a header.
pub(crate) fn table(headers: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(HEADER_LINE_PRESET);
    table.set_header(headers.iter().copied());
    table.add_rows(rows);
    let lines: Vec<_> = table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}

/// Formats a duration in one unit.
pub(crate) fn duration(duration: time::Duration) -> String {
    const MINUTE_S: u64 = 60;
    const HOUR_S: u64 = 60 * MINUTE_S;
    const DAY_S: u64 = 24 * HOUR_S;
    match duration.as_secs() {
        seconds if seconds < 2 * MINUTE_S => format!("{seconds} s"),
        seconds if seconds < 2 * HOUR_S => format!("{} min", seconds / MINUTE_S),
        seconds if seconds < 2 * DAY_S => format!("{} h", seconds / HOUR_S),
        seconds => format!("{} days", seconds / DAY_S),
    }
}

/// Formats `value` as indented JSON.
pub(crate) fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
