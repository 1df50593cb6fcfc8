//! Parses and checks the text of a layout.

use crate::finding;
use crate::layout;

/// Parses and checks the text of a layout. `file` names it in the findings.
///
/// # Errors
/// Returns all findings.
pub fn parse_layout(file: &str, text: &str) -> Result<layout::Layout, Vec<finding::Finding>> {
    let options = jsonc_parser::ParseOptions::default();
    let parsed = jsonc_parser::parse_to_serde_value::<layout::Layout>(text, &options);
    let layout = parsed.map_err(|error| {
        let place = finding::Place::of(file, text, error.range().start);
        vec![finding(
            place,
            "",
            error.kind().to_string(),
            "correct the layout here",
        )]
    })?;
    let errors = layout.check();
    if errors.is_empty() {
        return Ok(layout);
    }
    let place = |name: &str| finding::Place::of(file, text, text.find(name).unwrap_or(0));
    let findings = errors.iter().map(|error| {
        let name = error.name();
        let message = error.to_string();
        let (problem, remedy) = crate::jsonc::split(&message);
        finding(place(&format!("\"{name}\"")), name, problem, &remedy)
    });
    Err(findings.collect())
}

/// Returns the finding for a changed layout whose version isn't higher than the
/// version in force.
pub(super) fn stale_layout(
    file: &str,
    text: &str,
    layout: &layout::Layout,
    present: &layout::Layout,
) -> finding::Finding {
    let place = finding::Place::of(file, text, text.find("\"version\"").unwrap_or(0));
    let problem = format!(
        "version {} is not higher than {}, which is in force with different content",
        layout.version, present.version
    );
    let remedy = format!("write it with version {}", present.version.0 + 1);
    finding(place, "version", problem, &remedy)
}

fn finding(place: finding::Place, path: &str, problem: String, remedy: &str) -> finding::Finding {
    finding::Finding {
        place,
        path: path.to_owned(),
        problem,
        remedy: remedy.to_owned(),
    }
}
