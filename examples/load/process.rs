//! Processor time and memory of processes.

use std::time::Instant;

use anyhow::{Context, Result};

/// Ticks of processor time per second, as the kernel reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// Samples of some processes.
#[derive(Debug)]
pub struct Probe {
    pids: Vec<String>,
    since: Instant,
    before: Vec<f64>,
}

impl Probe {
    /// Starts a window.
    pub fn start(pids: &[&str]) -> Result<Self> {
        let pids: Vec<String> = pids.iter().map(|pid| (*pid).to_owned()).collect();
        let before = pids.iter().map(|pid| processor_seconds(pid));
        Ok(Self {
            before: before.collect::<Result<_>>()?,
            since: Instant::now(),
            pids,
        })
    }

    /// Seconds since the start of the window.
    pub fn elapsed(&self) -> f64 {
        self.since.elapsed().as_secs_f64()
    }

    /// Processor seconds of each process in this window.
    pub fn used(&self) -> Result<Vec<f64>> {
        let used = self.pids.iter().zip(&self.before);
        used.map(|(pid, before)| Ok(processor_seconds(pid)? - before))
            .collect()
    }

    /// Ends a window: share of a core and memory of each process, in one text.
    pub fn end(&self) -> Result<String> {
        let wall = self.elapsed();
        let mut parts = Vec::new();
        for (pid, used) in self.pids.iter().zip(self.used()?) {
            let (core, mib) = (100.0 * used / wall, kib(pid)? / 1024.0);
            parts.push(format!("{core:.1}% {mib:.1}MiB"));
        }
        Ok(parts.join(" | "))
    }
}

/// Resident memory of a process in KiB.
pub fn kib(pid: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).context("process")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.context("VmRSS")?.parse()?)
}

/// Processor time of a process, user and system.
fn processor_seconds(pid: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).context("process")?;
    let fields = stat.rsplit_once(") ").context("stat")?.1.split(' ');
    let ticks = fields.skip(11).take(2).map(str::parse::<f64>);
    Ok(ticks.sum::<Result<f64, _>>()? / TICKS_PER_SECOND)
}
