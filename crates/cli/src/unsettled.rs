//! The verb `unsettled SERVICE`.

use geraniumgauge::ledger;
use geraniumgauge::time;

use crate::failure;
use crate::invocation;
use crate::status;
use crate::table;

/// Lists claims without a known outcome: records that a caller sent under an
/// idempotency key and that may be running, may have run or may not have run.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let service = invocation.service()?;
    let store = invocation.store()?;
    status::require_accepted(&store, &service).await?;
    let claims = ledger::unsettled(&store, &service).await?;
    if invocation.has("--json") {
        println!("{}", table::json(&claims));
        return Ok(());
    }
    if claims.is_empty() {
        println!("{service}: the outcome of every claim is known");
        return Ok(());
    }
    let now = time::Clock::start().wall();
    let rows = claims.iter().map(|claim| {
        vec![
            claim.key.to_string(),
            claim.request.to_string(),
            table::duration(now.since(claim.since)),
            claim.upstream.to_string(),
        ]
    });
    let headers = ["key", "request", "claim age", "upstream"];
    println!("{}", table::table(&headers, rows.collect()));
    println!(
        "claims without a known outcome: {}; ask the upstream whether the record ran (a retry with \
         one of these keys won't be run)",
        claims.len()
    );
    Ok(())
}
