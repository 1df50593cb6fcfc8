//! The verb `vms`.

use std::collections;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time;

use crate::failure;
use crate::invocation;
use crate::show;
use crate::table;

/// One VM in the output, combined from the platform's list and the keeper's reports.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Entry {
    vm: ids::Vm,
    data_centre: Option<ids::DataCentre>,
    address: Option<String>,
    /// State of the VM in the platform's list: `live`, `leaving` or `not listed`.
    #[serde(rename = "platform")]
    listed_state: &'static str,
    /// The report of the VM in the list that the keeper wrote last; `None` if the VM isn't
    /// in that list.
    #[serde(rename = "reports")]
    report: Option<document::Report>,
    /// Set for the keeper, which collects the reports and writes the status objects.
    keeper: bool,
}

/// Prints the platform's list of VMs with the report of each VM.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let store = invocation.store()?;
    let listed = store.vms().await?;
    let object = show::read_object(&store, document::REPORTED_KEY).await?;
    // An object that can't be parsed is ignored: the keeper rewrites it within a
    // minute.
    let reported = object.and_then(|object| serde_json::from_slice(&object.body).ok());
    let entries = entries(listed, reported.as_ref());
    if invocation.has("--json") {
        println!("{}", table::json(&entries));
    } else {
        let now = time::Clock::start().wall();
        println!("{}", text(&entries, reported.as_ref(), now));
    }
    Ok(())
}

/// Merges the platform's list with the reports, sorted by the name of the VM.
fn entries(listed: Vec<store::Vm>, reported: Option<&document::Reported>) -> Vec<Entry> {
    let mut entries = collections::BTreeMap::new();
    for vm in listed {
        let entry = Entry {
            vm: vm.vm.clone(),
            data_centre: Some(vm.data_centre),
            address: Some(vm.address.to_string()),
            listed_state: if vm.leaving { "leaving" } else { "live" },
            report: None,
            keeper: false,
        };
        entries.insert(vm.vm, entry);
    }
    let reports = reported.into_iter().flat_map(|reported| &reported.vms);
    for (vm, report) in reports {
        // The platform's list lags, so the keeper may know a VM that isn't in it.
        let entry = entries.entry(vm.clone()).or_insert_with(|| Entry {
            vm: vm.clone(),
            data_centre: None,
            address: None,
            listed_state: "not listed",
            report: None,
            keeper: false,
        });
        entry.report = Some(report.clone());
        entry.keeper = reported.is_some_and(|reported| reported.keeper == *vm);
    }
    entries.into_values().collect()
}

/// Formats the list as a table.
fn text(entries: &[Entry], reported: Option<&document::Reported>, now: time::Wall) -> String {
    let rows = entries.iter().map(|entry| {
        vec![
            entry.vm.to_string(),
            entry
                .data_centre
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            entry.address.clone().unwrap_or_default(),
            entry.listed_state.to_owned(),
            describe_report(entry.report.as_ref()),
            if entry.keeper { "keeper" } else { "" }.to_owned(),
        ]
    });
    let headers = [
        "vm",
        "data centre",
        "mesh",
        "platform's list",
        "documents",
        "",
    ];
    let table = table::table(&headers, rows.collect());
    let listed = entries
        .iter()
        .filter(|entry| entry.address.is_some())
        .count();
    let Some(reported) = reported else {
        return format!(
            "{table}\n{listed} VMs in the platform's list; no VM has reported: none is ready yet"
        );
    };
    let (seen, age) = (
        reported.vms.len(),
        table::duration(now.since(reported.written)),
    );
    format!(
        "{table}\n{listed} VMs in the platform's list; {seen} VMs in the list that keeper {} wrote \
         {age} ago",
        reported.keeper
    )
}

/// Describes a VM's report for the table.
fn describe_report(report: Option<&document::Report>) -> String {
    let Some(report) = report else {
        return "not seen by other VMs".to_owned();
    };
    if !report.heard {
        return "no report".to_owned();
    }
    let behind: Vec<_> = report.behind.iter().map(ToString::to_string).collect();
    match (behind.is_empty(), report.unconfirmed) {
        (true, false) => "all in force".to_owned(),
        (true, true) => "all in force, not yet confirmed by the store".to_owned(),
        (false, _) => format!("behind: {}", behind.join(", ")),
    }
}

#[cfg(test)]
#[path = "tests/vms.rs"]
mod tests;
