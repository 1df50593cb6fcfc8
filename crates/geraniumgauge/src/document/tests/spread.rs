use super::*;

#[path = "scale.rs"]
mod scale;

const VMS: usize = 7;

/// Machines joined by a network that loses, delays, doubles and replays.
struct World {
    vms: Vec<Spread>,
    frames: Vec<(usize, ids::Vm, message::Body)>,
    rumours: Vec<(usize, member::Update)>,
    stored: collections::BTreeMap<(ids::Service, held::Kind), held::Part>,
    applied: Vec<collections::BTreeMap<(ids::Service, held::Kind), u64>>,
    fell_back: bool,
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
            rumours: Vec::new(),
            stored: collections::BTreeMap::new(),
            applied: vec![collections::BTreeMap::new(); VMS],
            fell_back: false,
            now,
            random: rand::rngs::StdRng::seed_from_u64(seed),
        };
        for index in 0..VMS {
            world.event(index, Event::View(roles(index)));
        }
        world
    }

    /// A world whose VMs are ready.
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
                Action::Publish(rumour) => {
                    let all = (0..VMS).map(|at| (at, rumour.clone()));
                    self.rumours.extend(all.collect::<Vec<_>>());
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
        self.fell_back |= present.is_some_and(|present| present >= version);
    }

    fn read(&mut self, index: usize, service: &ids::Service) {
        for kind in [held::Kind::Document, held::Kind::Layout] {
            if let Some(part) = self.stored.get(&(service.clone(), kind)).cloned() {
                self.event(index, Event::Stored(service.clone(), kind, part));
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
        let part = held::Part {
            version,
            body: body.unwrap().into(),
            object: ids::ObjectVersion(version),
        };
        self.stored.insert((service, kind), part);
    }

    /// One of the frames and rumours on their way arrives, is lost or doubled.
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
        if !self.rumours.is_empty() {
            let at = self.random.random_range(0..self.rumours.len());
            let (to, rumour) = self.rumours.swap_remove(at);
            if !(lossy && self.random.random_bool(0.5)) {
                self.event(to, Event::Rumour(rumour));
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

    fn pass(&mut self, span: time::Duration) {
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
            2 => self.pass(time::Duration::from_millis(u64::from(value) * 4)),
            _ => (0..value / 8).for_each(|_| self.deliver(true)),
        }
    }

    /// Without loss, for as long as a version may take to be in force.
    fn heal(&mut self) {
        for _ in 0..60 {
            self.pass(time::Duration::from_millis(100));
            let on_their_way = self.frames.len() + self.rumours.len();
            (0..4 * on_their_way).for_each(|_| self.deliver(false));
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
    !world.fell_back && world.applied.iter().all(|applied| applied == first)
}

/// Under any order of writes, restored stores, loss, delay, doubles and
/// replays no VM applies an older version after a newer one, and within six
/// seconds of healed links all apply the same.
#[test]
fn versions_never_fall_and_views_converge() {
    crate::seeds::checker()
        .tests(300)
        .quickcheck(converges as fn(u64, Vec<(u8, u8)>) -> bool);
}

/// Story: every rumour of a version is lost, and the one VM that holds it is
/// asked by no other for seconds. It used to tell nobody by itself.
#[test]
fn a_holder_tells_what_the_others_lack() {
    let steps = vec![(0, 137), (0, 10), (19, 225), (3, 24), (43, 113), (3, 80)];
    assert!(converges(6647516676566343112, steps));
}

/// Story: a VM misses a rumour, and no other comes. It must learn of the
/// version by comparing digests, whichever VM has it.
#[test]
fn a_lost_rumour_costs_seconds() {
    for seed in 0..20 {
        let mut world = World::ready(seed);
        world.store(service(0), held::Kind::Document, 4);
        let reader = usize::try_from(seed).unwrap() % VMS;
        world.read(reader, &service(0));
        world.rumours.clear();
        world.heal();
        let first = &world.applied[reader];
        assert!(
            world.applied.iter().all(|applied| applied == first),
            "seed {seed}"
        );
    }
}

#[test]
fn the_keeper_learns_how_far_a_version_has_got() {
    let mut world = World::new(7);
    world.store(service(0), held::Kind::Document, 4);
    world.read(3, &service(0));
    let keeper = roles(0).keeper().cloned().unwrap();
    let keeper = (0..VMS).find(|index| name(*index) == keeper).unwrap();
    world.heal();
    let count = world.vms[keeper].count(&service(0), world.now);
    assert_eq!((count.in_force, count.behind.len()), (VMS as u32, 0));
    world.now = world.now + time::Duration::from_secs(60);
    let count = world.vms[keeper].count(&service(0), world.now);
    assert_eq!(count.in_force, 0, "reports of silent VMs must age");
}

/// Story: all VMs that held a version are replaced at once after they had told
/// of it. A keeper that waited for that version for ever would accept no edit.
#[test]
fn a_version_that_nobody_has_is_given_up() {
    let mut world = World::new(9);
    let ghost = frames::rumour(held::Kind::Document, &service(1), 900);
    world.event(0, Event::Rumour(ghost));
    assert!(world.vms[0].behind());
    for _ in 0..200 {
        world.pass(time::Duration::from_millis(100));
        world.frames.clear();
    }
    assert!(!world.vms[0].behind());
}

/// Story: a VM starts while the store is out and takes requests by what the
/// others told it. Operators must be able to see which VMs the store hasn't
/// confirmed, and that it has once it is back.
#[test]
fn vms_that_the_store_has_not_confirmed_are_named() {
    let mut world = World::new(13);
    let keeper = roles(0).keeper().cloned().unwrap();
    let keeper = (0..VMS).find(|index| name(*index) == keeper).unwrap();
    let late = (keeper + 1) % VMS;
    for index in (0..VMS).filter(|index| *index != late) {
        world.event(index, Event::Loaded);
    }
    world.event(late, Event::StoreFailed);
    world.heal();
    assert!(world.vms[late].settled());
    assert_eq!(world.vms[keeper].tally().unconfirmed(), [name(late)]);
    world.event(late, Event::Loaded);
    world.heal();
    assert_eq!(world.vms[keeper].tally().unconfirmed(), []);
}

/// Story: a VM starts while the store is out, next to others that have just
/// started too. Taking requests by no documents at all would refuse them as
/// unknown services; it must wait for members that were ready.
#[test]
fn unready_peers_make_nobody_ready() {
    let mut world = World::new(11);
    for index in 0..VMS {
        world.event(index, Event::StoreFailed);
    }
    world.heal();
    assert!(world.vms.iter().all(|vm| !vm.settled()));
    for index in 1..VMS {
        world.event(index, Event::Loaded);
    }
    world.heal();
    assert!(world.vms.iter().all(Spread::settled));
}
