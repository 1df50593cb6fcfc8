use super::*;

fn parse(text: &str) -> Result<Command, Error> {
    read(text.split_whitespace().map(ffi::OsString::from).collect())
}

#[test]
fn flags_are_read_in_any_order() {
    assert_eq!(
        parse("--check --settings a.json"),
        Ok(Command::Check("a.json".into()))
    );
    assert_eq!(
        parse("--settings a.json"),
        Ok(Command::Run("a.json".into()))
    );
}

#[test]
fn an_unexpected_argument_and_missing_settings_are_errors() {
    let unexpected = Err(Error::UnexpectedArgument {
        argument: "--chekc".to_owned(),
    });
    assert_eq!(parse("--settings a.json --chekc"), unexpected);
    assert_eq!(parse("--check"), Err(Error::MissingSettings));
}
