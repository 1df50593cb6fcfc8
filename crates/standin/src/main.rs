//! Stand-ins of the platform and of upstreams, with the demo and the
//! measurements that run against them.

mod args;

use std::process;

use geraniumgauge_standin::demo;
use geraniumgauge_standin::drive;
use geraniumgauge_standin::measure;
use geraniumgauge_standin::platform;
use geraniumgauge_standin::site;

/// The command line is wrong.
const USAGE: u8 = 2;

fn main() -> process::ExitCode {
    let order = match args::read(std::env::args_os().skip(1).collect()) {
        Ok(order) => order,
        Err(error) => {
            eprintln!("geraniumgauge-standin: {error}\n\n{}", args::USAGE);
            return USAGE.into();
        }
    };
    logs();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let code = runtime.block_on(obey(order));
    runtime.shutdown_background();
    code
}

/// Warnings go to standard error. Set up before rocket, which would install a
/// logger of its own.
fn logs() {
    let warnings = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("rocket", log::LevelFilter::Error)
        .chain(std::io::stderr());
    let _ = warnings.apply();
}

async fn obey(order: args::Order) -> process::ExitCode {
    match order {
        args::Order::Help => {
            println!("{}", args::USAGE);
            process::ExitCode::SUCCESS
        }
        args::Order::Platform { listen } => match platform::Server::start(listen).await {
            Ok(server) => {
                println!("platform listens on {}", server.url());
                std::future::pending().await
            }
            Err(error) => fail(&error),
        },
        args::Order::Upstream {
            site,
            platform,
            data_centres,
            first_port,
        } => {
            let started = site::serve(site, &platform, data_centres, first_port).await;
            match started {
                Ok(services) => {
                    let count: usize = services.iter().map(|s| s.upstreams.len()).sum();
                    println!(
                        "{count} upstreams of {} services of {site} listen",
                        services.len()
                    );
                    std::future::pending().await
                }
                Err(error) => fail(&error),
            }
        }
        args::Order::Load(config) => match drive::run(&config).await {
            Ok(report) => {
                print!("{report}");
                if report.is_sound() {
                    process::ExitCode::SUCCESS
                } else {
                    process::ExitCode::FAILURE
                }
            }
            Err(error) => fail(&error),
        },
        args::Order::Demo => match demo::run().await {
            Ok(()) => process::ExitCode::SUCCESS,
            Err(error) => fail(&error),
        },
        args::Order::List => {
            for scenario in measure::SCENARIOS {
                println!("{:<16}{}", scenario.name, scenario.about);
            }
            process::ExitCode::SUCCESS
        }
        args::Order::Measure {
            names,
            context,
            json,
        } => measured(&names, context, json).await,
    }
}

async fn measured(names: &[String], context: measure::Context, json: bool) -> process::ExitCode {
    let mut broken = false;
    for name in names {
        let Some(scenario) = measure::find(name) else {
            eprintln!("geraniumgauge-standin: no scenario {name}; see: measure list");
            return USAGE.into();
        };
        let report = match measure::run(scenario, context).await {
            Ok(report) => report,
            Err(error) => return fail(&error),
        };
        broken |= !report.violations.is_empty();
        if json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            println!("{report}");
        }
    }
    if broken {
        process::ExitCode::FAILURE
    } else {
        process::ExitCode::SUCCESS
    }
}

fn fail(error: &dyn std::error::Error) -> process::ExitCode {
    eprintln!("geraniumgauge-standin: {error}");
    process::ExitCode::FAILURE
}
