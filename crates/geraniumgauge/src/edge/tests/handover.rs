//! What a VM that stops has spent of the allowance for extra calls.

use std::time;

use prost::Message as _;
use tokio::io::AsyncReadExt as _;

use super::state as world;
use crate::edge::frame;
use crate::edge::state;

/// A VM that a successor connects to.
struct Keeper {
    state: state::State,
    successor: tokio::net::TcpStream,
    peer: u64,
}

impl Keeper {
    async fn new() -> Self {
        let mut state = world::small_vm(world::address(9), 1);
        let (sender, successor) = world::connection().await;
        let peer = state.peer_accepted(sender);
        Self {
            state,
            successor,
            peer,
        }
    }

    /// Returns what the successor of the VM at `vm` is told.
    async fn told(&mut self, vm: &str, seconds: u64) -> Option<frame::Spending> {
        let asked = frame::TakeSpending { vm: vm.to_owned() };
        let now = world::NOW + time::Duration::from_secs(seconds);
        self.state.tell_spending(self.peer, &asked, now);
        // Marks the end of what was told.
        let end = frame::Kind::GoAway(frame::GoAway {});
        self.state.send_to(self.peer, end);
        let mut told = None;
        loop {
            match self.read().await {
                frame::Kind::Spending(spent) => told = Some(spent),
                frame::Kind::GoAway(_) => return told,
                other => panic!("{other:?}"),
            }
        }
    }

    async fn read(&mut self) -> frame::Kind {
        let length = self.successor.read_u32().await.expect("a frame");
        let mut bytes = vec![0; length as usize];
        let read = self.successor.read_exact(&mut bytes).await;
        read.expect("a whole frame");
        let frame = frame::Frame::decode(&bytes[..]).expect("a valid frame");
        frame.kind.expect("a known kind")
    }
}

fn spent(vm: &str) -> frame::Spending {
    frame::Spending {
        vm: vm.to_owned(),
        own: 0.25,
        lent: None,
        services: Vec::new(),
    }
}

/// Guards against shares that are spent twice: a VM is killed soon after its start, and its
/// second successor is told the same as the first one.
#[test]
fn what_a_vm_has_spent_is_told_once_and_within_a_window() {
    world::run(async {
        let mut keeper = Keeper::new().await;
        keeper.state.keep_spending(spent("a"), world::NOW);
        keeper.state.keep_spending(spent("b"), world::NOW);
        assert_eq!(keeper.told("c", 1).await, None);
        keeper.state.keep_spending(spent("a"), world::NOW);
        assert_eq!(keeper.told("a", 1).await, Some(spent("a")));
        assert_eq!(keeper.told("a", 2).await, None);
        assert_eq!(keeper.told("b", 11).await, None);
    });
}

/// Guards against a successor that is told less than its predecessor has spent.
#[test]
fn what_a_vm_has_spent_is_read_as_it_was_sent() {
    let sent = frame::Spending {
        lent: Some(0.5),
        services: vec![frame::ServiceSpending {
            service: "s".to_owned(),
            own: 2,
            shared: 3,
            in_transit: true,
        }],
        ..spent("127.0.0.1:7000")
    };
    let read = sent.read().expect("valid");
    let vm = sent.vm.parse().expect("an address");
    assert_eq!(frame::Spending::new(vm, &read), sent);
}
