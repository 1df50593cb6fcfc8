use super::*;
use crate::time as clock;

fn key(text: &str) -> ids::Key {
    text.parse().unwrap()
}

fn entry(attempt: u64) -> head::Entry {
    let vm = "vm-0".parse().unwrap();
    head::Entry {
        token: head::Token::new(&vm, ids::Incarnation(1), ids::Attempt(attempt)),
        request: "r".parse().unwrap(),
        fingerprint: ids::Fingerprint(1),
        since: clock::Wall(1),
        upstream: "up".parse().unwrap(),
        state: head::State::Claimed,
        result: None,
    }
}

fn claim(commit: &mut Commit, ticket: u64, text: &str) {
    let change = change::Change::Claim(key(text), entry(ticket));
    commit.submit(change::Ticket(ticket), change);
}

fn lost_reply() -> store::Error {
    store::Error::Unconfirmed {
        key: "head".to_owned(),
        reason: "lost".to_owned(),
    }
}

/// Executes one action against `objects`.
fn step(commit: &mut Commit, objects: &mut store::Objects) -> Action {
    let action = commit.next();
    match &action {
        Action::ReadHead => commit.on_head_read(objects.get("head")),
        Action::ReadPage(page) => commit.on_page_read(page, objects.get(&page.id)),
        Action::WriteHead(body, condition) => {
            commit.on_head_written(objects.put("head", body.clone(), *condition));
        }
        Action::Backoff | Action::Idle => {}
    }
    action
}

fn until_idle(commit: &mut Commit, objects: &mut store::Objects) -> usize {
    let mut writes = 0;
    loop {
        match step(commit, objects) {
            Action::Idle => return writes,
            Action::WriteHead(..) => writes += 1,
            _ => {}
        }
    }
}

fn state(objects: &store::Objects, text: &str) -> Option<head::State> {
    let object = objects.get("head").ok()?;
    let head: head::Head = serde_json::from_slice(&object.body).unwrap();
    head.entries.get(&key(text)).map(|entry| entry.state)
}

#[test]
fn many_claims_are_committed_with_one_write() {
    let (mut commit, mut objects) = (Commit::default(), store::Objects::default());
    for ticket in 0..100 {
        claim(&mut commit, ticket, &format!("lot-{ticket}"));
    }
    assert_eq!(until_idle(&mut commit, &mut objects), 1);
    let granted = |(_, verdict): &(_, _)| matches!(verdict, change::Verdict::Granted);
    assert_eq!(
        commit.take_verdicts().iter().filter(|v| granted(v)).count(),
        100
    );
}

/// The reply to a claim's write is lost, a read shows no claim, and the caller is
/// answered "not run". If the delayed write took effect after that, the claim
/// would block every repeat forever.
#[test]
fn a_late_write_does_not_restore_an_abandoned_claim() {
    let (mut commit, mut objects) = (Commit::default(), store::Objects::default());
    claim(&mut commit, 1, "lot-1");
    assert!(matches!(step(&mut commit, &mut objects), Action::ReadHead));
    let Action::WriteHead(late, condition) = commit.next() else {
        panic!("no write");
    };
    commit.on_head_written(Err(lost_reply()));
    commit.abandon(change::Ticket(1), key("lot-1"), entry(1));
    assert!(matches!(step(&mut commit, &mut objects), Action::ReadHead));
    until_idle(&mut commit, &mut objects);
    let written = objects.put("head", late, condition);
    assert!(written.is_err(), "the late write took effect");
    assert_eq!(state(&objects, "lot-1"), Some(head::State::NotRun));
}

/// The reply to a claim's write is lost after the write took effect. Once the
/// claim is read back, it must be granted to its submitter, not refused.
#[test]
fn a_claim_with_a_lost_reply_is_granted_once_its_token_is_read_back() {
    let (mut commit, mut objects) = (Commit::default(), store::Objects::default());
    claim(&mut commit, 1, "lot-1");
    step(&mut commit, &mut objects);
    let Action::WriteHead(body, condition) = commit.next() else {
        panic!("no write");
    };
    objects.put("head", body, condition).unwrap();
    commit.on_head_written(Err(lost_reply()));
    assert_eq!(until_idle(&mut commit, &mut objects), 0);
    assert_eq!(commit.take_resolved_writes(), 1);
    let verdicts = commit.take_verdicts();
    assert!(
        matches!(verdicts[..], [(_, change::Verdict::Granted)]),
        "{verdicts:?}"
    );
}

/// A store that was restored to an older state lacks the claims made since. If
/// it were trusted, their keys would run again.
#[test]
fn an_older_state_of_the_store_grants_nothing() {
    let (mut commit, mut objects) = (Commit::default(), store::Objects::default());
    let older = objects.clone();
    claim(&mut commit, 1, "lot-1");
    until_idle(&mut commit, &mut objects);
    commit.take_verdicts();
    let mut objects = older;
    claim(&mut commit, 2, "lot-2");
    until_idle(&mut commit, &mut objects);
    let verdicts = commit.take_verdicts();
    assert!(
        matches!(verdicts[..], [(_, change::Verdict::Failed(_))]),
        "{verdicts:?}"
    );
}

/// While the store is down, claims are refused at the second consecutive failure,
/// and later ones at the next failure.
#[test]
fn claims_are_refused_while_the_store_is_down() {
    let down = || store::Error::Unavailable {
        reason: "down".to_owned(),
    };
    let mut commit = Commit::default();
    claim(&mut commit, 1, "lot-1");
    for _ in 0..FAILURES_BEFORE_REFUSAL {
        while !matches!(commit.next(), Action::ReadHead) {}
        commit.on_head_read(Err(down()));
    }
    assert_eq!(commit.take_verdicts().len(), 1);
    claim(&mut commit, 2, "lot-2");
    while !matches!(commit.next(), Action::ReadHead) {}
    commit.on_head_read(Err(down()));
    assert_eq!(commit.take_verdicts().len(), 1);
    assert!(commit.is_idle());
}
