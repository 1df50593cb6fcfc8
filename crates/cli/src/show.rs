//! `show SERVICE`.

use geraniumgauge::document;
use geraniumgauge::document::keeper;
use geraniumgauge::ids;
use geraniumgauge::store;

use crate::call;
use crate::failure;
use crate::status;

/// Prints the document's text under a comment with its version and generation,
/// so that what is printed can be edited and applied.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let service = call.service()?;
    let store = call.store()?;
    let text = object(&store, &document::text_key(&service)).await?;
    let accepted = accepted(&store, &service).await?;
    match (text, accepted) {
        (None, None) => Err(status::unknown(&store, &service).await),
        (Some(text), accepted) => {
            print!("{}", page(&service, &text, accepted.as_ref()));
            Ok(())
        }
        (None, Some(accepted)) => {
            let generation = accepted.generation;
            println!("// documents/{service} is gone; this is generation {generation}, in force");
            println!("{}", crate::table::json(&accepted.document));
            Ok(())
        }
    }
}

/// The object at `key`, where there is one.
pub(crate) async fn object(
    store: &dyn store::Api,
    key: &str,
) -> Result<Option<store::Object>, failure::Failure> {
    match store.get(key).await {
        Ok(object) => Ok(Some(object)),
        Err(store::Error::Missing { .. }) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// The accepted record of a service.
async fn accepted(
    store: &dyn store::Api,
    service: &ids::Service,
) -> Result<Option<keeper::Accepted>, failure::Failure> {
    let object = object(store, &document::accepted_key(service)).await?;
    // One that can't be read is written anew by the keeper.
    Ok(object.and_then(|object| serde_json::from_slice(&object.body).ok()))
}

fn page(
    service: &ids::Service,
    text: &store::Object,
    accepted: Option<&keeper::Accepted>,
) -> String {
    let body = String::from_utf8_lossy(&text.body);
    let version = text.version;
    let parsed = document::parse(&document::text_key(service), &body);
    let state = match (&parsed, accepted) {
        (_, None) => "// nothing is accepted yet\n".to_owned(),
        (Err(_), Some(accepted)) => format!(
            "// refused; generation {} is in force: see `geraniumgauge status {service}`\n",
            accepted.generation
        ),
        (Ok(mine), Some(accepted)) => differing(accepted, mine),
    };
    let head = format!("// documents/{service}, version {version}\n{state}");
    format!("{}{}\n", head, without_head(&body).trim_end())
}

fn differing(accepted: &keeper::Accepted, text: &document::Document) -> String {
    let generation = accepted.generation;
    let differences = document::differences(&accepted.document, text);
    if differences.is_empty() {
        return format!("// accepted as generation {generation}\n");
    }
    let lines: String = differences
        .iter()
        .map(|difference| format!("//   {difference}\n"))
        .collect();
    format!("// not in force; generation {generation} is, and differs in:\n{lines}")
}

/// The text without the comment that an earlier `show` put above it.
fn without_head(text: &str) -> &str {
    let mut rest = text;
    while let Some(line) = rest.lines().next() {
        let ours = line.starts_with("// documents/")
            || line.starts_with("// accepted as generation")
            || line.starts_with("// not in force; generation")
            || line.starts_with("// nothing is accepted yet")
            || line.starts_with("// refused; generation")
            || line.starts_with("//   ");
        if !ours {
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
