//! Errors that end a command.

use geraniumgauge::finding;
use geraniumgauge::store;

/// Error that ends a command; its message says what to do next.
#[derive(Debug)]
#[derive(derive_more::Display)]
pub(crate) enum Failure {
    /// The command line is invalid.
    #[display("geraniumgauge: {message}\n\n{usage}")]
    Usage {
        /// Description of the error.
        message: String,
        /// Help text of the verb, or of the whole command if there is no verb.
        usage: String,
    },
    /// A document or a layout has findings.
    #[display("{}; {consequence}", format_findings(findings))]
    Findings {
        /// All findings in the text.
        findings: Vec<finding::Finding>,
        /// Consequence for the document in force, and what to do about the findings.
        consequence: &'static str,
    },
    /// Any other failure, such as a conflict, a missing status or an unreadable file.
    #[display("geraniumgauge: {_0}")]
    Other(String),
    /// A call of the store failed.
    #[display("geraniumgauge: {_0}; {}", remedy(_0))]
    Store(store::Error),
}

impl Failure {
    /// Returns the exit code: 2 for usage errors, 1 otherwise.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Findings { .. } | Self::Other(_) | Self::Store(_) => 1,
        }
    }
}

impl Failure {
    /// Returns the failure for a document or a layout that was not written to the store
    /// because of its findings.
    pub(crate) fn from_findings(findings: Vec<finding::Finding>) -> Self {
        let consequence = "nothing was written; fix them and try again";
        Self::Findings {
            findings,
            consequence,
        }
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Self {
        Self::Store(error)
    }
}

fn format_findings(findings: &[finding::Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    let count = lines.len();
    let noun = if count == 1 { "finding" } else { "findings" };
    format!("{}\n{count} {noun}", lines.join("\n"))
}

fn remedy(error: &store::Error) -> &'static str {
    match error {
        store::Error::Unavailable { .. } => {
            "check --store and try again; VMs keep using what is in force"
        }
        store::Error::Unconfirmed { .. } => "run `geraniumgauge show` to see what the store holds",
        store::Error::Conflict { .. } => "read the object again and retry",
        store::Error::Missing { .. } => "check the name of the service",
        store::Error::Refused { .. } => {
            "the store doesn't accept this key or content; check the name of the service and the \
             size of the document"
        }
    }
}
