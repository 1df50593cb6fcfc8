use super::*;

/// A store with a service's text and record, and the document in force on a VM.
#[derive(Debug, Clone, Default)]
struct World {
    objects: store::Objects,
    in_force: Option<(ids::Generation, sync::Arc<document::Document>)>,
}

fn service() -> ids::Service {
    "desk".parse().unwrap()
}

fn text(deadline: u64) -> bytes::Bytes {
    format!("{{\"team\": \"a\", \"deadline_ms\": {deadline}}}").into()
}

impl World {
    fn edit(&mut self, deadline: u64) {
        let key = document::text_key(&service());
        self.objects
            .put(&key, text(deadline), store::Condition::Any)
            .unwrap();
    }

    fn state(&self) -> State {
        let accepted = self.objects.get(&document::accepted_key(&service())).ok();
        State {
            service: service(),
            text: self.objects.get(&document::text_key(&service())).ok(),
            accepted: accepted.map(|object| {
                (
                    object.version,
                    serde_json::from_slice(&object.body).unwrap(),
                )
            }),
            in_force: self.in_force.clone(),
        }
    }

    /// Carries out a decision; returns false if its condition no longer holds.
    fn carry_out(&mut self, decision: &Decision) -> bool {
        let Some((record, condition)) = &decision.write else {
            return true;
        };
        let body = serde_json::to_vec(record).unwrap();
        let key = document::accepted_key(&service());
        let written = self.objects.put(&key, body.into(), *condition).is_ok();
        if written {
            self.apply();
        }
        written
    }

    fn apply(&mut self) {
        let Some((_, record)) = self.state().accepted else {
            return;
        };
        let newer = self
            .in_force
            .as_ref()
            .is_none_or(|(present, _)| *present < record.generation);
        if newer {
            self.in_force = Some((record.generation, sync::Arc::new(record.document)));
        }
    }

    fn check(&mut self) -> status::Verdict {
        let decision = decide(&self.state());
        self.carry_out(&decision);
        decision.verdict
    }

    fn generation(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |(generation, _)| generation.0)
    }

    fn deadline(&self) -> u128 {
        let (_, document) = self.in_force.as_ref().unwrap();
        document.deadline.as_millis()
    }
}

#[test]
fn an_edit_is_accepted_once() {
    let mut world = World::default();
    world.edit(500);
    assert!(matches!(world.check(), status::Verdict::Accepted { .. }));
    world.check();
    world.edit(500);
    world.check();
    assert_eq!((world.generation(), world.deadline()), (1, 500));
    world.edit(600);
    world.check();
    assert_eq!((world.generation(), world.deadline()), (2, 600));
}

#[test]
fn a_bad_edit_leaves_the_accepted_document_in_force() {
    let mut world = World::default();
    world.edit(500);
    world.check();
    world.edit(0);
    let status::Verdict::Refused { findings, .. } = world.check() else {
        panic!("a deadline of 0 was not refused");
    };
    assert_eq!(findings[0].path, "deadline_ms");
    assert_eq!((world.generation(), world.deadline()), (1, 500));
}

/// A team deletes its document by mistake. The accepted document must stay in
/// force, and the status must show that the text was deleted.
#[test]
fn a_deleted_text_changes_nothing() {
    let mut world = World::default();
    world.edit(500);
    world.check();
    let key = document::text_key(&service());
    world.objects.delete(&key, store::Condition::Any).unwrap();
    assert_eq!(world.check(), status::Verdict::Vanished);
    assert_eq!((world.generation(), world.deadline()), (1, 500));
}

/// After an outage the store shows the state of an hour ago. Replaced settings
/// must not be accepted again: the document in force stays and is written back
/// to the store, and a later edit gets a higher generation.
#[test]
fn a_store_set_back_changes_nothing_and_is_repaired() {
    let mut world = World::default();
    world.edit(500);
    world.check();
    let old = world.objects.clone();
    world.edit(600);
    world.check();
    world.objects = old;
    for _ in 0..3 {
        assert!(matches!(world.check(), status::Verdict::SetBack { .. }));
        assert_eq!((world.generation(), world.deadline()), (2, 600));
    }
    let (_, record) = world.state().accepted.unwrap();
    assert_eq!(record.generation, ids::Generation(2));
    world.edit(700);
    assert!(matches!(world.check(), status::Verdict::Accepted { .. }));
    assert_eq!((world.generation(), world.deadline()), (3, 700));
}

/// Two keepers check a service at the same time, and one is paused before it
/// writes. Its late write must not undo what was accepted in the meantime.
#[test]
fn a_paused_keeper_undoes_nothing() {
    let mut world = World::default();
    world.edit(500);
    let late = decide(&world.state());
    world.edit(600);
    world.check();
    assert!(!world.carry_out(&late));
    assert_eq!((world.generation(), world.deadline()), (1, 600));
}

/// In any order of edits, checks, late writes and restores of an older store, the
/// generation in force never decreases and never stands for two documents.
#[test]
fn generations_in_force_never_decrease() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut world = World::default();
        let mut saved = vec![world.objects.clone()];
        let mut late = None;
        let mut documents = std::collections::BTreeMap::new();
        for (step, value) in steps {
            let before = world.generation();
            match step % 7 {
                0 | 1 => world.edit(u64::from(value)),
                2 => drop(world.check()),
                3 => late = Some(decide(&world.state())),
                4 => {
                    if let Some(decision) = late.take() {
                        world.carry_out(&decision);
                    }
                }
                5 => saved.push(world.objects.clone()),
                _ => world.objects = saved[usize::from(value) % saved.len()].clone(),
            }
            world.apply();
            if world.generation() < before {
                return false;
            }
            if let Some((generation, document)) = &world.in_force {
                let first = documents
                    .entry(*generation)
                    .or_insert_with(|| document.clone());
                if first != document {
                    return false;
                }
            }
        }
        true
    }
    crate::seeds::checker()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
