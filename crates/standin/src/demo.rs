//! A demonstration on a site of three VMs in one process: a search, a registration that
//! is sent twice, and an edit of a document, after which the service's status is read until it
//! shows the edit in force.

use std::time;

use geraniumgauge::ids;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;

use crate::measure::check;
use crate::measure::load;
use crate::site;

/// Reasons why the demo fails.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The site can't start.
    #[display("{_0}")]
    Site(site::Error),
    /// The HTTP client can't be set up.
    #[display("{_0}")]
    Client(reqwest::Error),
    /// The store can't be read or written.
    #[display("{_0}")]
    Store(store::Error),
    /// A result isn't the expected one.
    #[from(ignore)]
    #[display("demo: {message}")]
    #[error(ignore)]
    Unexpected {
        /// What was expected or seen.
        message: String,
    },
}

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 12;
/// Deadline of each request, and the deadline that the edit sets in the document.
const DEADLINE: time::Duration = time::Duration::from_secs(2);
/// Time limit for the edit to be in force on all VMs.
const EDIT_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Runs the demo and prints what happens.
///
/// # Errors
/// The first step that fails.
pub async fn run() -> Result<(), Error> {
    println!(
        "Starting a platform, {} upstreams and 3 VMs on loopback ...",
        2 * SHARDS
    );
    let site =
        site::Site::start(site::Config::new(vec![site::Spec::small(SERVICE, SHARDS)])).await?;
    for vm in &site.vms {
        println!(
            "  {} in {} is ready on {}",
            vm.id(),
            vm.data_centre(),
            vm.callers_address()
        );
    }
    let caller = load::Caller::new(&site)?;
    search(&site, &caller).await?;
    register(&site, &caller).await?;
    edit(&site).await?;
    println!("\nAll steps succeeded.");
    Ok(())
}

async fn search(site: &site::Site, caller: &load::Caller) -> Result<(), Error> {
    println!("\n1. A search over {SHARDS} shards");
    let query = serde_json::json!({ "text": "lime mix, west tower" });
    let service = site.service(SERVICE);
    let sample = caller.search(service.id(), &query, DEADLINE).await;
    if let Some(violation) = check::search(&service.layout, &query, &sample).first() {
        return unexpected(violation.to_string());
    }
    let body = expect_ok(&sample)?;
    let coverage = &body["coverage"];
    println!(
        "   answered by {}, request {}",
        vm_name(sample.vm.as_ref()),
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
        return unexpected(format!(
            "the answer isn't complete, its coverage is {coverage}"
        ));
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
    let body = expect_ok(&first)?;
    println!(
        "   {}: {} {}",
        vm_name(first.vm.as_ref()),
        body["outcome"],
        body["result"]
    );
    let exclude = first.vm.as_ref();
    let second = caller
        .register(service.id(), "sheet-1187", &record, DEADLINE, exclude)
        .await;
    let repeat = expect_ok(&second)?;
    println!(
        "   {}: {} {}",
        vm_name(second.vm.as_ref()),
        repeat["outcome"],
        repeat["result"]
    );
    let runs = service.runs().len();
    println!("   times run by upstreams: {runs}");
    if runs != 1 || body["result"] != repeat["result"] {
        return unexpected(format!(
            "the registration ran {runs} times, with the replies {body} and {repeat}"
        ));
    }
    Ok(())
}

async fn edit(site: &site::Site) -> Result<(), Error> {
    println!(
        "\n3. An edit of the service's document, until the service's status shows it in force"
    );
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
    let timeout_at = tokio::time::Instant::now() + EDIT_TIMEOUT;
    let mut last_status = serde_json::Value::Null;
    while tokio::time::Instant::now() < timeout_at {
        last_status = status(&store, service.id()).await.unwrap_or_default();
        let in_force =
            last_status["generation"] == 2 && last_status["in_force"] == last_status["vms"];
        if in_force && last_status["vms"] == site.vms.len() {
            println!(
                "   status: generation 2 in force at {} of {} VMs",
                last_status["in_force"], last_status["vms"]
            );
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    unexpected(format!(
        "the edit isn't in force on all VMs after {} s; last status: {last_status}",
        EDIT_TIMEOUT.as_secs()
    ))
}

async fn status(store: &store::Client, service: &ids::Service) -> Option<serde_json::Value> {
    let object = store.get(&format!("status/{service}")).await.ok()?;
    serde_json::from_slice(&object.body).ok()
}

/// Returns the body of a reply with status 200; any other outcome is an error.
fn expect_ok(sample: &load::Sample) -> Result<&serde_json::Value, Error> {
    match &sample.reply {
        Ok(reply) if reply.status == 200 => Ok(&reply.body),
        other => unexpected(format!("expected a reply with status 200, got {other:?}")),
    }
}

fn vm_name(vm: Option<&ids::Vm>) -> String {
    vm.map_or("no VM".to_owned(), ToString::to_string)
}

fn unexpected<T>(message: String) -> Result<T, Error> {
    Err(Error::Unexpected { message })
}
