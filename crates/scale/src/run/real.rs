//! Real limiters: the program as it is deployed, with a configuration of its own.

use super::arguments::DeliveryKind;
use super::error::RunError;
use super::process::{Interrupt, OwnedChild};
use super::settings::wire_settings;
use serde_json::json;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command as Program, Stdio};

/// What a limiter logs when it listens.
const LISTENING: &str = "liftrouter: listening on ";
/// What the program may use by its own account.
const MEMORY_MB: f64 = 128.0;
const SOCKETS: u32 = 1_024;

/// A configuration of a real limiter.
#[derive(Clone, Debug)]
pub struct RealSetup {
    /// The program.
    pub program: PathBuf,
    /// Its number in the fleet.
    pub number: u32,
    /// Limiters in the fleet.
    pub peers: u32,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
    /// How lists reach it.
    pub delivery: DeliveryKind,
    /// Relays in place of discovery, and the service that it follows there.
    pub relays: Option<(Vec<SocketAddr>, String)>,
    /// Seed of what it draws.
    pub seed: u64,
}

/// A folder for files of this process, which goes with its owner.
#[derive(Debug)]
pub struct ScratchFolder(PathBuf);

impl ScratchFolder {
    /// Makes one.
    pub fn create() -> Result<Self, RunError> {
        let path = std::env::temp_dir().join(format!("liftrouter-scale-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(RunError::io("cannot make a folder"))?;
        Ok(ScratchFolder(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        // What stays is in the folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A real limiter that listens.
#[derive(Debug)]
pub struct RealLimiter {
    child: OwnedChild,
    /// Where it takes requests.
    pub address: SocketAddr,
}

impl RealLimiter {
    /// Starts one and waits until it listens.
    pub fn start(setup: &RealSetup, folder: &Path, interrupt: &Interrupt) -> Result<Self, RunError> {
        let file = folder.join(format!("limiter-{}.json", setup.number));
        fs::write(&file, configuration(setup)).map_err(RunError::io("cannot write a configuration"))?;
        let mut program = Program::new(&setup.program);
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            program.env_remove(name);
        }
        if let Some((relays, service)) = &setup.relays {
            let operator = folder.join(format!("limiter-{}.toml", setup.number));
            fs::write(&operator, relay_section(relays, service))
                .map_err(RunError::io("cannot write a configuration"))?;
            program.arg("--operator").arg(operator);
        }
        program.env("ROUTER_CONFIG", &file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = OwnedChild::spawn(&mut program)?;
        let address = child.address_after(LISTENING, "limiter", interrupt)?;
        Ok(RealLimiter { child, address })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

fn configuration(setup: &RealSetup) -> String {
    json!({
        "name": format!("limiter-{}", setup.number), "listen": "127.0.0.1:0",
        "seed": format!("{:016x}", setup.seed),
        "discovery": setup.discovery.to_string(), "counter": setup.counter.to_string(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": wire_settings(setup.number, setup.peers, setup.delivery),
    })
    .to_string()
}

/// The operator's own file of a limiter behind relays.
fn relay_section(relays: &[SocketAddr], service: &str) -> String {
    let addresses: Vec<String> = relays.iter().map(|address| format!("{:?}", address.to_string())).collect();
    format!("[relays]\naddresses = [{}]\nservices = [{service:?}]\n", addresses.join(", "))
}
