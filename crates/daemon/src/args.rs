//! The daemon's command line.

use std::ffi;
use std::path;

/// Action that the command line selects.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Run a VM with this settings file.
    Run(path::PathBuf),
    /// Check this settings file and exit.
    Check(path::PathBuf),
    /// Print the help page.
    Help,
    /// Print the version.
    Version,
}

/// Error in the command line.
#[derive(Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub(crate) enum Error {
    /// `--settings` is missing or has no value.
    #[display("missing --settings FILE; give the path of the settings file")]
    MissingSettings,
    /// An argument that the daemon doesn't have.
    #[display("unexpected argument {argument:?}; expected one of the flags below")]
    UnexpectedArgument {
        /// The argument as given.
        argument: String,
    },
}

/// The flags and their descriptions.
const FLAGS: &[(&str, &str)] = &[
    (
        "--settings FILE",
        "settings file of this VM, JSON with comments",
    ),
    (
        "--check",
        "check the settings file, print all findings and exit with status 2 if there are any",
    ),
    (
        "--help",
        "print this help and every setting with its range and default",
    ),
    ("--version", "print the version"),
];

/// Returns the usage line, the flags and an example.
pub(crate) fn usage() -> String {
    let flags = FLAGS
        .iter()
        .map(|(flag, description)| format!("  {flag:<18}{description}"));
    let flags = flags.collect::<Vec<_>>().join("\n");
    format!(
        "usage: geraniumgauged --settings FILE [--check]\n\n{flags}\n\n\
         example: geraniumgauged --settings /etc/geraniumgauge/vm.json"
    )
}

/// Parses the arguments after the program's name.
pub(crate) fn read(args: Vec<ffi::OsString>) -> Result<Command, Error> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    let check = args.contains("--check");
    let path = args.value_from_os_str("--settings", |text| Ok::<_, Error>(text.into()));
    let path: path::PathBuf = path.map_err(|_| Error::MissingSettings)?;
    if let Some(rest) = args.finish().first() {
        return Err(Error::UnexpectedArgument {
            argument: rest.to_string_lossy().into_owned(),
        });
    }
    Ok(if check {
        Command::Check(path)
    } else {
        Command::Run(path)
    })
}

#[cfg(test)]
#[path = "tests/args.rs"]
mod tests;
