//! One VM of geraniumgauge: reads its settings, runs the library's [`vm::Vm`],
//! and stops gracefully on SIGTERM or SIGINT.

mod args;
mod fields;
mod logs;
mod settings;

use std::process;

use geraniumgauge::finding;
use geraniumgauge::http;
use geraniumgauge::vm;
use tokio::signal::unix;

/// The settings or the command line are wrong.
const USAGE: u8 = 2;
/// The VM can't run.
const FAILED: u8 = 1;

fn main() -> process::ExitCode {
    let order = match args::read(std::env::args_os().skip(1).collect()) {
        Ok(order) => order,
        Err(error) => {
            eprintln!("geraniumgauged: {error}\n\n{}", args::usage());
            return USAGE.into();
        }
    };
    match order {
        args::Order::Help => {
            println!("{}\n\n{}", args::usage(), settings::help());
            process::ExitCode::SUCCESS
        }
        args::Order::Version => {
            println!("geraniumgauged {}", env!("CARGO_PKG_VERSION"));
            process::ExitCode::SUCCESS
        }
        args::Order::Check(path) => match settings::Settings::read(&path) {
            Ok(_) => {
                println!("{}: no findings", path.display());
                process::ExitCode::SUCCESS
            }
            Err(findings) => print(&findings),
        },
        args::Order::Run(path) => match settings::Settings::read(&path) {
            Ok(settings) => start(&settings),
            Err(findings) => print(&findings),
        },
    }
}

fn print(findings: &[finding::Finding]) -> process::ExitCode {
    for finding in findings {
        eprintln!("{finding}");
    }
    USAGE.into()
}

fn start(settings: &settings::Settings) -> process::ExitCode {
    if let Err(error) = logs::init(settings) {
        eprintln!("geraniumgauged: {error}");
        return FAILED.into();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the runtime can't start: {error}");
            return FAILED.into();
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("geraniumgauged: {error}");
            FAILED.into()
        }
    }
}

async fn run(settings: &settings::Settings) -> Result<(), vm::Error> {
    let vm = vm::Vm::start(config(settings)).await?;
    let addresses = vm.addresses();
    log::info!(
        "listening: callers {}, operators {}, mesh {}",
        addresses.callers,
        addresses.operators,
        addresses.mesh
    );
    signalled().await;
    vm.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT. Where neither can be listened for, it waits for
/// ever: the process then ends at once on the signal, as the system does it.
async fn signalled() {
    let listen = |kind| unix::signal(kind).ok();
    let term = listen(unix::SignalKind::terminate());
    let int = listen(unix::SignalKind::interrupt());
    let (Some(mut term), Some(mut int)) = (term, int) else {
        log::error!("signals can't be listened for; stops won't be graceful");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn config(settings: &settings::Settings) -> vm::Config {
    let (name, centre) = (settings.vm.clone(), settings.data_centre.clone());
    let mut config = vm::Config::new(name, centre, settings.store.clone());
    config.callers = settings.callers;
    config.operators = settings.operators;
    config.mesh = settings.mesh;
    config.seeds = settings.seeds.clone();
    config.policy = settings.policy;
    config.frame = settings.limits.frame;
    config.balancer_wait = settings.stop.balancer_wait;
    config.grace = settings.stop.grace;
    config.limits = http::Limits {
        body: settings.limits.body,
        query: settings.limits.query,
        headers: settings.limits.header,
        requests: settings.limits.requests,
        ..http::Limits::default()
    };
    config
}
