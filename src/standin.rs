//! Stand-in for a database target, for tests and the demo.

use std::process::ExitCode;

use anyhow::Context as _;

fn main() -> ExitCode {
    let about = "Simulates a database target for tests and the demo";
    let settings: settings::Standin = match limpettally::args::load("limpettally-standin", about) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    observe::process::run(async {
        observe::log::init(settings.log.format, settings.log.level)?;
        let stop = observe::stop::signal().context("install the signal handlers")?;
        let stop = async {
            stop.await;
        };
        standin::run(config(settings), stop).await
    })
}

fn config(settings: settings::Standin) -> standin::Config {
    let settings::Standin {
        target,
        service,
        database,
        group,
        region,
        domain,
        listen,
        primary,
        announce,
        token,
        ttl,
        connections,
        slots,
        open,
        statement,
        lag,
        log: _,
    } = settings;
    standin::Config {
        target,
        service,
        database,
        group,
        region,
        domain,
        listen,
        primary,
        announce,
        token: token.as_str().to_owned(),
        ttl,
        connections,
        slots,
        open,
        statement,
        lag,
    }
}
