//! The daemon: reads the settings of one VM, runs the library's [`vm::Vm`] and
//! stops it gracefully on SIGTERM or SIGINT.

mod args;
mod fields;
mod logs;
mod settings;

use std::process;

use geraniumgauge::finding;
use geraniumgauge::http;
use geraniumgauge::vm;
use tokio::signal::unix;

/// Exit status for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;
/// Exit status if logging, the runtime or the VM fails to start.
const EXIT_FAILURE: u8 = 1;

fn main() -> process::ExitCode {
    let command = match args::read(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("geraniumgauged: {error}\n\n{}", args::usage());
            return EXIT_USAGE.into();
        }
    };
    match command {
        args::Command::Help => {
            println!("{}\n\n{}", args::usage(), settings::help());
            process::ExitCode::SUCCESS
        }
        args::Command::Version => {
            println!("geraniumgauged {}", env!("CARGO_PKG_VERSION"));
            process::ExitCode::SUCCESS
        }
        args::Command::Check(path) => match settings::Settings::read(&path) {
            Ok(_) => {
                println!("{}: no findings", path.display());
                process::ExitCode::SUCCESS
            }
            Err(findings) => print_findings(&findings),
        },
        args::Command::Run(path) => match settings::Settings::read(&path) {
            Ok(settings) => start(&settings),
            Err(findings) => print_findings(&findings),
        },
    }
}

fn print_findings(findings: &[finding::Finding]) -> process::ExitCode {
    for finding in findings {
        eprintln!("{finding}");
    }
    EXIT_USAGE.into()
}

fn start(settings: &settings::Settings) -> process::ExitCode {
    if let Err(error) = logs::init(settings) {
        eprintln!("geraniumgauged: {error}");
        return EXIT_FAILURE.into();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("failed to start the async runtime: {error}");
            return EXIT_FAILURE.into();
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("geraniumgauged: {error}");
            EXIT_FAILURE.into()
        }
    }
}

async fn run(settings: &settings::Settings) -> Result<(), vm::Error> {
    let vm = vm::Vm::start(vm_config(settings)).await?;
    let addresses = vm.addresses();
    log::info!(
        "listening: callers {}, operators {}, mesh {}",
        addresses.callers,
        addresses.operators,
        addresses.mesh
    );
    wait_for_stop_signal().await;
    vm.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT. If a handler can't be installed, logs an error and never
/// returns; the VM then isn't stopped gracefully.
async fn wait_for_stop_signal() {
    let install = |kind| unix::signal(kind).ok();
    let term = install(unix::SignalKind::terminate());
    let int = install(unix::SignalKind::interrupt());
    let (Some(mut term), Some(mut int)) = (term, int) else {
        log::error!(
            "failed to install handlers for SIGTERM and SIGINT; the VM won't stop gracefully"
        );
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn vm_config(settings: &settings::Settings) -> vm::Config {
    let (name, data_centre) = (settings.vm.clone(), settings.data_centre.clone());
    let mut config = vm::Config::new(name, data_centre, settings.store.clone());
    config.callers = settings.callers_address;
    config.operators = settings.operators_address;
    config.mesh = settings.mesh_address;
    config.seeds = settings.seeds.clone();
    config.policy = settings.policy;
    config.max_frame = settings.limits.max_frame;
    config.balancer_wait = settings.stop.balancer_wait;
    config.drain_timeout = settings.stop.grace;
    config.limits = http::Limits {
        body: settings.limits.max_body,
        bodies: settings.limits.max_bodies,
        query: settings.limits.max_query,
        headers: settings.limits.max_headers,
        requests: settings.limits.max_concurrent_requests,
        ..http::Limits::default()
    };
    config
}
