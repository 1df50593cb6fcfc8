use super::*;

fn entry(id: u8, born: u64, state: State) -> Entry {
    Entry {
        id: format!("u{id}").parse().expect("an id"),
        service: format!("s{}", id % 2).parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9000 + u16::from(id))),
        data_centre: "dc".parse().expect("a name"),
        slots: 2,
        state,
        warm_up: time::Duration::ZERO,
        revision: ids::Revision(1),
        heartbeats: 20,
        started_at: clock::Wall(born),
    }
}

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// Registrations lapse during a store outage, so the first list after it is
/// empty although the upstreams are alive. They must get requests for two more
/// seconds, and none after that unless they register again.
#[test]
fn lapsed_entries_are_a_last_resort_until_they_are_gone() {
    let mut registry = Registry::default();
    registry.put(entry(0, 1, State::Ready), at(0));
    registry.put(entry(2, 1, State::Ready), at(0));
    registry.replace_all(Vec::new(), time::Duration::ZERO, at(1000));
    let handles = registry.of(&"s0".parse().expect("a name")).to_vec();
    for handle in &handles {
        assert_eq!(
            registry.get(*handle).eligibility(at(2500)),
            Eligibility::LastResort
        );
    }
    let back = registry.put(entry(0, 1, State::Ready), at(2600));
    assert_eq!(back, vec![Change::Returned(handles[0])]);
    assert_eq!(
        registry.get(handles[0]).eligibility(at(9000)),
        Eligibility::Full
    );
    assert_eq!(
        registry.get(handles[1]).eligibility(at(3000)),
        Eligibility::Never
    );
    assert_eq!(registry.expire(at(3000)), vec![Change::Gone(handles[1])]);
}

/// If an upstream that drained and deregistered stayed usable as a last resort,
/// requests would go to a stopped process or to another one at its old address.
#[test]
fn a_drained_upstream_is_gone_with_its_entry() {
    let mut registry = Registry::default();
    registry.put(entry(0, 1, State::Ready), at(0));
    let changes = registry.put(entry(0, 1, State::Draining), at(10));
    assert_eq!(changes, vec![Change::Draining(Handle(0))]);
    assert_eq!(
        registry.get(Handle(0)).eligibility(at(10)),
        Eligibility::Never
    );
    let change = registry.remove(&"u0".parse().expect("an id"), time::Duration::ZERO, at(20));
    assert_eq!(change, Some(Change::Gone(Handle(0))));
    assert!(registry.is_empty());
}

/// An upstream crashes and restarts under its id before its registration lapses.
/// The old process's connections and statistics must not be used for the new one.
#[test]
fn a_later_start_of_the_same_id_is_another_upstream() {
    let mut registry = Registry::default();
    registry.put(entry(0, 1, State::Ready), at(0));
    let changes = registry.put(entry(0, 2, State::Ready), at(10));
    assert_eq!(
        changes,
        vec![Change::Gone(Handle(0)), Change::Registered(Handle(1))]
    );
    assert_eq!(
        registry.get(Handle(0)).eligibility(at(10)),
        Eligibility::Never
    );
    let service = "s0".parse().expect("a name");
    assert_eq!(registry.of(&service), &[Handle(1)]);
}

quickcheck::quickcheck! {
    /// After any sequence of events each service lists exactly the registered
    /// upstreams, each id once, and only ready ones are fully usable.
    fn lists_match_a_plain_map(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut registry = Registry::default();
        let mut model: collections::BTreeMap<u8, (u64, State)> = Default::default();
        let mut now = at(0);
        for (kind, id, born) in steps {
            let (id, born) = (id % 5, u64::from(born % 3));
            now = now + VANISHED_GRACE;
            registry.expire(now);
            match kind % 3 {
                0 => {
                    registry.put(entry(id, born, State::Ready), now);
                    model.insert(id, (born, State::Ready));
                }
                1 => {
                    registry.put(entry(id, born, State::Draining), now);
                    model.insert(id, (born, State::Draining));
                }
                _ => {
                    registry.remove(
                        &format!("u{id}").parse().expect("an id"),
                        time::Duration::ZERO,
                        now,
                    );
                    model.remove(&id);
                    now = now + VANISHED_GRACE;
                    registry.expire(now);
                }
            }
            for service in 0..2_u8 {
                let name = format!("s{service}").parse().expect("a name");
                let mut actual: Vec<(String, u64, bool)> = registry
                    .of(&name)
                    .iter()
                    .map(|handle| registry.get(*handle))
                    .map(|known| {
                        let used = known.eligibility(now) == Eligibility::Full;
                        (known.entry.id.to_string(), known.entry.started_at.0, used)
                    })
                    .collect();
                actual.sort();
                let expected: Vec<(String, u64, bool)> = model
                    .iter()
                    .filter(|(id, _)| *id % 2 == service)
                    .map(|(id, (born, state))| (format!("u{id}"), *born, *state == State::Ready))
                    .collect();
                if actual != expected {
                    return false;
                }
            }
        }
        true
    }
}

/// Another VM asks this one, which is cut off from the store, to call an upstream
/// that isn't registered here, and one that is known to be draining.
#[test]
fn upstreams_of_other_vms_calls_are_accepted_unless_known_to_leave() {
    let mut registry = Registry::default();
    let data_centre = "dc".parse().expect("a name");
    let known = entry(0, 1, State::Draining);
    registry.put(known.clone(), at(0));
    assert_eq!(
        registry.resolve(&known.id, None, &data_centre, at(1)),
        Err(Error::Leaving)
    );
    let new = entry(2, 1, State::Ready);
    assert_eq!(
        registry.resolve(&new.id, None, &data_centre, at(1)),
        Err(Error::Unknown)
    );
    let described = Some(Foreign {
        revision: ids::Revision(0),
        address: new.address,
        service: new.service.clone(),
    });
    let foreign = registry
        .resolve(&new.id, described.clone(), &data_centre, at(1))
        .expect("called");
    assert_eq!(
        registry.resolve(&new.id, described, &data_centre, at(2)),
        Ok(foreign)
    );
    // Extra calls to it count for its service.
    assert_eq!(registry.get(foreign).entry.service, new.service);
    let own = registry.of(&new.service);
    assert!(!own.contains(&foreign), "not for this VM's own requests");
    registry.put(new.clone(), at(3));
    let listed = registry
        .resolve(&new.id, None, &data_centre, at(4))
        .expect("called");
    assert_ne!(listed, foreign);
}

/// Guards against requests to an upstream that left long ago: its removal was
/// noticed late, and the grace period counted from the notice, not the removal.
#[test]
fn a_removal_that_is_noticed_late_doesnt_extend_the_grace_period() {
    let mut registry = Registry::default();
    registry.put(entry(0, 0, State::Ready), at(0));
    let lag = time::Duration::from_millis(1200);
    registry.replace_all(Vec::new(), lag, at(5000));
    let eligibility = |now| {
        registry
            .iter()
            .map(|known| known.eligibility(now))
            .collect::<Vec<_>>()
    };
    assert_eq!(eligibility(at(5000 + 790)), [Eligibility::LastResort]);
    assert_eq!(eligibility(at(5000 + 810)), [Eligibility::Never]);
}

/// Returns a registration with another id, at the address of `entry`.
fn successor(entry: &Entry, revision: u64) -> Entry {
    Entry {
        id: "successor".parse().expect("an id"),
        service: "other".parse().expect("a name"),
        revision: ids::Revision(revision),
        ..entry.clone()
    }
}

/// Guards against calls to an upstream that has ended, whose address another one has: its
/// registration stays for three heartbeats more.
#[test]
fn an_address_that_is_registered_later_ends_the_upstream_that_had_it() {
    let earlier = entry(0, 1, State::Ready);
    let later = successor(&earlier, 2);
    for listed in [
        vec![earlier.clone(), later.clone()],
        vec![later.clone(), earlier.clone()],
    ] {
        let mut registry = Registry::default();
        registry.replace_all(listed, time::Duration::ZERO, at(0));
        assert!(registry.of(&earlier.service).is_empty());
        assert_eq!(registry.of(&later.service).len(), 1);
    }
    let mut registry = Registry::default();
    registry.put(earlier.clone(), at(0));
    let changes = registry.put(later, at(10));
    assert_eq!(
        changes,
        [Change::Gone(Handle(0)), Change::Registered(Handle(1))]
    );
    assert!(registry.get(Handle(0)).has_ended());
}

/// Guards against calls to an ended upstream that a VM makes for another one, which hasn't
/// heard that its address was given away.
#[test]
fn calls_of_other_vms_to_an_address_that_was_given_away_are_refused() {
    let earlier = entry(0, 1, State::Ready);
    let mut registry = Registry::default();
    registry.put(successor(&earlier, 2), at(0));
    let described = |revision| {
        Some(Foreign {
            address: earlier.address,
            service: earlier.service.clone(),
            revision: ids::Revision(revision),
        })
    };
    let refused = registry.resolve(&earlier.id, described(1), &earlier.data_centre, at(1));
    assert_eq!(refused, Err(Error::Leaving));
    // Here it is this VM that hasn't heard of it yet.
    let made = registry.resolve(&earlier.id, described(3), &earlier.data_centre, at(1));
    assert!(made.is_ok());
}

/// Guards against calls that are taken as arrived when the registration of a paused upstream
/// lapses.
#[test]
fn an_upstream_whose_registration_lapsed_isnt_known_to_have_ended() {
    let mut registry = Registry::default();
    registry.put(entry(0, 1, State::Ready), at(0));
    registry.replace_all(Vec::new(), time::Duration::ZERO, at(1000));
    assert_eq!(registry.expire(at(3000)), [Change::Gone(Handle(0))]);
    assert!(!registry.get(Handle(0)).has_ended());
    registry.put(entry(2, 1, State::Ready), at(4000));
    registry.put(entry(2, 2, State::Ready), at(4010));
    assert!(registry.get(Handle(1)).has_ended());
}
