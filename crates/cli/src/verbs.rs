//! The table of verbs with their arguments, flags and examples, and the parser of
//! the command line that uses it.

use std::ffi;
use std::future;
use std::pin;

use crate::apply;
use crate::burn;
use crate::check;
use crate::failure;
use crate::invocation;
use crate::show;
use crate::status;
use crate::unsettled;
use crate::vms;

/// One verb of the command.
pub(crate) struct Verb {
    name: &'static str,
    arguments: &'static [&'static str],
    about: &'static str,
    flags: &'static [Flag],
    example: &'static str,
    run: Run,
}

/// One flag of a verb.
struct Flag {
    name: &'static str,
    /// Placeholder of its value in the help; `None` for a switch.
    value: Option<&'static str>,
    default: &'static str,
    about: &'static str,
}

type Outcome = Result<(), failure::Failure>;
type Run = fn(invocation::Invocation) -> pin::Pin<Box<dyn future::Future<Output = Outcome>>>;

const JSON: Flag = Flag {
    name: "--json",
    value: None,
    default: "off",
    about: "print JSON instead of tables",
};

/// Every verb, in the order of the help text.
static VERBS: &[Verb] = &[
    Verb {
        name: "check",
        arguments: &["FILE"],
        about: "Check a document without writing it, and print every finding.",
        flags: &[Flag {
            name: "--layout",
            value: None,
            default: "off",
            about: "check FILE as a layout instead",
        }],
        example: "geraniumgauge check port-inspection.jsonc",
        run: |invocation| Box::pin(check::run(invocation)),
    },
    Verb {
        name: "apply",
        arguments: &["SERVICE", "FILE"],
        about: "Check a document, write it, and wait until it is in force.",
        flags: &[
            Flag {
                name: "--if-version",
                value: Some("N"),
                default: "the stored version when the command starts",
                about: "write only if the stored document has this version, as printed by `show` \
                        (0 for a new service)",
            },
            Flag {
                name: "--wait",
                value: Some("SECONDS"),
                default: "10",
                about: "maximum time in seconds to wait for the document to be accepted and in \
                        force at all VMs (0: don't wait)",
            },
        ],
        example: "geraniumgauge apply port-inspection port-inspection.jsonc --if-version 41",
        run: |invocation| Box::pin(apply::run(invocation)),
    },
    Verb {
        name: "show",
        arguments: &["SERVICE"],
        about: "Print a service's document with its version and generation.",
        flags: &[],
        example: "geraniumgauge show port-inspection > port-inspection.jsonc",
        run: |invocation| Box::pin(show::run(invocation)),
    },
    Verb {
        name: "status",
        arguments: &["SERVICE"],
        about: "Show what is in force, at how many VMs, and what was refused.",
        flags: &[JSON],
        example: "geraniumgauge status port-inspection",
        run: |invocation| Box::pin(status::run(invocation)),
    },
    Verb {
        name: "burn",
        arguments: &["SERVICE"],
        about: "Show how fast a service uses up the error budgets of its objectives.",
        flags: &[
            JSON,
            Flag {
                name: "--output",
                value: Some("FILE"),
                default: "standard output",
                about: "write the report to FILE instead, as an HTML page (.html) or a plot (.svg)",
            },
        ],
        example: "geraniumgauge burn port-inspection --output burn.html",
        run: |invocation| Box::pin(burn::run(invocation)),
    },
    Verb {
        name: "unsettled",
        arguments: &["SERVICE"],
        about: "List claims without a known outcome: records that were sent with an \
                idempotency key and may or may not have been run.",
        flags: &[JSON],
        example: "geraniumgauge unsettled label-printing --json",
        run: |invocation| Box::pin(unsettled::run(invocation)),
    },
    Verb {
        name: "vms",
        arguments: &[],
        about: "Show the platform's list of VMs and what each VM reports.",
        flags: &[JSON],
        example: "geraniumgauge vms",
        run: |invocation| Box::pin(vms::run(invocation)),
    },
];

/// Parses the command line and runs its verb.
pub(crate) fn run(arguments: Vec<ffi::OsString>) -> Outcome {
    let mut input = pico_args::Arguments::from_vec(arguments);
    let help_requested = input.contains(["-h", "--help"]);
    if input.contains("--version") {
        println!("geraniumgauge {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let store = input
        .opt_value_from_str("--store")
        .map_err(|error| usage_error(error, None))?;
    let name = input
        .subcommand()
        .map_err(|error| usage_error(error, None))?;
    let Some(name) = name else {
        if help_requested {
            println!("{}", help());
            return Ok(());
        }
        return Err(usage_error(
            "missing verb; expected one of the verbs below",
            None,
        ));
    };
    let verb = VERBS.iter().find(|verb| verb.name == name);
    let verb = verb.ok_or_else(|| {
        usage_error(
            format!("unknown verb {name:?}; expected one of the verbs below"),
            None,
        )
    })?;
    if help_requested {
        println!("{}", verb.help());
        return Ok(());
    }
    let invocation = read(verb, input, store)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| failure::Failure::Other(error.to_string()))?;
    runtime.block_on((verb.run)(invocation))
}

fn read(
    verb: &'static Verb,
    mut input: pico_args::Arguments,
    store: Option<String>,
) -> Result<invocation::Invocation, failure::Failure> {
    let invalid_flag = |error: pico_args::Error| usage_error(error, Some(verb));
    let mut flags = Vec::new();
    for flag in verb.flags {
        let value: Option<String> = match flag.value {
            None => input.contains(flag.name).then(String::new),
            Some(_) => input.opt_value_from_str(flag.name).map_err(invalid_flag)?,
        };
        flags.extend(value.map(|value| (flag.name, value)));
    }
    let mut arguments = Vec::new();
    for argument in input.finish() {
        let text = argument.into_string().map_err(|text| {
            usage_error(
                format!("argument {} is not valid UTF-8", text.display()),
                Some(verb),
            )
        })?;
        if text.starts_with('-') && text.len() > 1 {
            return Err(usage_error(format!("unknown flag {text}"), Some(verb)));
        }
        arguments.push(text);
    }
    if arguments.len() != verb.arguments.len() {
        let expected = verb.arguments.join(" ");
        let expected = if expected.is_empty() {
            "no arguments"
        } else {
            &expected
        };
        let message = format!("expected {expected}; arguments given: {}", arguments.len());
        return Err(usage_error(message, Some(verb)));
    }
    Ok(invocation::Invocation {
        arguments,
        flags,
        store,
        help: verb.help(),
    })
}

fn usage_error(message: impl std::fmt::Display, verb: Option<&Verb>) -> failure::Failure {
    failure::Failure::Usage {
        message: message.to_string(),
        usage: verb.map_or_else(help, Verb::help),
    }
}

impl Verb {
    /// Returns the verb with its arguments and flags on one line.
    fn synopsis(&self) -> String {
        let mut words = vec!["geraniumgauge".to_owned(), self.name.to_owned()];
        words.extend(self.arguments.iter().map(|name| (*name).to_owned()));
        words.extend(self.flags.iter().map(|flag| match flag.value {
            None => format!("[{}]", flag.name),
            Some(value) => format!("[{} {value}]", flag.name),
        }));
        words.join(" ")
    }

    /// Returns the help text of the verb.
    fn help(&self) -> String {
        let mut page = format!("{}\n\n  {}\n", self.synopsis(), self.about);
        for flag in self.flags {
            let value = flag
                .value
                .map(|value| format!(" {value}"))
                .unwrap_or_default();
            let (name, about, default) = (flag.name, flag.about, flag.default);
            page.push_str(&format!(
                "\n  {name}{value}\n      {about}; default: {default}\n"
            ));
        }
        if self.name == "check" || self.name == "apply" {
            page.push_str("\nFields of a document:\n");
            page.push_str(&geraniumgauge::document::help());
        }
        page.push_str(&format!("\nExample:\n  {}", self.example));
        page
    }
}

/// Returns the help text of the whole command.
fn help() -> String {
    let mut page = String::from(
        "Checks, writes and shows geraniumgauge's documents and status in the platform's \
         store.\n\n",
    );
    for verb in VERBS {
        let (synopsis, about, example) = (verb.synopsis(), verb.about, verb.example);
        page.push_str(&format!("  {synopsis}\n      {about}\n      {example}\n"));
    }
    page.push_str(&format!(
        "\n  --store URL\n      base URL of the platform's store; \
         default: environment variable {store}\n\n\
         Exit status: 0 success, 1 refusal, conflict or store failure, 2 usage error.\n\
         See `geraniumgauge VERB --help` for details.",
        store = invocation::STORE_VARIABLE,
    ));
    page
}

#[cfg(test)]
#[path = "tests/verbs.rs"]
mod tests;
