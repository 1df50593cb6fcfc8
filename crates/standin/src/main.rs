//! Command line of the stand-ins for the platform and for upstreams, the demo and the
//! measurements.

mod args;

use std::fmt::Write as _;
use std::process;

use geraniumgauge_standin::demo;
use geraniumgauge_standin::measure;
use geraniumgauge_standin::platform;
use geraniumgauge_standin::site;
use geraniumgauge_standin::site_load;
use log::kv;

/// Exit status for a wrong command line.
const EXIT_USAGE: u8 = 2;

fn main() -> process::ExitCode {
    let command = match args::parse(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("geraniumgauge-standin: {error}\n\n{}", args::USAGE);
            return EXIT_USAGE.into();
        }
    };
    init_logging();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let code = runtime.block_on(execute(command));
    runtime.shutdown_background();
    code
}

/// Logs warnings to standard error, and what VMs say of incomplete answers, canaries,
/// marks, lost connections, members and links. A VM's lines have its name, which is that
/// of its thread. Must run before rocket starts, which would otherwise install its own
/// logger.
fn init_logging() {
    let warnings = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("rocket", log::LevelFilter::Error)
        .level_for("geraniumgauge::query", log::LevelFilter::Debug)
        .level_for("geraniumgauge::quarantine", log::LevelFilter::Debug)
        .level_for("geraniumgauge::home::worker", log::LevelFilter::Info)
        .level_for("geraniumgauge::member", log::LevelFilter::Info)
        .level_for("geraniumgauge::mesh", log::LevelFilter::Info)
        .level_for("geraniumgauge_standin::measure", log::LevelFilter::Info)
        .format(|out, message, record| {
            let mut pairs = String::new();
            // Writing to a string can't fail.
            let _ = record.key_values().visit(&mut Pairs(&mut pairs));
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let thread = std::thread::current();
            let name = thread.name().unwrap_or("-");
            out.finish(format_args!("{now} {name} {message}{pairs}"));
        })
        .chain(std::io::stderr());
    let _ = warnings.apply();
}

/// Writes key-values behind the message of a log line.
struct Pairs<'t>(&'t mut String);

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let written = write!(self.0, " {key}={value}");
        written.map_err(kv::Error::from)
    }
}

async fn execute(command: args::Command) -> process::ExitCode {
    match command {
        args::Command::Help => {
            println!("{}", args::USAGE);
            process::ExitCode::SUCCESS
        }
        args::Command::Platform { listen } => match platform::Server::start(listen).await {
            Ok(server) => {
                println!("the platform listens on {}", server.url());
                std::future::pending().await
            }
            Err(error) => fail(&error),
        },
        args::Command::Upstream {
            site,
            platform,
            data_centres,
            first_port,
        } => {
            let started = site::start_upstreams(site, &platform, data_centres, first_port).await;
            match started {
                Ok(services) => {
                    let count: usize = services.iter().map(|s| s.upstreams.len()).sum();
                    println!(
                        "{count} upstreams of {} services of {site} are listening",
                        services.len()
                    );
                    std::future::pending().await
                }
                Err(error) => fail(&error),
            }
        }
        args::Command::Load(config) => match site_load::run(&config).await {
            Ok(report) => {
                print!("{report}");
                if report.kept_all_promises() {
                    process::ExitCode::SUCCESS
                } else {
                    process::ExitCode::FAILURE
                }
            }
            Err(error) => fail(&error),
        },
        args::Command::Demo => match demo::run().await {
            Ok(()) => process::ExitCode::SUCCESS,
            Err(error) => fail(&error),
        },
        args::Command::List => {
            for scenario in measure::SCENARIOS {
                println!("{:<16}{}", scenario.name, scenario.about);
            }
            process::ExitCode::SUCCESS
        }
        args::Command::Measure {
            names,
            context,
            json,
        } => measure(&names, context, json).await,
    }
}

/// Runs the scenarios and prints their reports; fails if one of them has a violation.
async fn measure(names: &[String], context: measure::Context, json: bool) -> process::ExitCode {
    let mut found_violation = false;
    for name in names {
        let Some(scenario) = measure::find(name) else {
            eprintln!("geraniumgauge-standin: {name:?} is not a scenario; see `measure list`");
            return EXIT_USAGE.into();
        };
        let report = match measure::run(scenario, context).await {
            Ok(report) => report,
            Err(error) => return fail(&error),
        };
        found_violation |= !report.violations.is_empty();
        if json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            println!("{report}");
        }
    }
    if found_violation {
        process::ExitCode::FAILURE
    } else {
        process::ExitCode::SUCCESS
    }
}

fn fail(error: &dyn std::error::Error) -> process::ExitCode {
    eprintln!("geraniumgauge-standin: {error}");
    process::ExitCode::FAILURE
}
