//! The program; all of it is in the library, so that the lab can run it as a process of its own.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    flaxhead_proxy::program::main(std::env::args_os())
}
