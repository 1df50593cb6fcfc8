use crate::edge::backlog;
use crate::edge::frame;

fn ask(calls: &[u64]) -> frame::Kind {
    let calls = calls.iter().map(|id| frame::Call {
        id: *id,
        ..frame::Call::default()
    });
    frame::Kind::Ask(frame::Ask {
        calls: calls.collect(),
        ..frame::Ask::default()
    })
}

fn leave(calls: &[u64]) -> frame::Kind {
    frame::Kind::Leave(frame::Leave {
        calls: calls.to_vec(),
    })
}

/// A VM is paused for two seconds. Meanwhile another one asks it for calls,
/// hears nothing, calls elsewhere and leaves them. When the VM wakes it made
/// all of those calls first, for searches answered long ago.
#[test]
fn calls_that_were_left_meanwhile_are_not_made() {
    let mut batch = vec![ask(&[1, 2]), ask(&[3, 4]), leave(&[1, 2, 4]), ask(&[5])];
    backlog::prune(&mut batch);
    assert!(batch == [ask(&[3]), leave(&[1, 2, 4]), ask(&[5])]);
}

#[test]
fn messages_that_leave_nothing_stay() {
    let mut batch = vec![ask(&[1]), frame::Kind::Bye(frame::Bye {})];
    backlog::prune(&mut batch);
    assert!(batch == [ask(&[1]), frame::Kind::Bye(frame::Bye {})]);
}
