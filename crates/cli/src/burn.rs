//! The verb `burn SERVICE`.

use std::fs;

use geraniumgauge::slo;
use geraniumgauge::time;

use crate::failure;
use crate::invocation;
use crate::status;
use crate::table;

/// Prints the burn report, or writes it as a page or a plot.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let service = invocation.service()?;
    let output = invocation.value::<String>("--output")?;
    let render = output
        .as_deref()
        .map(|file| renderer(&invocation, file))
        .transpose()?;
    let store = invocation.store()?;
    let now = time::Clock::start().wall();
    status::require_accepted(&store, &service).await?;
    let report = slo::report(&store, &service, now).await?;
    if let (Some(file), Some(render)) = (output, render) {
        let rendered =
            render(&report).map_err(|error| failure::Failure::Other(error.to_string()))?;
        fs::write(&file, rendered).map_err(|error| {
            failure::Failure::Other(format!("failed to write {file}: {error}; check the path"))
        })?;
        println!("wrote {file}");
        return Ok(());
    }
    if invocation.has("--json") {
        println!("{}", table::json(&report));
    } else {
        println!("{}", text(&report));
    }
    Ok(())
}

type Render = fn(&slo::Report) -> Result<String, slo::PageError>;

/// Returns the renderer for the extension of `file`.
fn renderer(invocation: &invocation::Invocation, file: &str) -> Result<Render, failure::Failure> {
    match file.rsplit('.').next() {
        Some("html") => Ok(slo::page),
        Some("svg") => Ok(slo::plot),
        _ => Err(invocation.usage_error(format!(
            "--output {file}: unknown extension; give a name that ends in .html or .svg"
        ))),
    }
}

/// Formats the report for the terminal.
fn text(report: &slo::Report) -> String {
    let mut headers = vec!["objective", "target"];
    headers.extend(slo::WINDOWS.map(|(name, _)| name));
    headers.push("budget left");
    let rows = report.indicators.iter().map(row).collect();
    let mut lines = vec![
        format!(
            "{}: burn rates (share of bad events divided by the share that the objective \
             allows); a constant rate of 1 uses up exactly the error budget",
            report.service
        ),
        table::table(&headers, rows),
    ];
    if report.generation.0 == 0 {
        lines.push("no accepted document: the objectives are the defaults".to_owned());
    }
    let fast = report.indicators.iter().filter(|indicator| indicator.fast);
    lines.extend(fast.map(|indicator| {
        format!(
            "{}: burn rate of at least {} both in the last 5 min and in the last hour; act now",
            indicator.name,
            slo::FAST_BURN_RATE
        )
    }));
    lines.push(missing_shards(report));
    lines.join("\n")
}

/// Formats one indicator as a row of the table.
fn row(indicator: &slo::Indicator) -> Vec<String> {
    let mut row = vec![indicator.name.to_owned(), indicator.objective.to_string()];
    row.extend(
        indicator
            .windows
            .iter()
            .map(|window| format!("{:.2} ({}/{})", window.burn, window.bad, window.total)),
    );
    row.push(format!("{:.1} %", indicator.budget_left * 100.0));
    row
}

fn missing_shards(report: &slo::Report) -> String {
    if report.missing.is_empty() {
        return "no shard was missing in 3 days".to_owned();
    }
    let parts: Vec<_> = report
        .missing
        .iter()
        .map(|missing| {
            format!(
                "{} {} ({:.0} %)",
                missing.reason,
                missing.shards,
                missing.part * 100.0
            )
        })
        .collect();
    format!("missing shards in 3 days, by reason: {}", parts.join(", "))
}

#[cfg(test)]
#[path = "tests/burn.rs"]
mod tests;
