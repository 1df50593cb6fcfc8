//! The table of verbs: names, arguments, flags and examples, and the reading of
//! the command line by it.

use std::ffi;
use std::future;
use std::pin;

use crate::apply;
use crate::burn;
use crate::call;
use crate::check;
use crate::failure;
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
    /// The name of its value; `None` for a switch.
    value: Option<&'static str>,
    default: &'static str,
    about: &'static str,
}

type Outcome = Result<(), failure::Failure>;
type Run = fn(call::Call) -> pin::Pin<Box<dyn future::Future<Output = Outcome>>>;

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
        about: "Check a document without writing it; every finding is printed.",
        flags: &[Flag {
            name: "--layout",
            value: None,
            default: "off",
            about: "check FILE as a layout instead",
        }],
        example: "geraniumgauge check port-inspection.jsonc",
        run: |call| Box::pin(check::run(call)),
    },
    Verb {
        name: "apply",
        arguments: &["SERVICE", "FILE"],
        about: "Check a document, write it, and wait until it is in force.",
        flags: &[
            Flag {
                name: "--if-version",
                value: Some("N"),
                default: "the version read at the start",
                about: "write only over this version, as `show` printed it; 0 for a new service",
            },
            Flag {
                name: "--wait",
                value: Some("SECONDS"),
                default: "10",
                about: "how long to wait for acceptance and for all VMs; 0 not at all",
            },
        ],
        example: "geraniumgauge apply port-inspection port-inspection.jsonc --if-version 41",
        run: |call| Box::pin(apply::run(call)),
    },
    Verb {
        name: "show",
        arguments: &["SERVICE"],
        about: "Print a service's document with its version and generation.",
        flags: &[],
        example: "geraniumgauge show port-inspection > port-inspection.jsonc",
        run: |call| Box::pin(show::run(call)),
    },
    Verb {
        name: "status",
        arguments: &["SERVICE"],
        about: "Show what is in force, at how many VMs, and what was refused.",
        flags: &[JSON],
        example: "geraniumgauge status port-inspection",
        run: |call| Box::pin(status::run(call)),
    },
    Verb {
        name: "burn",
        arguments: &["SERVICE"],
        about: "Show how fast a service spends the budgets of its objectives.",
        flags: &[
            JSON,
            Flag {
                name: "--output",
                value: Some("FILE"),
                default: "none",
                about: "write a page (.html) or a plot (.svg) instead",
            },
        ],
        example: "geraniumgauge burn port-inspection --output burn.html",
        run: |call| Box::pin(burn::run(call)),
    },
    Verb {
        name: "unsettled",
        arguments: &["SERVICE"],
        about: "List registrations that were claimed and whose end isn't known.",
        flags: &[JSON],
        example: "geraniumgauge unsettled label-printing --json",
        run: |call| Box::pin(unsettled::run(call)),
    },
    Verb {
        name: "vms",
        arguments: &[],
        about: "List the platform's VMs beside what they report.",
        flags: &[JSON],
        example: "geraniumgauge vms",
        run: |call| Box::pin(vms::run(call)),
    },
];

/// Reads the command line and runs its verb.
pub(crate) fn run(arguments: Vec<ffi::OsString>) -> Outcome {
    let mut input = pico_args::Arguments::from_vec(arguments);
    let help = input.contains(["-h", "--help"]);
    if input.contains("--version") {
        println!("geraniumgauge {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let store = input
        .opt_value_from_str("--store")
        .map_err(|error| usage(error, None))?;
    let name = input.subcommand().map_err(|error| usage(error, None))?;
    let Some(name) = name else {
        if help {
            println!("{}", page());
            return Ok(());
        }
        return Err(usage("give a verb", None));
    };
    let verb = VERBS.iter().find(|verb| verb.name == name);
    let verb = verb.ok_or_else(|| usage(format!("there is no verb {name:?}"), None))?;
    if help {
        println!("{}", verb.page());
        return Ok(());
    }
    let call = read(verb, input, store)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| failure::Failure::Refused(error.to_string()))?;
    runtime.block_on((verb.run)(call))
}

fn read(
    verb: &'static Verb,
    mut input: pico_args::Arguments,
    store: Option<String>,
) -> Result<call::Call, failure::Failure> {
    let wrong = |error: pico_args::Error| usage(error, Some(verb));
    let mut flags = Vec::new();
    for flag in verb.flags {
        let value: Option<String> = match flag.value {
            None => input.contains(flag.name).then(String::new),
            Some(_) => input.opt_value_from_str(flag.name).map_err(wrong)?,
        };
        flags.extend(value.map(|value| (flag.name, value)));
    }
    let mut arguments = Vec::new();
    for argument in input.finish() {
        let text = argument
            .into_string()
            .map_err(|text| usage(format!("{} is no UTF-8", text.display()), Some(verb)))?;
        if text.starts_with('-') && text.len() > 1 {
            return Err(usage(format!("there is no flag {text}"), Some(verb)));
        }
        arguments.push(text);
    }
    if arguments.len() != verb.arguments.len() {
        let wanted = verb.arguments.join(" ");
        let wanted = if wanted.is_empty() {
            "no arguments"
        } else {
            &wanted
        };
        let message = format!("give {wanted}; {} were given", arguments.len());
        return Err(usage(message, Some(verb)));
    }
    Ok(call::Call {
        arguments,
        flags,
        store,
        help: verb.page(),
    })
}

fn usage(message: impl std::fmt::Display, verb: Option<&Verb>) -> failure::Failure {
    failure::Failure::Usage {
        message: message.to_string(),
        usage: verb.map_or_else(page, Verb::page),
    }
}

impl Verb {
    fn synopsis(&self) -> String {
        let mut words = vec!["geraniumgauge".to_owned(), self.name.to_owned()];
        words.extend(self.arguments.iter().map(|name| (*name).to_owned()));
        words.extend(self.flags.iter().map(|flag| match flag.value {
            None => format!("[{}]", flag.name),
            Some(value) => format!("[{} {value}]", flag.name),
        }));
        words.join(" ")
    }

    fn page(&self) -> String {
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

/// The help text of the whole command.
fn page() -> String {
    let mut page = String::from("Operates geraniumgauge through the platform's object API.\n\n");
    for verb in VERBS {
        let (synopsis, about, example) = (verb.synopsis(), verb.about, verb.example);
        page.push_str(&format!("  {synopsis}\n      {about}\n      {example}\n"));
    }
    page.push_str(&format!(
        "\n  --store URL\n      the platform's object API; default: the environment's {store}\n\n\
         Exit status: 0 fine, 1 refused, conflict or store failure, 2 usage.\n\
         `geraniumgauge VERB --help` tells more.",
        store = call::STORE,
    ));
    page
}

#[cfg(test)]
#[path = "tests/verbs.rs"]
mod tests;
