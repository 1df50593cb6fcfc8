//! `burn SERVICE`.

use std::fs;

use geraniumgauge::slo;
use geraniumgauge::time;

use crate::call;
use crate::failure;
use crate::status;
use crate::table;

/// Prints the burn report, or writes it as a page or a plot.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let service = call.service()?;
    let output = call.value::<String>("--output")?;
    let draw = output
        .as_deref()
        .map(|file| drawing(&call, file))
        .transpose()?;
    let store = call.store()?;
    let now = time::Clock::start().wall();
    status::known(&store, &service).await?;
    let report = slo::report(&store, &service, now).await?;
    if let (Some(file), Some(draw)) = (output, draw) {
        let drawn = draw(&report).map_err(|error| failure::Failure::Refused(error.to_string()))?;
        fs::write(&file, drawn).map_err(|error| {
            failure::Failure::Refused(format!("{file} can't be written: {error}; check the path"))
        })?;
        println!("{file} is written");
        return Ok(());
    }
    if call.has("--json") {
        println!("{}", table::json(&report));
    } else {
        println!("{}", text(&report));
    }
    Ok(())
}

type Draw = fn(&slo::Report) -> Result<String, slo::PageError>;

fn drawing(call: &call::Call, file: &str) -> Result<Draw, failure::Failure> {
    match file.rsplit('.').next() {
        Some("html") => Ok(slo::page),
        Some("svg") => Ok(slo::plot),
        _ => Err(call.usage(format!(
            "--output {file}: give a name that ends in .html or .svg"
        ))),
    }
}

/// The report as a person reads it.
fn text(report: &slo::Report) -> String {
    let mut heads = vec!["objective", "target"];
    heads.extend(slo::WINDOWS.map(|(name, _)| name));
    heads.push("budget left");
    let rows = report.indicators.iter().map(row).collect();
    let mut lines = vec![
        format!(
            "{}: burn rates; 1 spends exactly the budget",
            report.service
        ),
        table::table(&heads, rows),
    ];
    if report.generation.0 == 0 {
        lines.push("no accepted document: the objectives are defaults".to_owned());
    }
    let fast = report.indicators.iter().filter(|indicator| indicator.fast);
    lines.extend(fast.map(|indicator| {
        format!(
            "{} burns fast: over {} times the budget's rate in 5 min and 1 h; look now",
            indicator.name,
            slo::FAST_BURN_RATE
        )
    }));
    lines.push(missing(report));
    lines.join("\n")
}

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

fn missing(report: &slo::Report) -> String {
    if report.missing.is_empty() {
        return "no shard was missing in 3 days".to_owned();
    }
    let parts: Vec<_> = report
        .missing
        .iter()
        .map(|one| format!("{} {} ({:.0} %)", one.reason, one.shards, one.part * 100.0))
        .collect();
    format!("missing shards in 3 days, by reason: {}", parts.join(", "))
}

#[cfg(test)]
#[path = "tests/burn.rs"]
mod tests;
