//! Simulates the document distribution ([`Spread`]) of a whole fleet in virtual time.
//! A frame takes a millisecond, a gossip update up to two seconds.

use super::*;
use crate::events;

const VMS: usize = 2200;
const SERVICES: u8 = 20;
const MICROS_PER_MILLI: u64 = 1000;

struct Fleet {
    vms: Vec<Spread>,
    indices: collections::BTreeMap<ids::Vm, usize>,
    queue: events::Queue<(usize, Event)>,
    now: clock::Moment,
    random: rand::rngs::StdRng,
    /// Time at which each VM last applied a version.
    applied: Vec<Option<clock::Moment>>,
    /// Number of entries that each VM sent.
    served: Vec<u64>,
    /// Number of frames that each VM received.
    frames: Vec<u64>,
    /// Number of reads of the store that all VMs requested.
    store_reads: u64,
}

fn vm(index: usize) -> ids::Vm {
    format!("vm-{index:04}").parse().unwrap()
}

fn data_centre(index: usize) -> ids::DataCentre {
    format!("dc-{}", index % 3).parse().unwrap()
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let member = |index| member::Member {
            vm: vm(index),
            incarnation: ids::Incarnation(1),
            data_centre: data_centre(index),
            address: "127.0.0.1:1".parse().unwrap(),
            state: member::State::Alive,
        };
        let members: Vec<_> = (0..VMS).map(member).collect();
        let mut fleet = Self {
            vms: Vec::new(),
            indices: (0..VMS).map(|index| (vm(index), index)).collect(),
            queue: events::Queue::default(),
            now: clock::Moment(0),
            random: rand::rngs::StdRng::seed_from_u64(seed),
            applied: vec![None; VMS],
            served: vec![0; VMS],
            frames: vec![0; VMS],
            store_reads: 0,
        };
        for index in 0..VMS {
            let seed = seed.wrapping_mul(VMS as u64) + index as u64;
            let mut spread = Spread::new(vm(index), seed, fleet.now);
            let view = member::View::new(vm(index), members.clone());
            let roles = roles::Roles::of(&view, &data_centre(index));
            spread.handle(Event::View(roles), fleet.now);
            for service in 0..SERVICES {
                let document = stored_document(1);
                let name = format!("service-{service}").parse().unwrap();
                spread.handle(
                    Event::Stored(name, held::Kind::Document, document),
                    fleet.now,
                );
            }
            spread.handle(Event::Loaded, fleet.now);
            fleet.vms.push(spread);
            let first = fleet.random.random_range(0..100 * MICROS_PER_MILLI);
            fleet.schedule(first, index, Event::Tick);
        }
        fleet
    }

    fn schedule(&mut self, micros: u64, vm: usize, event: Event) {
        let at = clock::Moment(self.now.0 + micros);
        self.queue.push(at, (vm, event));
    }

    fn run(&mut self, until: clock::Moment, update_loss_probability: f64) {
        while let Some((at, (vm, event))) = self.queue.pop(until) {
            self.now = at;
            if matches!(event, Event::Tick) {
                self.schedule(100 * MICROS_PER_MILLI, vm, Event::Tick);
            }
            self.event(vm, event, update_loss_probability);
        }
        self.now = until;
    }

    fn event(&mut self, index: usize, event: Event, update_loss_probability: f64) {
        for action in self.vms[index].handle(event, self.now) {
            match action {
                Action::Apply(..) => self.applied[index] = Some(self.now),
                Action::Send(to, body) => self.send(index, &to, body),
                Action::Publish(update) => {
                    for vm in 0..VMS {
                        let delay = self.random.random_range(0..2000 * MICROS_PER_MILLI);
                        if !self.random.random_bool(update_loss_probability) {
                            self.schedule(delay, vm, Event::Update(update.clone()));
                        }
                    }
                }
                Action::Fetch(_) => self.store_reads += 1,
                Action::Ready(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &ids::Vm, body: message::Body) {
        let receiver = self.indices[to];
        self.frames[receiver] += 1;
        let event = match body {
            message::Body::Pull(pull) => Event::Pull(vm(from), pull),
            message::Body::Pulled(pulled) => {
                self.served[from] += pulled.entries.len() as u64;
                Event::Pulled(vm(from), pulled)
            }
            _ => unreachable!("only pulls are sent"),
        };
        self.schedule(MICROS_PER_MILLI, receiver, event);
    }
}

fn stored_document(version: u64) -> held::VersionedBody {
    let document = crate::document::Document::default();
    held::VersionedBody {
        version,
        body: serde_json::to_vec(&document).unwrap().into(),
        object: ids::ObjectVersion(version),
    }
}

/// If all VMs of the largest fleet asked the few watchers at the same time, these
/// would be overloaded and the last VMs would apply an edit late. All must apply it
/// within six seconds, and no VM may serve more than a small part of the fleet.
#[test]
fn an_edit_reaches_the_largest_fleet_in_time_and_overloads_no_vm() {
    let update_loss_probability = 0.3;
    let mut fleet = Fleet::new(2);
    let edited = clock::Moment(12_000 * MICROS_PER_MILLI);
    fleet.run(edited, 0.0);
    fleet.applied.fill(None);
    fleet.served.fill(0);
    fleet.frames.fill(0);
    // All watchers read the accepted record when their watches report it.
    for watcher in fleet.vms[0].roles().watchers.clone() {
        let service = "service-3".parse().unwrap();
        let edit = Event::Stored(service, held::Kind::Document, stored_document(2));
        let delay = fleet.random.random_range(0..100 * MICROS_PER_MILLI);
        fleet.schedule(delay, fleet.indices[&watcher], edit);
    }
    fleet.run(
        edited + time::Duration::from_secs(6),
        update_loss_probability,
    );
    let last = fleet.applied.iter().copied().collect::<Option<Vec<_>>>();
    let last = last
        .and_then(|all| all.into_iter().max())
        .expect("all apply it");
    let served = fleet.served.iter().max().unwrap();
    let frames = fleet.frames.iter().max().unwrap();
    let mean = fleet.frames.iter().sum::<u64>() / VMS as u64;
    println!(
        "lost updates {update_loss_probability}: last after {:?}, most entries sent by one VM \
         {served}, frames in 6 s: most at one VM {frames}, mean {mean}, store reads {}",
        last.since(edited),
        fleet.store_reads
    );
    assert!(*served < VMS as u64 / 10, "{served} entries sent by one VM");
    assert!(*frames < 2 * VMS as u64, "{frames} frames at one VM");
    assert!(fleet.store_reads < 10, "VMs had to read the store");
}
