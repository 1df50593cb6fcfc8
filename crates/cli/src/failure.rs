//! Why a command ends without success.

use geraniumgauge::finding;
use geraniumgauge::store;

/// Why a command ends without success; its text says what to do next.
#[derive(Debug)]
#[derive(derive_more::Display)]
pub(crate) enum Failure {
    /// The command line can't be understood.
    #[display("geraniumgauge: {message}\n\n{usage}")]
    Usage {
        /// What is wrong.
        message: String,
        /// The help text that applies.
        usage: String,
    },
    /// A text has findings.
    #[display("{}; {ending}", list(findings))]
    Findings {
        /// Everything wrong with it.
        findings: Vec<finding::Finding>,
        /// What that means for what is in force.
        ending: &'static str,
    },
    /// Refused, in conflict, or nothing to show.
    #[display("geraniumgauge: {_0}")]
    Refused(String),
    /// The store failed.
    #[display("geraniumgauge: {_0}; {}", remedy(_0))]
    Store(store::Error),
}

impl Failure {
    /// The exit code: 2 for usage, else 1.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Findings { .. } | Self::Refused(_) | Self::Store(_) => 1,
        }
    }
}

impl Failure {
    /// Findings of a text that was not written.
    pub(crate) fn unwritten(findings: Vec<finding::Finding>) -> Self {
        let ending = "mend them; nothing was written";
        Self::Findings { findings, ending }
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Self {
        Self::Store(error)
    }
}

fn list(findings: &[finding::Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    let count = lines.len();
    let things = if count == 1 { "finding" } else { "findings" };
    format!("{}\n{count} {things}", lines.join("\n"))
}

fn remedy(error: &store::Error) -> &'static str {
    match error {
        store::Error::Unavailable { .. } => {
            "check --store and try again; VMs go on with what is in force"
        }
        store::Error::Unconfirmed { .. } => "run `geraniumgauge show` to see what the store holds",
        store::Error::Conflict { .. } => "read it again and try again",
        store::Error::Missing { .. } => "check the service's name",
        store::Error::Refused { .. } => "this is a fault of the stored object; report it",
    }
}
