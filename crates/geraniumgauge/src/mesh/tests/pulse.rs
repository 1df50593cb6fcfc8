use super::*;

const LIMITS: Limits = Limits {
    silent: 4,
    idle: 10,
};

fn ticks(pulse: &mut Pulse, count: usize) -> Vec<Option<Action>> {
    (0..count).map(|_| pulse.handle(Event::Tick)).collect()
}

/// Story: something between two VMs forgets a connection. Writes succeed,
/// nothing arrives, and calls over it wait for their deadlines one by one.
/// The link must be given up after a few unanswered heartbeats.
#[test]
fn a_link_whose_heartbeats_go_unanswered_is_silent() {
    let mut pulse = Pulse::new(LIMITS);
    pulse.handle(Event::Sent);
    let seen = ticks(&mut pulse, 5);
    assert_eq!(seen[0], Some(Action::Beat(1)));
    assert_eq!(seen[4], Some(Action::Silent));
}

#[test]
fn an_answered_link_that_stays_in_use_is_kept() {
    let mut pulse = Pulse::new(LIMITS);
    for round in 1..50 {
        pulse.handle(Event::Sent);
        assert_eq!(pulse.handle(Event::Tick), Some(Action::Beat(round)));
        pulse.handle(Event::Answered(round));
    }
}

/// Story: at a few thousand VMs, heartbeats on links that nobody uses would
/// eat the bytes that control may spend. A quiet link is left alone.
#[test]
fn a_quiet_link_costs_nothing_and_is_closed_in_the_end() {
    let mut pulse = Pulse::new(LIMITS);
    pulse.handle(Event::Sent);
    assert_eq!(pulse.handle(Event::Tick), Some(Action::Beat(1)));
    pulse.handle(Event::Answered(1));
    let seen = ticks(&mut pulse, 9);
    assert!(seen[..8].iter().all(Option::is_none));
    assert_eq!(seen[8], Some(Action::Idle));
}

/// Story: a link is replaced, and an answer that a confused peer makes up must
/// not keep it alive for ever.
#[test]
fn an_answer_to_a_heartbeat_never_sent_does_not_count() {
    let mut pulse = Pulse::new(LIMITS);
    pulse.handle(Event::Sent);
    pulse.handle(Event::Tick);
    pulse.handle(Event::Answered(99));
    assert_eq!(ticks(&mut pulse, 4)[3], Some(Action::Silent));
}
