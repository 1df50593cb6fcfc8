//! The command line of the stand-ins.

use std::ffi;
use std::net;
use std::time;

use geraniumgauge::query;
use geraniumgauge_standin::measure;
use geraniumgauge_standin::site;
use geraniumgauge_standin::site_load;

/// The help text.
pub(crate) const USAGE: &str = "\
usage: geraniumgauge-standin platform [--listen IP:PORT]
       geraniumgauge-standin upstream --site kowhai|authority --platform URL
                                      [--data-centres N] [--first-port N]
       geraniumgauge-standin load --site kowhai|authority --service NAME
                                  [--rate R] [--seconds N] [--records]
       geraniumgauge-standin demo
       geraniumgauge-standin measure list
       geraniumgauge-standin measure SCENARIO...|all [--json] [--seed N] [--policy NAME]

  --listen IP:PORT    address that the platform listens on (default 127.0.0.1:7400)
  --site NAME         the site: kowhai or authority
  --platform URL      base URL of the platform to write layouts and documents to
  --data-centres N    number of data centres that the upstreams are spread over (default 3)
  --first-port N      port of the first upstream; the others follow (default: free ports)
  --service NAME      service to send requests to, of a site run by scripts/site
  --rate R            requests per second (default 50)
  --seconds N         duration of the load in seconds (default 10)
  --records           send registrations instead of searches
  --json              print one line of JSON per scenario
  --seed N            seed for arrivals and faults (default 1)
  --policy NAME       how VMs call the upstreams: full (all features), no-hedge (full
                      without hedges) or direct (round robin with plain retries)
                      (default full)

Faults can be set on a running stand-in through its control paths, for example:
  curl -X POST http://127.0.0.1:7400/control/faults -d '{\"down\": true}'

Exit status: 0 on success, 1 if a violation was found or a command failed, 2 for a
wrong command line.";

/// A parsed command line.
#[derive(Debug)]
pub(crate) enum Command {
    /// Print the help text.
    Help,
    /// Run the platform.
    Platform { listen: net::SocketAddr },
    /// Run a site's upstreams.
    Upstream {
        site: site::Preset,
        platform: String,
        data_centres: usize,
        first_port: Option<u16>,
    },
    /// Send requests to a site that `scripts/site` runs.
    Load(site_load::Config),
    /// Run the demo.
    Demo,
    /// List the scenarios.
    List,
    /// Run scenarios.
    Measure {
        names: Vec<String>,
        context: measure::Context,
        json: bool,
    },
}

/// Errors in a command line.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub(crate) enum Error {
    /// A flag's value is missing or invalid.
    #[display("{_0}")]
    Flag(pico_args::Error),
    /// A command or argument is missing or unknown.
    #[from(ignore)]
    #[display("{message}")]
    #[error(ignore)]
    Usage {
        /// What is wrong and what to do.
        message: String,
    },
}

/// Parses the arguments after the program's name.
pub(crate) fn parse(args: Vec<ffi::OsString>) -> Result<Command, Error> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let command = match args.subcommand()?.as_deref() {
        Some("platform") => {
            let listen = args.opt_value_from_str("--listen")?;
            Command::Platform {
                listen: listen.unwrap_or(([127, 0, 0, 1], 7400).into()),
            }
        }
        Some("upstream") => Command::Upstream {
            site: args.value_from_fn("--site", parse_site)?,
            platform: args.value_from_str("--platform")?,
            data_centres: args.opt_value_from_str("--data-centres")?.unwrap_or(3),
            first_port: args.opt_value_from_str("--first-port")?,
        },
        Some("load") => Command::Load(site_load::Config {
            site: args.value_from_fn("--site", parse_site)?,
            service: args.value_from_str("--service")?,
            rate: args
                .opt_value_from_str("--rate")?
                .unwrap_or(geraniumgauge::rate::PerSecond(50.0)),
            duration: time::Duration::from_secs(
                args.opt_value_from_str("--seconds")?.unwrap_or(10),
            ),
            send_registrations: args.contains("--records"),
        }),
        Some("demo") => Command::Demo,
        Some("measure") => return parse_measure(args),
        Some(other) => return Err(usage(format!("{other:?} is not a command; see below"))),
        None => return Err(usage("a command is missing; see below".to_owned())),
    };
    match args.finish().first() {
        Some(extra) => Err(usage(format!(
            "unexpected argument {:?}",
            extra.to_string_lossy()
        ))),
        None => Ok(command),
    }
}

fn parse_measure(mut args: pico_args::Arguments) -> Result<Command, Error> {
    let json = args.contains("--json");
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let policy = args
        .opt_value_from_fn("--policy", parse_policy)?
        .unwrap_or(query::Policy::Full);
    let context = measure::Context { seed, policy };
    let remaining = args.finish();
    let names: Vec<_> = remaining
        .iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    let flag = names.iter().find(|name| name.starts_with('-'));
    match (names.first().map(String::as_str), flag) {
        (_, Some(flag)) => Err(usage(format!("unexpected argument {flag:?}"))),
        (None, _) => Err(usage(
            "measure needs a scenario, `all` or `list`".to_owned(),
        )),
        (Some("list"), _) => Ok(Command::List),
        (Some("all"), _) => {
            let names = measure::SCENARIOS
                .iter()
                .map(|scenario| scenario.name.to_owned());
            Ok(Command::Measure {
                names: names.collect(),
                context,
                json,
            })
        }
        _ => Ok(Command::Measure {
            names,
            context,
            json,
        }),
    }
}

fn parse_site(text: &str) -> Result<site::Preset, String> {
    text.parse()
        .map_err(|_| "not a site; expected kowhai or authority".to_owned())
}

fn parse_policy(text: &str) -> Result<query::Policy, String> {
    text.parse()
        .map_err(|_| "not a policy; expected full, no-hedge or direct".to_owned())
}

fn usage(message: String) -> Error {
    Error::Usage { message }
}
