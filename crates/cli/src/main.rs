//! The operators' command.
//!
//! It talks to the platform's object API only: documents go in and what is in
//! force is read back, whatever VMs run or don't.

mod apply;
mod burn;
mod call;
mod check;
mod failure;
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
