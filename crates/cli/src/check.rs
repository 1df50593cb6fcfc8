//! The verb `check FILE`.

use std::fs;

use geraniumgauge::document;

use crate::failure;
use crate::invocation;

/// Checks a document or a layout and prints every finding.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let file = invocation.argument(0);
    let text = read(file)?;
    if invocation.has("--layout") {
        let layout =
            document::parse_layout(file, &text).map_err(failure::Failure::from_findings)?;
        let (version, shards) = (layout.version, layout.shards.len());
        println!("{file}: no findings; layout version {version} with {shards} shards");
        return Ok(());
    }
    let document = document::parse(file, &text).map_err(failure::Failure::from_findings)?;
    println!("{file}: no findings; a document of team {}", document.team);
    Ok(())
}

/// Reads an operator's file.
pub(crate) fn read(file: &str) -> Result<String, failure::Failure> {
    fs::read_to_string(file).map_err(|error| {
        failure::Failure::Other(format!("failed to read {file}: {error}; check the path"))
    })
}
