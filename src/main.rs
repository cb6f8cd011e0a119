//! Operators' command line.

use clap::Command;

fn main() {
    let command = Command::new("limpettally")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a limpettally system");
    let _matches = command.get_matches();
}
