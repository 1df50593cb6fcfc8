use super::*;

/// Story: a VM dies and the platform still lists it as live. An operator who
/// reads that all documents are in force there looks for the fault elsewhere.
#[test]
fn a_listed_vm_that_no_other_sees_is_told_apart() {
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
    let lines = lines(listed.to_vec(), Some(&reported));
    let told: Vec<_> = lines
        .iter()
        .map(|line| told(line.reports.as_ref()))
        .collect();
    assert_eq!(
        told,
        ["the other VMs don't see it", "all in force", "no report"]
    );
    assert_eq!(lines[2].platform, "not listed");
    assert!(text(&lines, None, time::Wall(0)).contains("no VM has reported"));
}
