//! Coordinator process: keeps a replica of the registry's log on disk and switches primaries.

use std::process::ExitCode;

use platform::{Client, Endpoint};

fn main() -> ExitCode {
    let about = "Keeps a replica of the plan and of the list of servers, and switches primaries";
    let loaded = limpettally::args::load_with_path("limpettally-coordinator", about);
    let (settings, path): (settings::Coordinator, _) = match loaded {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    observe::process::run(async {
        let _writer = observe::log::init_stdout(settings.log.format, settings.log.level)?;
        coordinator::run::<Endpoint, Client>(settings, path).await
    })
}
