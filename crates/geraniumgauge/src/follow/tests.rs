use super::*;

fn item(name: u8, revision: u64) -> Item<()> {
    Item {
        name: format!("u{name}"),
        revision: ids::Revision(revision),
        value: Some(()),
    }
}

quickcheck::quickcheck! {
    /// A VM that received every change by a watch that repeats them has the same
    /// digest as a list of the objects.
    fn digests_are_equal_if_no_change_was_missed(steps: Vec<(u8, bool)>, missed: Option<u8>) -> bool {
        let mut expected: std::collections::BTreeMap<u8, u64> = Default::default();
        let mut watched = Inventory::default();
        watched.apply_list(&Snapshot::<()> { items: Vec::new(), revision: ids::Revision(0) });
        let mut lacking = false;
        for (step, (name, gone)) in steps.iter().enumerate() {
            let (name, revision) = (name % 6, step as u64 + 1);
            let change = if *gone {
                expected.remove(&name);
                Change::Deleted(format!("u{name}"))
            } else {
                expected.insert(name, revision);
                Change::Put(item(name, revision))
            };
            if missed.map(usize::from) == Some(step) {
                lacking = true;
                continue;
            }
            let repeated = vec![change.clone(), change];
            watched.apply_changes(repeated, ids::Revision(revision));
        }
        let items: Vec<Item<()>> = expected.iter().map(|(name, revision)| item(*name, *revision)).collect();
        let same = watched.digest() == Digest::of(&items);
        // Later changes may have made up for the one that was missed.
        same || lacking
    }
}

/// A list from a lagging copy arrives after a watch has shown newer changes.
/// Applying it would bring drained upstreams back.
#[test]
fn an_older_list_changes_nothing() {
    let mut inventory = Inventory::default();
    let list = |revision, items| Snapshot {
        items,
        revision: ids::Revision(revision),
    };
    assert!(inventory.apply_list(&list(5, vec![item(1, 4)])));
    let applied = inventory.apply_changes(vec![Change::Put(item(1, 7))], ids::Revision(7));
    assert_eq!(applied.len(), 1);
    let digest = inventory.digest();
    assert!(!inventory.apply_list(&list(6, vec![item(1, 4)])));
    assert!(
        inventory
            .apply_changes(vec![Change::Put(item(1, 4))], ids::Revision(6))
            .is_empty()
    );
    assert_eq!(
        (inventory.digest(), inventory.revision()),
        (digest, Some(ids::Revision(7)))
    );
}
