//! Starts logging: JSON lines to standard error or to a file.

use std::io;
use std::time;

use geraniumgauge::logs;

use crate::settings;

/// Why logging can't start.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub(crate) enum Error {
    /// The file can't be opened.
    #[display("log.file {file} can't be opened: {reason}; give a path that this user may write")]
    File {
        /// Its path.
        file: String,
        /// What the system said.
        reason: io::Error,
    },
    /// Logging was set up before in this process.
    #[display("logging is set up already")]
    Twice,
}

/// Starts logging as `settings` say.
///
/// # Errors
/// Where the file can't be opened or logging is set up already.
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
    dispatch.apply().map_err(|_| Error::Twice)
}
