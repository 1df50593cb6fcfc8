use super::*;
use crate::mesh::message::Outcome;

fn delivery() -> Delivery {
    let upstream = |name: &str| name.parse::<ids::Upstream>().unwrap();
    let deadline = clock::Moment::from_millis(1000);
    Delivery::new(upstream("a"), [upstream("b")], deadline)
}

fn reply(outcome: Outcome) -> Event {
    Event::Reply(outcome, bytes::Bytes::new())
}

fn sent(action: &Action) -> Option<(&str, Home)> {
    match action {
        Action::Send(upstream, home) => Some((upstream.as_str(), *home)),
        Action::End(_) => None,
    }
}

/// If an upstream may have run a record before its connection was lost, sending it
/// to the other replica could issue the label twice.
#[test]
fn only_an_attempt_that_did_not_run_is_followed_by_another() {
    let outcomes = (0..=14).filter_map(|number| Outcome::try_from(number).ok());
    for outcome in outcomes.chain([Outcome::Unknown]) {
        let now = clock::Moment::from_millis(1);
        let action = delivery().on(reply(outcome), now, || true);
        let retried = sent(&action).is_some();
        assert_eq!(retried, outcome.not_run(), "{outcome:?} gave {action:?}");
    }
}

#[test]
fn a_record_past_its_deadline_is_not_sent() {
    let late = clock::Moment::from_millis(1000);
    let ended = delivery().start(late);
    assert!(matches!(ended, Action::End(End::NotRun(_))), "{ended:?}");
    let ended = delivery().on(reply(Outcome::Shed), late, || true);
    assert!(matches!(ended, Action::End(End::NotRun(_))), "{ended:?}");
}

/// When every upstream sheds load, retries without a budget would double the load
/// while there is the least capacity.
#[test]
fn only_another_replica_spends_from_the_retry_budget() {
    let now = clock::Moment::from_millis(1);
    let mut without_budget = delivery();
    let action = without_budget.on(Event::Unsent, now, || false);
    assert_eq!(sent(&action), Some(("a", Home::Standby)));
    let action = without_budget.on(reply(Outcome::Shed), now, || false);
    assert!(matches!(action, Action::End(End::NotRun(_))), "{action:?}");
    let mut with_budget = delivery();
    let action = with_budget.on(reply(Outcome::Shed), now, || true);
    assert_eq!(sent(&action), Some(("b", Home::Primary)));
    let action = with_budget.on(reply(Outcome::Shed), now, || true);
    assert!(matches!(action, Action::End(End::NotRun(_))), "{action:?}");
}
