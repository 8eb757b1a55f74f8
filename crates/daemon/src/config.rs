//! The configuration file, and the environment that names it.

use liftrouter_catalog::Update;
use liftrouter_decision::Settings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::env;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The variable that names the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// The discovery service.
    pub discovery: Option<SocketAddr>,
    /// The counter service.
    pub counter: Option<SocketAddr>,
    /// Seed of the limiter's random choices, 16 hexadecimal digits.
    #[serde(default)]
    pub seed: String,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The endpoint list that was known when the file was written.
    #[serde(rename = "known")]
    pub known_endpoints: Option<Update>,
    /// The settings of the decisions.
    pub settings: Option<Settings>,
}

/// What the process may use.
#[derive(Deserialize, Default)]
pub struct Limits {
    /// Sockets that may be open at once.
    pub sockets: Option<usize>,
    /// Memory, in MiB.
    pub memory_mb: Option<f64>,
}

/// What a configuration file that is read again may change.
#[derive(Deserialize)]
pub struct ServiceAddresses {
    /// The discovery service.
    pub discovery: Option<SocketAddr>,
    /// The counter service.
    pub counter: Option<SocketAddr>,
}

/// Configuration and environment together: all that the limiter needs to start.
pub struct Setup {
    /// The configuration file.
    pub path: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The rest of the configuration file.
    pub config: Config,
}

/// Why there is no usable configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("{CONFIG_VARIABLE} is not set")]
    FileNotSet,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is no JSON, or has a field of another type.
    #[error("{CONFIG_VARIABLE}: {path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What was found, what was expected, and where.
        source: serde_json::Error,
    },
    /// A variable is no address with a port.
    #[error("{variable}: not an address: {found:?}")]
    InvalidAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        found: String,
    },
    /// Neither the environment nor the file has an address that is needed.
    #[error("{variable} is not set, and {path} names no {key}")]
    MissingAddress {
        /// The variable.
        variable: &'static str,
        /// The file.
        path: String,
        /// The key of the file.
        key: &'static str,
    },
    /// The file has no settings.
    #[error("{CONFIG_VARIABLE}: {path}: no settings")]
    MissingSettings {
        /// The file.
        path: String,
    },
    /// A list of the settings is empty.
    #[error("{CONFIG_VARIABLE}: {path}: settings: no {key}")]
    EmptyList {
        /// The file.
        path: String,
        /// The key of the list.
        key: &'static str,
    },
}

/// Reads a configuration file, or a part of it.
///
/// # Errors
/// It cannot be read, or does not have the form that is expected.
pub fn read_file<T: DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_string(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::Invalid { path: path.to_string(), source })
}

/// Reads the environment and the file it names. The variables repeat a part of the file and have precedence.
///
/// # Errors
/// A file, an address or settings that are missing or cannot be read.
pub fn read_setup() -> Result<Setup, ConfigError> {
    let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::FileNotSet)?;
    let mut config: Config = read_file(&path)?;
    let listen = address("ROUTER_LISTEN", &path, "listen", config.listen)?;
    let discovery = address("ROUTER_DISCOVERY", &path, "discovery", config.discovery)?;
    let Some(settings) = config.settings.take() else { return Err(ConfigError::MissingSettings { path }) };
    if settings.classes.is_empty() {
        return Err(ConfigError::EmptyList { path, key: "classes" });
    }
    if settings.plans.is_empty() {
        return Err(ConfigError::EmptyList { path, key: "tariffs" });
    }
    Ok(Setup { path, listen, discovery, settings, config })
}

/// A variable of the environment that is not empty.
fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// The address of a variable, else that of the file.
fn address(
    name: &'static str,
    path: &str,
    key: &'static str,
    in_file: Option<SocketAddr>,
) -> Result<SocketAddr, ConfigError> {
    match variable(name) {
        Some(found) => found.parse().map_err(|_| ConfigError::InvalidAddress { variable: name, found }),
        None => in_file.ok_or(ConfigError::MissingAddress { variable: name, path: path.to_string(), key }),
    }
}
