use super::*;

/// A VM dies while the platform still lists it as live. If the table said that all
/// documents are in force there, the operator would look for the fault elsewhere. A VM
/// that isn't listed or hasn't reported, and a fleet without reports, are shown as such.
#[test]
fn the_table_says_which_vms_are_listed_seen_and_have_reported() {
    let listed = ["a", "b"].map(|name| store::Vm {
        vm: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        leaving: false,
    });
    let report = |heard| document::Report {
        heard,
        ..document::Report::default()
    };
    let vms = [("b", true), ("c", false)].map(|(vm, heard)| (vm.parse().unwrap(), report(heard)));
    let reported = document::Reported {
        keeper: "b".parse().unwrap(),
        written: time::Wall(0),
        vms: vms.into_iter().collect(),
    };
    let entries = entries(listed.to_vec(), Some(&reported));
    let descriptions: Vec<_> = entries
        .iter()
        .map(|entry| describe_report(entry.report.as_ref()))
        .collect();
    assert_eq!(
        descriptions,
        ["not seen by other VMs", "all in force", "no report"]
    );
    assert_eq!(entries[2].listed_state, "not listed");
    assert!(text(&entries, None, time::Wall(0)).contains("no VM has reported"));
}
