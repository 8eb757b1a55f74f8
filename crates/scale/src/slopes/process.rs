//! Processor time and resident memory of this process, and measurements in a child process of its own.

use super::child::ChildJob;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::process::Command;
use std::time::Duration;

/// Processor time below which a batch is repeated with more calls.
const LEAST_BATCH_TIME: Duration = Duration::from_millis(60);

/// A measurement that could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The kernel's figures of this process cannot be read.
    #[error("cannot read /proc/self/status: {0}")]
    Procfs(#[from] procfs::ProcError),
    /// The kernel's figures have no resident size.
    #[error("/proc/self/status names no VmRSS or VmHWM")]
    NoResidentSize,
    /// The child process cannot be run.
    #[error("cannot run the child process: {0}")]
    Spawn(#[from] std::io::Error),
    /// The child process failed.
    #[error("the child process for {job} ended with {status}: {stderr}")]
    Child {
        /// What it measured.
        job: String,
        /// How it ended.
        status: std::process::ExitStatus,
        /// What it said.
        stderr: String,
    },
    /// Readings or a record are not JSON.
    #[error("not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// What was to be measured did not take place.
    #[error("{0}")]
    Invalid(String),
}

/// One value that was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// What was measured, the unit last.
    pub quantity: String,
    /// Its value.
    pub value: f64,
}

impl Reading {
    /// A value of a quantity.
    pub fn new(quantity: &str, value: f64) -> Self {
        Reading { quantity: quantity.into(), value }
    }
}

/// Processor time of this process so far, of all its threads.
pub fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Resident memory now and at its largest, in kilobytes (1,024 bytes).
#[derive(Clone, Copy, Debug)]
pub struct Resident {
    /// Now.
    pub now_kb: f64,
    /// At its largest.
    pub peak_kb: f64,
}

/// Resident memory of this process.
///
/// # Errors
/// The kernel does not tell.
pub fn resident() -> Result<Resident, MeasureError> {
    let status = procfs::process::Process::myself()?.status()?;
    let now_kb = status.vmrss.ok_or(MeasureError::NoResidentSize)? as f64;
    let peak_kb = status.vmhwm.ok_or(MeasureError::NoResidentSize)? as f64;
    Ok(Resident { now_kb, peak_kb })
}

/// Mean processor time of one call, in microseconds: calls are doubled until a batch takes long enough.
pub fn mean_cpu_us(mut call: impl FnMut()) -> f64 {
    call();
    let mut calls = 1u32;
    loop {
        let began = cpu_time();
        (0..calls).for_each(|_| call());
        let took = cpu_time() - began;
        if took >= LEAST_BATCH_TIME {
            return took.as_secs_f64() * 1e6 / f64::from(calls);
        }
        calls *= 2;
    }
}

/// Runs a job in a new process of the same program, so that memory that an allocator kept back from earlier jobs does
/// not count.
///
/// # Errors
/// The process cannot be run, failed, or wrote no readings.
pub fn in_child(job: &ChildJob) -> Result<Vec<Reading>, MeasureError> {
    let output = Command::new(std::env::current_exe()?).args(job.arguments()).output()?;
    if !output.status.success() {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(MeasureError::Child { job: format!("{job:?}"), status: output.status, stderr });
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}
