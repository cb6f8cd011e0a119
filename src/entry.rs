//! Entry process: accepts callers' connections and forwards their statements to targets.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "Accepts callers' connections and forwards their statements to targets";
    let settings: settings::Entry = match limpettally::args::load("limpettally-entry", about) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    observe::process::run(async {
        observe::log::init(settings.log.format, settings.log.level)?;
        entry::run(settings).await
    })
}
