use super::*;

const LIMITS: Limits = Limits {
    silent_ticks: 4,
    idle_ticks: 10,
};

fn ticks(monitor: &mut Monitor, count: usize) -> Vec<Option<Action>> {
    (0..count).map(|_| monitor.handle(Event::Tick)).collect()
}

/// A device between two VMs drops the state of a connection: writes succeed, nothing
/// arrives, and each call over it runs into its deadline. The link must be given up
/// after a few unanswered heartbeats.
#[test]
fn a_link_whose_heartbeats_go_unanswered_is_silent() {
    let mut monitor = Monitor::new(LIMITS);
    monitor.handle(Event::FrameQueued);
    let seen = ticks(&mut monitor, 5);
    assert_eq!(seen[0], Some(Action::Send(1)));
    assert_eq!(seen[4], Some(Action::Silent));
}

#[test]
fn an_answered_link_that_stays_in_use_is_kept() {
    let mut monitor = Monitor::new(LIMITS);
    for round in 1..50 {
        monitor.handle(Event::FrameQueued);
        assert_eq!(monitor.handle(Event::Tick), Some(Action::Send(round)));
        monitor.handle(Event::Answered(round));
    }
}

/// With a few thousand VMs, heartbeats on unused links would use up the bandwidth of
/// the control traffic, so an idle link gets none.
#[test]
fn an_idle_link_gets_no_heartbeats_and_is_closed_in_the_end() {
    let mut monitor = Monitor::new(LIMITS);
    monitor.handle(Event::FrameQueued);
    assert_eq!(monitor.handle(Event::Tick), Some(Action::Send(1)));
    monitor.handle(Event::Answered(1));
    let seen = ticks(&mut monitor, 9);
    assert!(seen[..8].iter().all(Option::is_none));
    assert_eq!(seen[8], Some(Action::Idle));
}

/// A faulty peer that answers heartbeats never sent must not keep a link open.
#[test]
fn an_answer_to_a_heartbeat_never_sent_does_not_count() {
    let mut monitor = Monitor::new(LIMITS);
    monitor.handle(Event::FrameQueued);
    monitor.handle(Event::Tick);
    monitor.handle(Event::Answered(99));
    assert_eq!(ticks(&mut monitor, 4)[3], Some(Action::Silent));
}
