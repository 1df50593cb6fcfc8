use super::*;

#[path = "scale.rs"]
mod scale;

const VMS: usize = 7;

/// State machines of several VMs on a network that loses, delays, duplicates and
/// replays messages.
struct World {
    vms: Vec<Spread>,
    frames: Vec<(usize, ids::Vm, message::Body)>,
    updates: Vec<(usize, member::Update)>,
    stored: collections::BTreeMap<(ids::Service, held::Kind), held::VersionedBody>,
    applied: Vec<collections::BTreeMap<(ids::Service, held::Kind), u64>>,
    version_decreased: bool,
    now: clock::Moment,
    random: rand::rngs::StdRng,
}

fn name(index: usize) -> ids::Vm {
    format!("vm-{index}").parse().unwrap()
}

fn service(index: u8) -> ids::Service {
    format!("service-{}", index % 3).parse().unwrap()
}

fn roles(local: usize) -> roles::Roles {
    let member = |index| member::Member {
        vm: name(index),
        incarnation: ids::Incarnation(1),
        data_centre: "a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: member::State::Alive,
    };
    let view = member::View::new(name(local), (0..VMS).map(member).collect());
    roles::Roles::of(&view, &"a".parse().unwrap())
}

impl World {
    fn new(seed: u64) -> Self {
        let now = clock::Moment(0);
        let vms = (0..VMS).map(|index| Spread::new(name(index), seed ^ index as u64, now));
        let mut world = Self {
            vms: vms.collect(),
            frames: Vec::new(),
            updates: Vec::new(),
            stored: collections::BTreeMap::new(),
            applied: vec![collections::BTreeMap::new(); VMS],
            version_decreased: false,
            now,
            random: rand::rngs::StdRng::seed_from_u64(seed),
        };
        for index in 0..VMS {
            world.event(index, Event::View(roles(index)));
        }
        world
    }

    /// Creates a world whose VMs are ready.
    fn ready(seed: u64) -> Self {
        let mut world = Self::new(seed);
        for index in 0..VMS {
            world.event(index, Event::Loaded);
        }
        world.heal();
        world
    }

    fn event(&mut self, index: usize, event: Event) {
        for action in self.vms[index].handle(event, self.now) {
            match action {
                Action::Apply(service, content) => self.apply(index, service, &content),
                Action::Send(to, body) => {
                    let at = (0..VMS).find(|at| name(*at) == to).unwrap();
                    self.frames.push((at, name(index), body));
                }
                Action::Publish(update) => {
                    let all = (0..VMS).map(|at| (at, update.clone()));
                    self.updates.extend(all.collect::<Vec<_>>());
                }
                Action::Fetch(service) => self.read(index, &service),
                Action::Ready(_) => {}
            }
        }
    }

    fn apply(&mut self, index: usize, service: ids::Service, content: &held::Content) {
        let (kind, version) = match content {
            held::Content::Document(generation, _) => (held::Kind::Document, generation.0),
            held::Content::Layout(layout) => (held::Kind::Layout, layout.version.0),
        };
        let present = self.applied[index].insert((service, kind), version);
        self.version_decreased |= present.is_some_and(|present| present >= version);
    }

    fn read(&mut self, index: usize, service: &ids::Service) {
        for kind in [held::Kind::Document, held::Kind::Layout] {
            if let Some(versioned) = self.stored.get(&(service.clone(), kind)).cloned() {
                self.event(index, Event::Stored(service.clone(), kind, versioned));
            }
        }
    }

    fn store(&mut self, service: ids::Service, kind: held::Kind, version: u64) {
        let body = match kind {
            held::Kind::Document => serde_json::to_vec(&crate::document::Document::default()),
            held::Kind::Layout => {
                let layout = crate::layout::Layout {
                    version: ids::LayoutVersion(version),
                    upstreams: Vec::new(),
                    shards: Vec::new(),
                };
                serde_json::to_vec(&layout)
            }
        };
        let versioned = held::VersionedBody {
            version,
            body: body.unwrap().into(),
            object: ids::ObjectVersion(version),
        };
        self.stored.insert((service, kind), versioned);
    }

    /// Delivers one frame and one gossip update in transit; `lossy` loses some and
    /// duplicates some frames.
    fn deliver(&mut self, lossy: bool) {
        if !self.frames.is_empty() {
            let at = self.random.random_range(0..self.frames.len());
            let (to, from, body) = self.frames.swap_remove(at);
            if lossy && self.random.random_bool(0.2) {
                self.frames.push((to, from.clone(), body.clone()));
            }
            if !(lossy && self.random.random_bool(0.3)) {
                self.frame(to, from, body);
            }
        }
        if !self.updates.is_empty() {
            let at = self.random.random_range(0..self.updates.len());
            let (to, update) = self.updates.swap_remove(at);
            if !(lossy && self.random.random_bool(0.5)) {
                self.event(to, Event::Update(update));
            }
        }
    }

    fn frame(&mut self, to: usize, from: ids::Vm, body: message::Body) {
        match body {
            message::Body::Pull(pull) => self.event(to, Event::Pull(from, pull)),
            message::Body::Pulled(pulled) => self.event(to, Event::Pulled(from, pulled)),
            _ => unreachable!("only pulls are sent"),
        }
    }

    fn advance(&mut self, span: time::Duration) {
        self.now = self.now + span;
        for index in 0..VMS {
            self.event(index, Event::Tick);
        }
    }

    fn step(&mut self, step: u8, value: u8) {
        let kind = if value.is_multiple_of(2) {
            held::Kind::Document
        } else {
            held::Kind::Layout
        };
        match step % 6 {
            0 => self.store(service(value), kind, u64::from(value / 8)),
            1 => self.read(usize::from(value) % VMS, &service(value / 16)),
            2 => self.advance(time::Duration::from_millis(u64::from(value) * 4)),
            _ => (0..value / 8).for_each(|_| self.deliver(true)),
        }
    }

    /// Runs without loss for six seconds, in which a version must reach every VM.
    fn heal(&mut self) {
        for _ in 0..60 {
            self.advance(time::Duration::from_millis(100));
            let in_transit = self.frames.len() + self.updates.len();
            (0..4 * in_transit).for_each(|_| self.deliver(false));
        }
    }
}

fn converges(seed: u64, steps: Vec<(u8, u8)>) -> bool {
    let mut world = World::ready(seed);
    for (step, value) in steps {
        world.step(step, value);
    }
    world.heal();
    let first = &world.applied[0];
    !world.version_decreased && world.applied.iter().all(|applied| applied == first)
}

/// In any order of writes, restored stores, lost, delayed, duplicated and
/// replayed messages, no VM applies an older version after a newer one, and six
/// seconds after the links heal all VMs apply the same versions.
#[test]
fn versions_never_decrease_and_vms_converge() {
    crate::seeds::checker()
        .tests(300)
        .quickcheck(converges as fn(u64, Vec<(u8, u8)>) -> bool);
}

/// All gossip updates of a version are lost, and no VM asks the one that holds it
/// for seconds. The holder must notify the others without being asked.
#[test]
fn a_holder_notifies_vms_that_lack_a_version() {
    let steps = vec![(0, 137), (0, 10), (19, 225), (3, 24), (43, 113), (3, 80)];
    assert!(converges(6647516676566343112, steps));
}

/// A VM misses a gossip update and receives no other. It must learn of the
/// version by comparing digests, whichever VM holds it.
#[test]
fn a_lost_gossip_update_delays_a_version_by_seconds() {
    for seed in 0..20 {
        let mut world = World::ready(seed);
        world.store(service(0), held::Kind::Document, 4);
        let reader = usize::try_from(seed).unwrap() % VMS;
        world.read(reader, &service(0));
        world.updates.clear();
        world.heal();
        let first = &world.applied[reader];
        assert!(
            world.applied.iter().all(|applied| applied == first),
            "seed {seed}"
        );
    }
}

#[test]
fn the_keeper_counts_the_vms_that_apply_a_version() {
    let mut world = World::new(7);
    world.store(service(0), held::Kind::Document, 4);
    world.read(3, &service(0));
    let keeper = roles(0).keeper().cloned().unwrap();
    let keeper = (0..VMS).find(|index| name(*index) == keeper).unwrap();
    world.heal();
    let rollout = world.vms[keeper].rollout(&service(0), world.now);
    assert_eq!((rollout.in_force, rollout.behind.len()), (VMS as u32, 0));
    world.now = world.now + time::Duration::from_secs(60);
    let rollout = world.vms[keeper].rollout(&service(0), world.now);
    assert_eq!(rollout.in_force, 0, "reports of silent VMs must age");
}

/// All VMs that held a version are replaced at the same time, just after they
/// published it. A keeper that waited for it forever would accept no edit.
#[test]
fn a_version_that_no_vm_holds_is_given_up() {
    let mut world = World::new(9);
    let unavailable = frames::update(held::Kind::Document, &service(1), 900);
    world.event(0, Event::Update(unavailable));
    assert!(world.vms[0].behind());
    for _ in 0..200 {
        world.advance(time::Duration::from_millis(100));
        world.frames.clear();
    }
    assert!(!world.vms[0].behind());
}

/// A VM starts while the store is unavailable and accepts requests based on its
/// peers' versions. It must be reported as unconfirmed until it has read the
/// store.
#[test]
fn vms_that_the_store_has_not_confirmed_are_reported() {
    let mut world = World::new(13);
    let keeper = roles(0).keeper().cloned().unwrap();
    let keeper = (0..VMS).find(|index| name(*index) == keeper).unwrap();
    let late = (keeper + 1) % VMS;
    for index in (0..VMS).filter(|index| *index != late) {
        world.event(index, Event::Loaded);
    }
    world.event(late, Event::StoreFailed);
    world.heal();
    assert!(world.vms[late].ready());
    assert_eq!(world.vms[keeper].tally().unconfirmed(), [name(late)]);
    world.event(late, Event::Loaded);
    world.heal();
    assert_eq!(world.vms[keeper].tally().unconfirmed(), []);
}

/// All VMs start while the store is unavailable. Without documents they would
/// refuse requests as unknown services, so they must wait for ready members.
#[test]
fn vms_are_not_ready_by_answers_of_unready_peers() {
    let mut world = World::new(11);
    for index in 0..VMS {
        world.event(index, Event::StoreFailed);
    }
    world.heal();
    assert!(world.vms.iter().all(|vm| !vm.ready()));
    for index in 1..VMS {
        world.event(index, Event::Loaded);
    }
    world.heal();
    assert!(world.vms.iter().all(Spread::ready));
}
