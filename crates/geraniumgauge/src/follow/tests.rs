use super::*;

fn item(name: u8, revision: u64) -> Item<()> {
    Item {
        name: format!("u{name}"),
        revision: ids::Revision(revision),
        value: Some(()),
    }
}

quickcheck::quickcheck! {
    /// Two VMs that heard the same changes, one by lists and one by a watch that
    /// repeats some of them, hold the same and have the same digest.
    fn digests_tell_whether_two_vms_hold_the_same(steps: Vec<(u8, bool)>, missed: Option<u8>) -> bool {
        let mut truth: std::collections::BTreeMap<u8, u64> = Default::default();
        let mut watched = Held::default();
        watched.list(&Snapshot::<()> { items: Vec::new(), revision: ids::Revision(0) });
        let mut different = false;
        for (step, (name, gone)) in steps.iter().enumerate() {
            let (name, revision) = (name % 6, step as u64 + 1);
            let change = if *gone {
                truth.remove(&name);
                Change::Gone(format!("u{name}"))
            } else {
                truth.insert(name, revision);
                Change::Put(item(name, revision))
            };
            if missed.map(usize::from) == Some(step) {
                different = true;
                continue;
            }
            let repeated = vec![change.clone(), change];
            watched.change(repeated, ids::Revision(revision));
        }
        let items: Vec<Item<()>> = truth.iter().map(|(name, revision)| item(*name, *revision)).collect();
        let same = watched.digest() == Digest::of(&items);
        // A change that was missed may have been made up for by a later one.
        same || different
    }
}

/// Story: a list from a copy that lags comes after a watch has told more.
/// Taking it would bring drained upstreams back.
#[test]
fn an_older_list_changes_nothing() {
    let mut held = Held::default();
    let list = |revision, items| Snapshot {
        items,
        revision: ids::Revision(revision),
    };
    assert!(held.list(&list(5, vec![item(1, 4)])));
    let told = held.change(vec![Change::Put(item(1, 7))], ids::Revision(7));
    assert_eq!(told.len(), 1);
    let digest = held.digest();
    assert!(!held.list(&list(6, vec![item(1, 4)])));
    assert!(
        held.change(vec![Change::Put(item(1, 4))], ids::Revision(6))
            .is_empty()
    );
    assert_eq!((held.digest(), held.at()), (digest, Some(ids::Revision(7))));
}
