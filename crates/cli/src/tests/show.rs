use super::*;

/// An operator repeatedly saves the output of `show`, edits and applies it. The
/// comments that `show` adds must not accumulate, and other comments must stay.
#[test]
fn what_is_shown_can_be_applied_and_shown_again() {
    let service = "desk".parse().unwrap();
    let text = "// ours\n{\"team\": \"a\"}\n";
    let mut object = store::Object {
        version: ids::ObjectVersion(5),
        body: text.into(),
    };
    let first = annotate(&service, &object, None);
    assert!(document::parse("d", &first).is_ok());
    object.body = first.clone().into();
    assert_eq!(annotate(&service, &object, None), first);
    assert!(first.ends_with(text));
}

#[test]
fn a_text_that_is_not_in_force_shows_where_it_differs() {
    let service = "desk".parse().unwrap();
    let object = store::Object {
        version: ids::ObjectVersion(5),
        body: "{\"team\": \"a\", \"deadline_ms\": 700}".into(),
    };
    let accepted = keeper::Accepted {
        generation: ids::Generation(2),
        considered: ids::ObjectVersion(3),
        document: document::parse("d", "{\"team\": \"a\"}").unwrap(),
    };
    let shown = annotate(&service, &object, Some(&accepted));
    assert!(shown.contains("//   deadline_ms: 1000 -> 700"), "{shown}");
}
