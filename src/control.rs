//! Control process: keeps a replica of the catalog's log on disk and switches primaries.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "Keeps a replica of the catalog, grants leases to entries and switches primaries";
    let settings: settings::Control = match limpettally::args::load("limpettally-control", about) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    observe::process::run(async {
        observe::log::init(settings.log.format, settings.log.level)?;
        control::run(settings).await
    })
}
