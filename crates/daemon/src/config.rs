//! The configuration file, and the environment that names it.

use liftrouter_catalog::Update;
use liftrouter_decision::Settings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::net::SocketAddr;

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    pub listen: Option<SocketAddr>,
    pub discovery: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    #[serde(default)]
    pub seed: String,
    #[serde(default)]
    pub limits: Limits,
    pub known: Option<Update>,
    pub settings: Option<Settings>,
}

/// What the process may use.
#[derive(Deserialize, Default)]
pub struct Limits {
    pub sockets: Option<usize>,
    pub memory_mb: Option<f64>,
}

/// What a configuration file that is read again may change.
#[derive(Deserialize)]
pub struct Addresses {
    pub discovery: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
}

/// Where the limiter listens, whom it asks, and what it was told.
pub struct Setup {
    pub path: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub settings: Settings,
    pub config: Config,
}

pub fn read_file<T: DeserializeOwned>(path: &str) -> Result<T, String> {
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("ROUTER_CONFIG: cannot read {path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))
}

/// The environment and the file it names. The variables repeat a part of the file and hold before it.
pub fn read_setup() -> Result<Setup, String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let mut config: Config = read_file(&path)?;
    let address = |name: &str, key: &str, in_file: Option<SocketAddr>| match variable(name) {
        Some(text) => text.parse().map_err(|_| format!("{name}: not an address: {text:?}")),
        None => in_file.ok_or(format!("{name} is not set, and {path} names no {key}")),
    };
    let listen = address("ROUTER_LISTEN", "listen", config.listen)?;
    let discovery = address("ROUTER_DISCOVERY", "discovery", config.discovery)?;
    let settings = config.settings.take().ok_or(format!("ROUTER_CONFIG: {path}: no settings"))?;
    for (key, missing) in [("classes", settings.classes.is_empty()), ("tariffs", settings.plans.is_empty())] {
        if missing {
            return Err(format!("ROUTER_CONFIG: {path}: settings: no {key}"));
        }
    }
    Ok(Setup { path, listen, discovery, settings, config })
}
