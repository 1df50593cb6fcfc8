//! The verb `unsettled SERVICE`.

use geraniumgauge::ledger;
use geraniumgauge::time;

use crate::failure;
use crate::invocation;
use crate::status;
use crate::table;

/// Lists claimed registrations whose outcome is unknown.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let service = invocation.service()?;
    let store = invocation.store()?;
    status::require_accepted(&store, &service).await?;
    let found = ledger::unsettled(&store, &service).await?;
    if invocation.has("--json") {
        println!("{}", table::json(&found));
        return Ok(());
    }
    if found.is_empty() {
        println!("{service}: every claimed registration is settled");
        return Ok(());
    }
    let now = time::Clock::start().wall();
    let rows = found.iter().map(|claim| {
        vec![
            claim.key.to_string(),
            claim.request.to_string(),
            table::duration(now.since(claim.since)),
            claim.upstream.to_string(),
        ]
    });
    let headers = ["key", "request", "claimed for", "upstream"];
    println!("{}", table::table(&headers, rows.collect()));
    println!(
        "{} claimed, outcome unknown: ask the upstream whether the registration ran; nothing \
         will run again under these keys",
        found.len()
    );
    Ok(())
}
