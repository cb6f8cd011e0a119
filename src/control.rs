//! Control process: holds a replica of the catalog's log on its disk.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "Holds a replica of the catalog, grants leases to entries and changes primaries";
    let settings: settings::Control = match limpettally::args::load("limpettally-control", about) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    observe::process::run(async {
        observe::log::init(settings.log.format, settings.log.level)?;
        control::run(settings).await
    })
}
