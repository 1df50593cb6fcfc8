//! `vms`.

use std::collections;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time;

use crate::call;
use crate::failure;
use crate::show;
use crate::table;

/// One VM as the platform lists it and as the keeper hears from it.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Line {
    vm: ids::Vm,
    data_centre: Option<ids::DataCentre>,
    address: Option<String>,
    /// What the platform says.
    platform: &'static str,
    /// What the keeper hears; `None` where the VM isn't in its view.
    reports: Option<document::Report>,
    /// It gathers the reports and writes the status objects.
    keeper: bool,
}

/// Prints the platform's list beside what VMs report.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let store = call.store()?;
    let listed = store.vms().await?;
    let object = show::object(&store, document::REPORTED).await?;
    // One that can't be read is written anew by the keeper within a minute.
    let reported = object.and_then(|object| serde_json::from_slice(&object.body).ok());
    let lines = lines(listed, reported.as_ref());
    if call.has("--json") {
        println!("{}", table::json(&lines));
    } else {
        let now = time::Clock::start().wall();
        println!("{}", text(&lines, reported.as_ref(), now));
    }
    Ok(())
}

fn lines(listed: Vec<store::Vm>, reported: Option<&document::Reported>) -> Vec<Line> {
    let mut lines = collections::BTreeMap::new();
    for vm in listed {
        let line = Line {
            vm: vm.vm.clone(),
            data_centre: Some(vm.data_centre),
            address: Some(vm.address.to_string()),
            platform: if vm.leaving { "leaving" } else { "live" },
            reports: None,
            keeper: false,
        };
        lines.insert(vm.vm, line);
    }
    let seen = reported.into_iter().flat_map(|reported| &reported.vms);
    for (vm, report) in seen {
        // The platform's list lags: a VM may be seen that it doesn't show.
        let line = lines.entry(vm.clone()).or_insert_with(|| Line {
            vm: vm.clone(),
            data_centre: None,
            address: None,
            platform: "not listed",
            reports: None,
            keeper: false,
        });
        line.reports = Some(report.clone());
        line.keeper = reported.is_some_and(|reported| reported.keeper == *vm);
    }
    lines.into_values().collect()
}

fn text(lines: &[Line], reported: Option<&document::Reported>, now: time::Wall) -> String {
    let rows = lines.iter().map(|line| {
        vec![
            line.vm.to_string(),
            line.data_centre
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            line.address.clone().unwrap_or_default(),
            line.platform.to_owned(),
            told(line.reports.as_ref()),
            if line.keeper { "keeper" } else { "" }.to_owned(),
        ]
    });
    let heads = [
        "vm",
        "data centre",
        "mesh",
        "platform's list",
        "documents",
        "",
    ];
    let table = table::table(&heads, rows.collect());
    let listed = lines.iter().filter(|line| line.address.is_some()).count();
    let Some(reported) = reported else {
        return format!("{table}\n{listed} listed; no VM has reported: none is ready yet");
    };
    let (seen, age) = (reported.vms.len(), table::age(now.since(reported.written)));
    format!(
        "{table}\n{listed} listed, {seen} in the view of {}, {age} ago",
        reported.keeper
    )
}

/// What a VM reports, as a person reads it.
fn told(report: Option<&document::Report>) -> String {
    let Some(report) = report else {
        return "the other VMs don't see it".to_owned();
    };
    if !report.heard {
        return "no report".to_owned();
    }
    let behind: Vec<_> = report.behind.iter().map(ToString::to_string).collect();
    match (behind.is_empty(), report.unconfirmed) {
        (true, false) => "all in force".to_owned(),
        (true, true) => "all in force, as other VMs told".to_owned(),
        (false, _) => format!("behind: {}", behind.join(", ")),
    }
}

#[cfg(test)]
#[path = "tests/vms.rs"]
mod tests;
