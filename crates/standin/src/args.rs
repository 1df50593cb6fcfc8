//! The command line of the stand-ins.

use std::ffi;
use std::net;
use std::time;

use geraniumgauge::query;
use geraniumgauge_standin::drive;
use geraniumgauge_standin::measure;
use geraniumgauge_standin::site;

/// The help page.
pub(crate) const USAGE: &str = "\
usage: geraniumgauge-standin platform [--listen IP:PORT]
       geraniumgauge-standin upstream --site kowhai|authority --platform URL
                                      [--data-centres N] [--first-port N]
       geraniumgauge-standin load --site kowhai|authority --service NAME
                                  [--rate R] [--seconds N] [--records]
       geraniumgauge-standin demo
       geraniumgauge-standin measure list
       geraniumgauge-standin measure SCENARIO...|all [--json] [--seed N] [--policy NAME]

  --listen IP:PORT    where the platform listens (default 127.0.0.1:7400)
  --site NAME         whose upstreams to run
  --platform URL      where layouts and documents are put
  --data-centres N    data centres that the upstreams are spread over (default 3)
  --first-port N      port of the first upstream, the rest follow (default: any)
  --service NAME      the service to send to, at a site that scripts/site runs
  --rate R            requests a second (default 50)
  --seconds N         for how long (default 10)
  --records           send registrations instead of searches
  --json              one JSON line a scenario
  --seed N            seeds arrivals and faults (default 1)
  --policy NAME       full, no-hedge or direct (default full)

Faults are set while it runs, on the control paths of each stand-in:
  curl -X POST http://127.0.0.1:7400/control/faults -d '{\"down\": true}'

Exit status: 0 fine, 1 a promise was broken or a run failed, 2 usage.";

/// What is asked for.
#[derive(Debug)]
pub(crate) enum Order {
    /// Print the help page.
    Help,
    /// Run the platform.
    Platform { listen: net::SocketAddr },
    /// Run a site's upstreams.
    Upstream {
        site: site::Name,
        platform: String,
        data_centres: usize,
        first_port: Option<u16>,
    },
    /// Send requests to a site that runs as processes of its own.
    Load(drive::Config),
    /// Run the demo.
    Demo,
    /// Name the scenarios.
    List,
    /// Run scenarios.
    Measure {
        names: Vec<String>,
        context: measure::Context,
        json: bool,
    },
}

/// What is wrong with a command line.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub(crate) enum Error {
    /// A flag or its value.
    #[display("{_0}")]
    Flag(pico_args::Error),
    /// Something that isn't known or is missing.
    #[from(ignore)]
    #[display("{what}")]
    #[error(ignore)]
    Usage {
        /// What, and what to do.
        what: String,
    },
}

/// Reads the arguments after the program's name.
pub(crate) fn read(args: Vec<ffi::OsString>) -> Result<Order, Error> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Order::Help);
    }
    let order = match args.subcommand()?.as_deref() {
        Some("platform") => {
            let listen = args.opt_value_from_str("--listen")?;
            Order::Platform {
                listen: listen.unwrap_or(([127, 0, 0, 1], 7400).into()),
            }
        }
        Some("upstream") => Order::Upstream {
            site: args.value_from_str("--site")?,
            platform: args.value_from_str("--platform")?,
            data_centres: args.opt_value_from_str("--data-centres")?.unwrap_or(3),
            first_port: args.opt_value_from_str("--first-port")?,
        },
        Some("load") => Order::Load(drive::Config {
            site: args.value_from_str("--site")?,
            service: args.value_from_str("--service")?,
            rate: args
                .opt_value_from_str("--rate")?
                .unwrap_or(geraniumgauge::rate::PerSecond(50.0)),
            span: time::Duration::from_secs(args.opt_value_from_str("--seconds")?.unwrap_or(10)),
            records: args.contains("--records"),
        }),
        Some("demo") => Order::Demo,
        Some("measure") => return measure(args),
        Some(other) => return Err(usage(format!("no command {other:?}; see the list below"))),
        None => return Err(usage("no command; see the list below".to_owned())),
    };
    match args.finish().first() {
        Some(rest) => Err(usage(format!(
            "{} isn't known here",
            rest.to_string_lossy()
        ))),
        None => Ok(order),
    }
}

fn measure(mut args: pico_args::Arguments) -> Result<Order, Error> {
    let json = args.contains("--json");
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let policy = args
        .opt_value_from_str("--policy")?
        .unwrap_or(query::Policy::Full);
    let context = measure::Context { seed, policy };
    let rest = args.finish();
    let names: Vec<_> = rest
        .iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    let flag = names.iter().find(|name| name.starts_with('-'));
    match (names.first().map(String::as_str), flag) {
        (_, Some(flag)) => Err(usage(format!("{flag} isn't known here"))),
        (None, _) => Err(usage(
            "measure what? name scenarios, or all, or list".to_owned(),
        )),
        (Some("list"), _) => Ok(Order::List),
        (Some("all"), _) => {
            let names = measure::SCENARIOS
                .iter()
                .map(|scenario| scenario.name.to_owned());
            Ok(Order::Measure {
                names: names.collect(),
                context,
                json,
            })
        }
        _ => Ok(Order::Measure {
            names,
            context,
            json,
        }),
    }
}

fn usage(what: String) -> Error {
    Error::Usage { what }
}
