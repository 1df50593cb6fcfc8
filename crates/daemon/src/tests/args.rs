use super::*;

fn parse(text: &str) -> Result<Order, Error> {
    read(text.split_whitespace().map(ffi::OsString::from).collect())
}

#[test]
fn flags_are_read_in_any_order() {
    assert_eq!(
        parse("--check --settings a.json"),
        Ok(Order::Check("a.json".into()))
    );
    assert_eq!(parse("--settings a.json"), Ok(Order::Run("a.json".into())));
}

#[test]
fn what_is_not_known_is_named() {
    let unknown = Err(Error::Unknown {
        what: "--chekc".to_owned(),
    });
    assert_eq!(parse("--settings a.json --chekc"), unknown);
    assert_eq!(parse("--check"), Err(Error::Missing));
}
