//! The operators' command line.
//!
//! It talks only to the platform's store: it writes documents and reads what
//! is in force, and works whether or not VMs are running.

mod apply;
mod burn;
mod check;
mod failure;
mod invocation;
mod marks;
mod show;
mod status;
mod table;
mod unsettled;
mod verbs;
mod vms;

use std::process;

fn main() -> process::ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match verbs::run(arguments) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            process::ExitCode::from(failure.code())
        }
    }
}
