//! A site of three VMs in one process, shown as a person would try it: one
//! search, one registration sent twice, one document edited and read back.

use std::time;

use geraniumgauge::ids;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;

use crate::measure::check;
use crate::measure::load;
use crate::site;

/// What didn't hold.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The site can't start.
    #[display("{_0}")]
    Site(site::Error),
    /// The HTTP client can't be set up.
    #[display("{_0}")]
    Client(reqwest::Error),
    /// The store.
    #[display("{_0}")]
    Store(store::Error),
    /// Something went otherwise than it must.
    #[from(ignore)]
    #[display("demo: {what}")]
    #[error(ignore)]
    Wrong {
        /// What was seen.
        what: String,
    },
}

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 12;
const DEADLINE: time::Duration = time::Duration::from_secs(2);
/// Longest wait for an edit to be in force.
const PATIENCE: time::Duration = time::Duration::from_secs(15);

/// Runs the demo and prints what happens.
///
/// # Errors
/// The first thing that doesn't hold.
pub async fn run() -> Result<(), Error> {
    println!(
        "Starting a platform, {} upstreams and 3 VMs on loopback ...",
        2 * SHARDS
    );
    let site =
        site::Site::start(site::Config::new(vec![site::Spec::small(SERVICE, SHARDS)])).await?;
    for node in &site.nodes {
        println!(
            "  {} in {} is ready on {}",
            node.vm(),
            node.data_centre(),
            node.callers()
        );
    }
    let caller = load::Caller::new(&site)?;
    search(&site, &caller).await?;
    register(&site, &caller).await?;
    edit(&site).await?;
    println!("\nAll of it holds.");
    Ok(())
}

async fn search(site: &site::Site, caller: &load::Caller) -> Result<(), Error> {
    println!("\n1. A search over {SHARDS} shards");
    let query = serde_json::json!({ "text": "lime mix, west tower" });
    let service = site.service(SERVICE);
    let sample = caller.search(service.id(), &query, DEADLINE).await;
    if let Some(violation) = check::search(&service.layout, &query, &sample).first() {
        return wrong(violation.to_string());
    }
    let body = answered(&sample)?;
    let coverage = &body["coverage"];
    println!(
        "   asked {}, request {}",
        name(sample.vm.as_ref()),
        body["request_id"]
    );
    println!(
        "   snapshot: index version {}, layout {}",
        body["snapshot"]["version"], body["snapshot"]["layout"]
    );
    println!(
        "   coverage: {} of {} shards",
        coverage["covered"], coverage["shards"]
    );
    println!("   best hit: {}", body["hits"][0]);
    if coverage["complete"] != true {
        return wrong(format!("the answer isn't complete: {coverage}"));
    }
    Ok(())
}

async fn register(site: &site::Site, caller: &load::Caller) -> Result<(), Error> {
    println!("\n2. A registration, sent twice, the second time to another VM");
    let service = site.service(SERVICE);
    let record = serde_json::json!({ "sheet": 1187, "mix": "NHL 3.5" });
    let first = caller
        .register(service.id(), "sheet-1187", &record, DEADLINE, None)
        .await;
    let body = answered(&first)?;
    println!(
        "   {}: {} {}",
        name(first.vm.as_ref()),
        body["outcome"],
        body["result"]
    );
    let but = first.vm.as_ref();
    let second = caller
        .register(service.id(), "sheet-1187", &record, DEADLINE, but)
        .await;
    let repeat = answered(&second)?;
    println!(
        "   {}: {} {}",
        name(second.vm.as_ref()),
        repeat["outcome"],
        repeat["result"]
    );
    let runs = service.runs().len();
    println!("   upstreams ran it {runs} time(s)");
    if runs != 1 || body["result"] != repeat["result"] {
        return wrong(format!("it ran {runs} times: {body}, then {repeat}"));
    }
    Ok(())
}

async fn edit(site: &site::Site) -> Result<(), Error> {
    println!("\n3. An edit of the service's document, read back from its status");
    let service = site.service(SERVICE);
    let store = site.store()?;
    let key = format!("documents/{}", service.id());
    let before = store.get(&key).await?;
    let document = service
        .spec()
        .clone()
        .with_document(|d| d.deadline = DEADLINE)
        .document;
    let text = serde_json::to_string_pretty(&document).unwrap_or_default();
    store
        .put(&key, text.into(), store::Condition::Version(before.version))
        .await?;
    println!("   deadline_ms: 1000 -> {}", DEADLINE.as_millis());
    let until = tokio::time::Instant::now() + PATIENCE;
    let mut seen = serde_json::Value::Null;
    while tokio::time::Instant::now() < until {
        seen = status(&store, service.id()).await.unwrap_or_default();
        let in_force = seen["generation"] == 2 && seen["in_force"] == seen["vms"];
        if in_force && seen["vms"] == site.nodes.len() {
            println!(
                "   status: generation 2 in force at {} of {} VMs",
                seen["in_force"], seen["vms"]
            );
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    wrong(format!(
        "the edit isn't in force after {} s: {seen}",
        PATIENCE.as_secs()
    ))
}

async fn status(store: &store::Client, service: &ids::Service) -> Option<serde_json::Value> {
    let object = store.get(&format!("status/{service}")).await.ok()?;
    serde_json::from_slice(&object.body).ok()
}

fn answered(sample: &load::Sample) -> Result<&serde_json::Value, Error> {
    match &sample.reply {
        Ok(reply) if reply.status == 200 => Ok(&reply.body),
        other => wrong(format!("no answer: {other:?}")),
    }
}

fn name(vm: Option<&ids::Vm>) -> String {
    vm.map_or("no VM".to_owned(), ToString::to_string)
}

fn wrong<T>(what: String) -> Result<T, Error> {
    Err(Error::Wrong { what })
}
