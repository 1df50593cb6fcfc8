//! Tests of marks that are sent directly to every VM.

use std::collections;
use std::sync;

use tokio::sync::watch;

use crate::ids;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::Publisher as _;

#[derive(Default)]
struct Sent(sync::Mutex<Vec<(ids::Vm, message::Mark)>>);

impl mesh::Sender for Sent {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        if let message::Body::Mark(mark) = body {
            self.0.lock().unwrap().push((to.clone(), mark));
        }
        Ok(())
    }
}

struct Gossip;

impl quarantine::Publisher for Gossip {
    fn publish(&self, _: member::Update) {}
}

fn vm(number: usize) -> ids::Vm {
    format!("vm-{number:04}").parse().unwrap()
}

fn broadcast(local: usize, count: usize, sent: &sync::Arc<Sent>) -> quarantine::Broadcast {
    let member = |number| member::Member {
        vm: vm(number),
        incarnation: ids::Incarnation(1),
        data_centre: "dc".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        state: member::State::Alive,
    };
    let view = member::View::new(vm(local), (0..count).map(member).collect());
    let (_, view) = watch::channel(sync::Arc::new(view));
    quarantine::Broadcast {
        gossip: sync::Arc::new(Gossip),
        sender: sync::Arc::<Sent>::clone(sent),
        view,
    }
}

/// A query that crashed an upstream may be resent within milliseconds to any of
/// 2,200 VMs, while gossip takes seconds. Every VM must receive the mark directly,
/// over at most two hops.
#[test]
fn every_member_receives_a_mark_in_two_frames_at_most() {
    for count in [1, 8, 48, 49, 500, 2200] {
        let sent = sync::Arc::<Sent>::default();
        broadcast(3 % count, count, &sent).publish(member::Update {
            topic: member::Topic::Mark,
            key: "port/7".to_owned(),
            version: 1,
            body: bytes::Bytes::new(),
        });
        let first: Vec<_> = std::mem::take(&mut *sent.0.lock().unwrap());
        assert!(first.len() <= 50, "{} frames from one VM", first.len());
        for (to, mark) in &first {
            let number: usize = to.as_str()[3..].parse().unwrap();
            broadcast(number, count, &sent).relay(mark);
        }
        let second = sent.0.lock().unwrap();
        let all = first.iter().chain(second.iter()).map(|(to, _)| to.clone());
        let receivers: collections::BTreeSet<_> = all.chain([vm(3 % count)]).collect();
        assert_eq!(receivers.len(), count);
    }
}
