//! The daemon's command line.

use std::ffi;
use std::path;

/// What the daemon is asked to do.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Run with this settings file.
    Run(path::PathBuf),
    /// Check this settings file.
    Check(path::PathBuf),
    /// Print the help page.
    Help,
    /// Print the version.
    Version,
}

/// What is wrong with a command line.
#[derive(Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub(crate) enum Error {
    /// No settings file is named.
    #[display("--settings FILE is missing; name the settings file")]
    Missing,
    /// Something that isn't known.
    #[display("{what} isn't known; see the flags below")]
    Unknown {
        /// The argument.
        what: String,
    },
}

/// Each flag with its meaning.
const FLAGS: &[(&str, &str)] = &[
    ("--settings FILE", "the settings, JSON with comments"),
    (
        "--check",
        "only check the settings; print findings and exit with 2 where there are any",
    ),
    (
        "--help",
        "print this page and each setting with its range and default",
    ),
    ("--version", "print the version"),
];

/// The flags, a line each.
pub(crate) fn usage() -> String {
    let flags = FLAGS.iter().map(|(flag, doc)| format!("  {flag:<18}{doc}"));
    let flags = flags.collect::<Vec<_>>().join("\n");
    format!(
        "usage: geraniumgauged --settings FILE [--check]\n\n{flags}\n\n\
         example: geraniumgauged --settings /etc/geraniumgauge/vm.json"
    )
}

/// Reads the arguments after the program's name.
pub(crate) fn read(args: Vec<ffi::OsString>) -> Result<Order, Error> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Order::Help);
    }
    if args.contains("--version") {
        return Ok(Order::Version);
    }
    let check = args.contains("--check");
    let path = args.value_from_os_str("--settings", |text| Ok::<_, Error>(text.into()));
    let path: path::PathBuf = path.map_err(|_| Error::Missing)?;
    if let Some(rest) = args.finish().first() {
        return Err(Error::Unknown {
            what: rest.to_string_lossy().into_owned(),
        });
    }
    Ok(if check {
        Order::Check(path)
    } else {
        Order::Run(path)
    })
}

#[cfg(test)]
#[path = "tests/args.rs"]
mod tests;
