//! `vms`.

use std::collections;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;

use crate::failure;
use crate::status;
use crate::table;
use crate::verbs;

/// One VM as the platform lists it and as the keeper hears from it.
#[derive(Debug, serde::Serialize)]
struct Line {
    vm: ids::Vm,
    data_centre: Option<ids::DataCentre>,
    address: Option<String>,
    /// What the platform says.
    platform: &'static str,
    /// Services at which it is behind or has not reported.
    behind: Vec<ids::Service>,
    /// It writes the status objects.
    keeper: bool,
}

/// Prints the platform's list beside what VMs report.
pub(crate) async fn run(call: verbs::Call) -> Result<(), failure::Failure> {
    let store = call.store()?;
    let listed = store.vms().await?;
    let statuses = statuses(&store).await?;
    let lines = lines(listed, &statuses);
    if call.has("--json") {
        println!("{}", table::json(&lines));
        return Ok(());
    }
    println!("{}", text(&lines, &statuses));
    Ok(())
}

async fn statuses(store: &store::Client) -> Result<Vec<document::Status>, failure::Failure> {
    let listing = store.list(document::STATUS).await?;
    let mut statuses = Vec::new();
    for change in listing.changes {
        let name = change.key.strip_prefix(document::STATUS).map(str::parse);
        let Some(Ok(service)) = name else {
            continue;
        };
        statuses.extend(status::read(store, &service).await?);
    }
    Ok(statuses)
}

fn lines(listed: Vec<store::Vm>, statuses: &[document::Status]) -> Vec<Line> {
    let mut lines = collections::BTreeMap::new();
    for vm in listed {
        let line = Line {
            vm: vm.vm.clone(),
            data_centre: Some(vm.data_centre),
            address: Some(vm.address.to_string()),
            platform: if vm.leaving { "leaving" } else { "live" },
            behind: Vec::new(),
            keeper: false,
        };
        lines.insert(vm.vm, line);
    }
    for status in statuses {
        for vm in &status.behind {
            line(&mut lines, vm).behind.push(status.service.clone());
        }
        line(&mut lines, &status.keeper).keeper = true;
    }
    lines.into_values().collect()
}

/// The line of a VM that may have left the platform's list, which lags.
fn line<'l>(lines: &'l mut collections::BTreeMap<ids::Vm, Line>, vm: &ids::Vm) -> &'l mut Line {
    lines.entry(vm.clone()).or_insert_with(|| Line {
        vm: vm.clone(),
        data_centre: None,
        address: None,
        platform: "not listed",
        behind: Vec::new(),
        keeper: false,
    })
}

fn text(lines: &[Line], statuses: &[document::Status]) -> String {
    let rows = lines.iter().map(|line| {
        let behind: Vec<_> = line.behind.iter().map(ToString::to_string).collect();
        let documents = if behind.is_empty() {
            "all in force".to_owned()
        } else {
            format!("behind: {}", behind.join(", "))
        };
        vec![
            line.vm.to_string(),
            line.data_centre
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            line.address.clone().unwrap_or_default(),
            line.platform.to_owned(),
            documents,
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
    let mut text = table::table(&heads, rows.collect());
    let seen = statuses.iter().map(|status| status.vms).max();
    text.push_str(&match seen {
        Some(vms) => format!("\n{} listed, {vms} in the keeper's view", listed(lines)),
        None => "\nno VM has reported: no service has a document, or no VM is ready".to_owned(),
    });
    text
}

fn listed(lines: &[Line]) -> usize {
    lines.iter().filter(|line| line.address.is_some()).count()
}
