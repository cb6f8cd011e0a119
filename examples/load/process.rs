//! Measures the processor time and memory of processes.

use std::time::Instant;

use anyhow::{Context, Result};

/// Ticks of processor time per second, as the kernel reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures a set of processes over a window of time.
#[derive(Debug)]
pub struct Probe {
    pids: Vec<String>,
    started: Instant,
    before: Vec<f64>,
}

impl Probe {
    /// Starts a window.
    pub fn start(pids: &[&str]) -> Result<Self> {
        let pids: Vec<String> = pids.iter().map(|pid| (*pid).to_owned()).collect();
        let before = pids.iter().map(|pid| processor_seconds(pid));
        Ok(Self {
            before: before.collect::<Result<_>>()?,
            started: Instant::now(),
            pids,
        })
    }

    /// Seconds since the start of the window.
    pub fn elapsed(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Returns the processor seconds of each process since the start of the window.
    pub fn used_seconds(&self) -> Result<Vec<f64>> {
        let pairs = self.pids.iter().zip(&self.before);
        pairs
            .map(|(pid, before)| Ok(processor_seconds(pid)? - before))
            .collect()
    }

    /// Formats the share of a core since the start of the window and the memory of each process.
    pub fn summary(&self) -> Result<String> {
        let elapsed_s = self.elapsed();
        let mut parts = Vec::new();
        for (pid, seconds) in self.pids.iter().zip(self.used_seconds()?) {
            let (core_percent, mib) = (100.0 * seconds / elapsed_s, resident_kib(pid)? / 1024.0);
            parts.push(format!("{core_percent:.1}% {mib:.1}MiB"));
        }
        Ok(parts.join(" | "))
    }
}

pub fn resident_kib(pid: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))
        .context("read the memory of the process")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.context("no VmRSS in /proc/PID/status")?.parse()?)
}

/// Returns the user and system time of a process.
fn processor_seconds(pid: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .context("read the processor time of the process")?;
    let fields = stat
        .rsplit_once(") ")
        .context("parse /proc/PID/stat")?
        .1
        .split(' ');
    let ticks = fields.skip(11).take(2).map(str::parse::<f64>);
    Ok(ticks.sum::<Result<f64, _>>()? / TICKS_PER_SECOND)
}
