//! `check FILE`.

use std::fs;

use geraniumgauge::document;

use crate::call;
use crate::failure;

/// Prints every finding of a document or a layout.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let file = call.argument(0);
    let text = read(file)?;
    if call.has("--layout") {
        let layout = document::parse_layout(file, &text).map_err(failure::Failure::unwritten)?;
        let (version, shards) = (layout.version, layout.shards.len());
        println!("{file}: no findings; layout version {version} of {shards} shards");
        return Ok(());
    }
    let document = document::parse(file, &text).map_err(failure::Failure::unwritten)?;
    println!("{file}: no findings; a document of team {}", document.team);
    Ok(())
}

/// The text of a file of the operator's.
pub(crate) fn read(file: &str) -> Result<String, failure::Failure> {
    fs::read_to_string(file).map_err(|error| {
        failure::Failure::Refused(format!("{file} can't be read: {error}; check the path"))
    })
}
