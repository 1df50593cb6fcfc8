//! Claims whose end isn't known, read from the store alone.

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::store;
use crate::time;

/// A claim without an outcome: it may have run or be running.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Unsettled {
    /// The caller's idempotency key.
    pub key: ids::Key,
    /// The caller's request that it was created for.
    pub request: ids::Request,
    /// When it was created, by the claimant's clock.
    pub since: time::Wall,
    /// The upstream it was last sent to, or was about to be.
    pub upstream: ids::Upstream,
}

/// The claims of `service` without an outcome, oldest first. Those of the last
/// moments may still be running.
///
/// # Errors
/// Where the store can't be read, or holds what is no ledger.
pub async fn unsettled(
    store: &dyn store::Api,
    service: &ids::Service,
) -> Result<Vec<Unsettled>, store::Error> {
    let mut found = Vec::new();
    for slot in 0..key::SLOTS {
        let head = read(store, &key::head(service, slot)).await?;
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
        reason: format!("it holds no ledger: {error}"),
    })
}
