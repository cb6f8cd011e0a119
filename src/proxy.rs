//! Proxy process: accepts callers' sessions and routes their statements to servers.

use std::process::ExitCode;

use clock::Boot;
use platform::Line;

fn main() -> ExitCode {
    let about = "Accepts callers' sessions and routes their statements to servers";
    let loaded = limpettally::args::load_with_path("limpettally-proxy", about);
    let (settings, path): (settings::Proxy, _) = match loaded {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    observe::process::run(async {
        let _writer = observe::log::init_stdout(settings.log.format, settings.log.level)?;
        proxy::run::<Line, Boot>(settings, path, Boot).await
    })
}
