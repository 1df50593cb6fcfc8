//! Sets up logging: JSON lines to standard error or to a file.

use std::io;
use std::time;

use geraniumgauge::logs;

use crate::settings;

/// Reason why logging can't be set up.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub(crate) enum Error {
    /// The log file can't be opened.
    #[display("failed to open log.file {file}: {reason}; give a path that this user can write")]
    File {
        /// Path of the log file.
        file: String,
        /// Error that the system returned.
        reason: io::Error,
    },
    /// A logger is already installed in this process.
    #[display("logging is already initialized")]
    AlreadyInitialized,
}

/// Installs the logger that `settings` describe.
///
/// # Errors
/// Returns an error if the log file can't be opened or a logger is already
/// installed.
pub(crate) fn init(settings: &settings::Settings) -> Result<(), Error> {
    let vm = settings.vm.to_string();
    let dispatch = fern::Dispatch::new()
        .level(settings.log.level)
        .level_for("rocket", settings.log.level.min(log::LevelFilter::Warn))
        .level_for("hyper", settings.log.level.min(log::LevelFilter::Warn))
        .format(move |out, message, record| {
            let line = logs::format(&vm, time::SystemTime::now(), &message.to_string(), record);
            out.finish(format_args!("{line}"));
        });
    let dispatch = match &settings.log.file {
        None => dispatch.chain(io::stderr()),
        Some(file) => dispatch.chain(fern::log_file(file).map_err(|reason| Error::File {
            file: file.display().to_string(),
            reason,
        })?),
    };
    dispatch.apply().map_err(|_| Error::AlreadyInitialized)
}
