use super::*;

#[test]
fn a_refused_document_is_shown_with_its_findings() {
    let findings = document::parse("documents/desk", "{\"team\": 3}").unwrap_err();
    let status = document::Status {
        service: "desk".parse().unwrap(),
        generation: ids::Generation(4),
        layout: ids::LayoutVersion(0),
        document: document::Verdict::Refused {
            version: ids::ObjectVersion(9),
            findings,
        },
        layout_findings: Vec::new(),
        in_force: 7,
        vms: 8,
        behind: vec!["vm-3".parse().unwrap()],
        unconfirmed: Vec::new(),
        retired: false,
        keeper: "vm-1".parse().unwrap(),
        written: time::Wall(1000),
    };
    let text = text(&status, time::Wall(1000 + 200_000));
    for part in [
        "desk: generation 4",
        "in force at 7 of 8 VMs; VMs with an older version or without a report: vm-3",
        "version 9 was refused",
        "documents/desk:1:10: team: found a number",
        "there is no layout",
        "written by vm-1 3 min ago",
        "this status is stale",
    ] {
        assert!(text.contains(part), "{part} is not in\n{text}");
    }
}
