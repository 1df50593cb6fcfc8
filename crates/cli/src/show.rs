//! The verb `show SERVICE`.

use geraniumgauge::document;
use geraniumgauge::document::keeper;
use geraniumgauge::ids;
use geraniumgauge::store;

use crate::failure;
use crate::invocation;
use crate::status;

/// Prints the stored document below a comment with its version and generation. The
/// output is a valid document: it can be edited and applied.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let service = invocation.service()?;
    let store = invocation.store()?;
    let object = read_object(&store, &document::text_key(&service)).await?;
    let accepted = read_accepted(&store, &service).await?;
    match (object, accepted) {
        (None, None) => Err(status::missing_status(&store, &service).await),
        (Some(object), accepted) => {
            print!("{}", annotate(&service, &object, accepted.as_ref()));
            Ok(())
        }
        (None, Some(accepted)) => {
            let generation = accepted.generation;
            println!(
                "// documents/{service} was deleted; generation {generation} below is in force"
            );
            println!("{}", crate::table::json(&accepted.document));
            Ok(())
        }
    }
}

/// Reads the object at `key`; `None` if it doesn't exist.
pub(crate) async fn read_object(
    store: &dyn store::Api,
    key: &str,
) -> Result<Option<store::Object>, failure::Failure> {
    match store.get(key).await {
        Ok(object) => Ok(Some(object)),
        Err(store::Error::Missing { .. }) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Reads the accepted document of a service; `None` if nothing is accepted.
async fn read_accepted(
    store: &dyn store::Api,
    service: &ids::Service,
) -> Result<Option<keeper::Accepted>, failure::Failure> {
    let object = read_object(store, &document::accepted_key(service)).await?;
    // An object that can't be parsed is ignored, since the keeper rewrites it.
    Ok(object.and_then(|object| serde_json::from_slice(&object.body).ok()))
}

/// Returns the text in `object` below a comment with its version and whether it is in
/// force.
fn annotate(
    service: &ids::Service,
    object: &store::Object,
    accepted: Option<&keeper::Accepted>,
) -> String {
    let body = String::from_utf8_lossy(&object.body);
    let version = object.version;
    let parsed = document::parse(&document::text_key(service), &body);
    let state = match (&parsed, accepted) {
        (_, None) => "// nothing is accepted yet\n".to_owned(),
        (Err(_), Some(accepted)) => format!(
            "// refused; generation {} is in force: see `geraniumgauge status {service}`\n",
            accepted.generation
        ),
        (Ok(document), Some(accepted)) => acceptance_comment(accepted, document),
    };
    let header = format!("// documents/{service}, version {version}\n{state}");
    format!("{}{}\n", header, without_header(&body).trim_end())
}

/// Returns a comment that says whether the stored document is in force, and lists the
/// fields in which it differs from the accepted one.
fn acceptance_comment(accepted: &keeper::Accepted, stored: &document::Document) -> String {
    let generation = accepted.generation;
    let differences = document::differences(&accepted.document, stored);
    if differences.is_empty() {
        return format!("// accepted as generation {generation}\n");
    }
    let lines: String = differences
        .iter()
        .map(|difference| format!("//   {difference}\n"))
        .collect();
    format!("// not in force; generation {generation} is in force instead and differs in:\n{lines}")
}

/// Returns `text` without the comment that an earlier `show` put above it.
fn without_header(text: &str) -> &str {
    let mut rest = text;
    while let Some(line) = rest.lines().next() {
        let from_show = line.starts_with("// documents/")
            || line.starts_with("// accepted as generation")
            || line.starts_with("// not in force; generation")
            || line.starts_with("// nothing is accepted yet")
            || line.starts_with("// refused; generation")
            || line.starts_with("//   ");
        if !from_show {
            break;
        }
        rest = rest
            .get(line.len()..)
            .unwrap_or("")
            .trim_start_matches(['\r', '\n']);
    }
    rest
}

#[cfg(test)]
#[path = "tests/show.rs"]
mod tests;
