//! `unsettled SERVICE`.

use geraniumgauge::ledger;
use geraniumgauge::time;

use crate::call;
use crate::failure;
use crate::status;
use crate::table;

/// Lists registrations whose end isn't known.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let service = call.service()?;
    let store = call.store()?;
    status::known(&store, &service).await?;
    let found = ledger::unsettled(&store, &service).await?;
    if call.has("--json") {
        println!("{}", table::json(&found));
        return Ok(());
    }
    if found.is_empty() {
        println!("{service}: every registration that was claimed is settled");
        return Ok(());
    }
    let now = time::Clock::start().wall();
    let rows = found.iter().map(|claim| {
        vec![
            claim.key.to_string(),
            claim.request.to_string(),
            table::age(now.since(claim.since)),
            claim.upstream.to_string(),
        ]
    });
    let heads = ["key", "request", "claimed for", "upstream"];
    println!("{}", table::table(&heads, rows.collect()));
    println!(
        "{} claimed, end unknown: ask the upstream whether it ran; under these keys nothing \
         will run again",
        found.len()
    );
    Ok(())
}
