//! Renders the burn report as SVG and as an HTML page.

use std::fmt::Write as _;

use plotters::prelude as plot;
use plotters::prelude::Color as _;
use plotters::prelude::IntoDrawingArea as _;

use crate::slo;

/// Error in drawing a report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("failed to draw the report: {reason}")]
pub struct Error {
    reason: String,
}

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 360);
/// Highest burn rate that the plot shows.
const MAX_PLOTTED_BURN: f64 = 20.0;
const MILLIS_PER_HOUR: f64 = 3_600_000.0;
const COLOURS: [plot::RGBColor; 4] = [
    plot::RGBColor(0, 90, 160),
    plot::RGBColor(190, 80, 0),
    plot::RGBColor(0, 120, 70),
    plot::RGBColor(130, 60, 140),
];

/// Draws the burn rate of each objective over time as SVG.
///
/// # Errors
/// Fails if the plot can't be drawn.
pub fn plot(report: &slo::Report) -> Result<String, Error> {
    let mut svg = String::new();
    draw(report, &mut svg).map_err(|error| Error {
        reason: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(report: &slo::Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = plot::SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&plot::WHITE)?;
    let lines = lines(report);
    let points = lines.iter().flatten();
    let oldest = points.clone().map(|(hours, _)| *hours).fold(-1.0, f64::min);
    let highest = points.map(|(_, burn)| *burn).fold(2.0, f64::max);
    let mut chart = plot::ChartBuilder::on(&area)
        .caption(
            format!("Burn rate of {}", report.service),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(oldest..0.0, 0.0..highest.min(MAX_PLOTTED_BURN))?;
    chart
        .configure_mesh()
        .x_desc("hours before the report")
        .max_light_lines(0)
        .y_desc("times the allowed rate")
        .draw()?;
    let limit = plot::LineSeries::new([(oldest, 1.0), (0.0, 1.0)], plot::BLACK.mix(0.4));
    chart.draw_series(limit)?;
    let labelled = lines.into_iter().zip(&report.indicators).zip(COLOURS);
    for ((line, indicator), colour) in labelled {
        let style = plot::ShapeStyle::from(colour).stroke_width(2);
        let series = chart.draw_series(plot::LineSeries::new(line, style))?;
        series
            .label(indicator.name)
            .legend(move |(x, y)| plot::PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(plot::WHITE.mix(0.8))
        .border_style(plot::BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the points of each indicator: hours relative to the report, burn rate.
fn lines(report: &slo::Report) -> Vec<Vec<(f64, f64)>> {
    let points = report.series.points();
    let line = |indicator: &slo::Indicator| {
        let burns = points.iter().map(|(start, counts)| {
            let hours = (start.0 as f64 - report.made.0 as f64) / MILLIS_PER_HOUR;
            (hours.min(0.0), indicator.burn(counts).min(MAX_PLOTTED_BURN))
        });
        burns.collect()
    };
    report.indicators.iter().map(line).collect()
}

/// Renders the report as a self-contained HTML page that includes the plot.
///
/// # Errors
/// Fails if the plot can't be drawn.
pub fn page(report: &slo::Report) -> Result<String, Error> {
    let mut rows = String::new();
    for indicator in &report.indicators {
        let _ = writeln!(rows, "{}", row(indicator));
    }
    let heads: String = slo::WINDOWS
        .iter()
        .map(|(name, _)| format!("<th>{name}</th>"))
        .collect();
    let service = &report.service;
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n\
         <title>Burn of {service}</title>\n<style>{STYLE}</style></head>\n<body>\n\
         <h1>{service}</h1>\n<p>Objectives of generation {generation}. A burn rate of 1 spends \
         exactly the budget of the window.</p>\n<table>\n<tr><th>objective</th><th>target</th>\
         {heads}<th>budget left</th></tr>\n{rows}</table>\n{svg}\n<h2>Missing shards by reason, \
         3 days</h2>\n<ul>\n{missing}</ul>\n</body></html>\n",
        generation = report.generation,
        svg = plot(report)?,
        missing = reasons(report),
    ))
}

const STYLE: &str = "body{font-family:sans-serif;max-width:62em;margin:2em auto}\
td,th{padding:.3em .8em;text-align:right}td:first-child,th:first-child{text-align:left}\
.over{color:#a00;font-weight:bold}";

fn row(indicator: &slo::Indicator) -> String {
    let cells: String = indicator
        .windows
        .iter()
        .map(|window| {
            let class = if window.burn > 1.0 {
                " class=\"over\""
            } else {
                ""
            };
            let (burn, bad, total) = (window.burn, window.bad, window.total);
            format!("<td{class} title=\"{bad} of {total}\">{burn:.2}</td>")
        })
        .collect();
    format!(
        "<tr><td title=\"{}\">{}</td><td>{}</td>{cells}<td>{:.1} %</td></tr>",
        indicator.meaning,
        indicator.name,
        indicator.objective,
        indicator.budget_left * 100.0
    )
}

fn reasons(report: &slo::Report) -> String {
    if report.missing.is_empty() {
        return "<li>none</li>\n".to_owned();
    }
    let line = |missing: &slo::Missing| {
        let (reason, shards, part) = (missing.reason, missing.shards, missing.part * 100.0);
        format!("<li>{reason}: {shards} ({part:.1} %)</li>\n")
    };
    report.missing.iter().map(line).collect()
}

#[cfg(test)]
#[path = "tests/page.rs"]
mod tests;
