//! Lists claims with unknown outcome, reading only from the store.

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::store;
use crate::time;

/// A claim without an outcome: its record may be running or may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Unsettled {
    /// The caller's idempotency key.
    pub key: ids::Key,
    /// The caller's request that the claim was created for.
    pub request: ids::Request,
    /// When the claim was created, by the claimant's clock.
    pub since: time::Wall,
    /// The upstream that the record was last sent to, or was about to be.
    pub upstream: ids::Upstream,
}

/// Returns the claims of `service` without an outcome, oldest first. Recent ones
/// may still be running.
///
/// # Errors
/// If the store can't be read, or an object of the ledger can't be parsed.
pub async fn unsettled(
    store: &dyn store::Api,
    service: &ids::Service,
) -> Result<Vec<Unsettled>, store::Error> {
    let mut found = Vec::new();
    for bucket in 0..key::BUCKETS_PER_SERVICE {
        let head = read(store, &key::head_key(service, bucket)).await?;
        let open = head
            .entries
            .into_iter()
            .filter(|(_, entry)| entry.state == head::State::Claimed);
        found.extend(open.map(|(key, entry)| Unsettled {
            key,
            request: entry.request,
            since: entry.since,
            upstream: entry.upstream,
        }));
    }
    found.sort_by_key(|claim| claim.since);
    Ok(found)
}

async fn read(store: &dyn store::Api, key: &str) -> Result<head::Head, store::Error> {
    let body = match store.get(key).await {
        Ok(object) => object.body,
        Err(store::Error::Missing { .. }) => return Ok(head::Head::default()),
        Err(error) => return Err(error),
    };
    serde_json::from_slice(&body).map_err(|error| store::Error::Refused {
        key: key.to_owned(),
        reason: format!("the object is not a valid ledger: {error}"),
    })
}
