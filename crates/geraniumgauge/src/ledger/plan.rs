//! Derives the shard, the replicas and the fingerprint of a registration.

use crate::document;
use crate::ids;
use crate::layout;
use crate::query;
use crate::rendezvous;

/// A parsed registration with the shard and the replicas chosen for it.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    /// Fingerprint of the record, independent of the order of its JSON fields.
    pub(super) fingerprint: ids::Fingerprint,
    /// The shard that stores the record.
    pub(super) shard: ids::Shard,
    /// Replicas of the shard, in the order in which they are tried.
    pub(super) replicas: Vec<ids::Upstream>,
    /// The layout by which the shard was chosen.
    pub(super) layout: ids::LayoutVersion,
    /// The request body that is sent to the upstream.
    pub(super) body: bytes::Bytes,
}

#[derive(serde::Serialize)]
struct Body<'a> {
    key: &'a ids::Key,
    record: &'a serde_json::value::RawValue,
}

impl Plan {
    /// Parses the caller's body and chooses a shard of the layout in force.
    pub(super) fn new(
        service: &ids::Service,
        key: &ids::Key,
        body: &[u8],
        in_force: &document::InForce,
    ) -> Result<Self, query::Refusal> {
        let bad = |error: serde_json::Error| {
            let text = format!("the record is not valid JSON: {error}");
            query::Refusal::not_run(query::Code::BadRequest, text)
        };
        let record: &serde_json::value::RawValue = serde_json::from_slice(body).map_err(bad)?;
        let value: serde_json::Value = serde_json::from_slice(body).map_err(bad)?;
        let shard = shard(key, &value, &in_force.layout)?;
        let canonical = serde_json::to_vec(&value).map_err(bad)?;
        let sent = serde_json::to_vec(&Body { key, record }).map_err(bad)?;
        Ok(Self {
            fingerprint: ids::Fingerprint::of(service, &canonical),
            shard: shard.id.clone(),
            replicas: ranked(key, &shard.replicas),
            layout: in_force.layout.version,
            body: sent.into(),
        })
    }
}

/// Returns the shard that the record names, else one chosen by the key.
fn shard<'a>(
    key: &ids::Key,
    record: &serde_json::Value,
    layout: &'a layout::Layout,
) -> Result<&'a layout::Shard, query::Refusal> {
    let named = record.get("shard").and_then(serde_json::Value::as_str);
    let found = match named {
        Some(name) => layout.shards.iter().find(|shard| shard.id.as_str() == name),
        None => layout
            .shards
            .iter()
            .max_by_key(|shard| weight(key, shard.id.as_str())),
    };
    found.ok_or_else(|| {
        let text = match named {
            Some(name) => format!("the service has no shard {name:?}"),
            None => "the service's layout has no shards".to_owned(),
        };
        query::Refusal::not_run(query::Code::NotFound, text)
    })
}

/// Orders the replicas by the key, so that keys are distributed over them.
fn ranked(key: &ids::Key, replicas: &[ids::Upstream]) -> Vec<ids::Upstream> {
    let mut ranked = replicas.to_vec();
    ranked.sort_by_key(|replica| std::cmp::Reverse(weight(key, replica.as_str())));
    ranked
}

fn weight(key: &ids::Key, name: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(key.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}

/// Returns the VM that claims for the keys of a bucket.
pub(super) fn claimant(service: &ids::Service, bucket: u64, view: &crate::member::View) -> ids::Vm {
    let assignment = format!("ledger/{service}/{bucket}");
    let vms = view.assignable().map(|member| &member.vm);
    let picked = rendezvous::pick(&assignment, vms, 1);
    picked.first().map_or(&view.local, |vm| *vm).clone()
}
