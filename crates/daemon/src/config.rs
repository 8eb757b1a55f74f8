//! The platform's configuration file and the environment variables that select and override it.

use liftrouter_catalog::Update;
use liftrouter_decision::Settings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::env;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// The longest timeout in the settings, in seconds.
const MAX_TIMEOUT_S: f64 = 1e12;

/// The parsed configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Address to listen on for clients; `ROUTER_LISTEN` overrides it.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service; `ROUTER_DISCOVERY` overrides it.
    pub discovery: Option<SocketAddr>,
    /// Address of the counter service, if there is one.
    pub counter: Option<SocketAddr>,
    /// Seed of the limiter's random choices: 16 hexadecimal digits.
    #[serde(default)]
    pub seed: String,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Endpoint list at the time the file was written. The fallback while discovery sends none.
    #[serde(rename = "known")]
    pub known_endpoints: Option<Update>,
    /// Settings of the decision module.
    pub settings: Option<Settings>,
}

/// Resource limits of the process.
#[derive(Deserialize, Default)]
pub struct Limits {
    /// Maximum number of open sockets.
    pub sockets: Option<usize>,
    /// Maximum memory, in MiB.
    pub memory_mb: Option<f64>,
}

/// The part of the configuration file that SIGHUP reloads.
#[derive(Deserialize)]
pub struct ServiceAddresses {
    /// Address of the discovery service.
    pub discovery: Option<SocketAddr>,
    /// Address of the counter service.
    pub counter: Option<SocketAddr>,
}

/// The configuration file merged with the environment, and checked for everything a limiter needs to start.
pub struct Setup {
    /// Path of the configuration file.
    pub path: String,
    /// Address to listen on for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The remaining fields of the configuration file.
    pub config: Config,
}

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable for the configuration file is missing or empty.
    #[error("{CONFIG_VARIABLE} is not set")]
    FileNotSet,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON, or a field has the wrong type.
    #[error("{CONFIG_VARIABLE}: {path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The parse error with its line and column.
        source: serde_json::Error,
    },
    /// An environment variable is not an address with a port.
    #[error("{variable}: not an address: {found:?}")]
    InvalidAddress {
        /// Name of the environment variable.
        variable: &'static str,
        /// Its value.
        found: String,
    },
    /// A required address is set neither in the environment nor in the file.
    #[error("{variable} is not set, and {path} names no {key}")]
    MissingAddress {
        /// Name of the environment variable.
        variable: &'static str,
        /// Path of the file.
        path: String,
        /// Key of the address in the file.
        key: &'static str,
    },
    /// The file has no settings of the decision module.
    #[error("{CONFIG_VARIABLE}: {path}: no settings")]
    MissingSettings {
        /// Path of the file.
        path: String,
    },
    /// A number of a class or plan in the settings is negative.
    #[error("{CONFIG_VARIABLE}: {path}: settings: {key} is {found}, expected 0 or more")]
    NegativeNumber {
        /// Path of the file.
        path: String,
        /// Key of the number in the file.
        key: &'static str,
        /// Its value.
        found: f64,
    },
    /// A timeout in the settings is so long that it is no duration.
    #[error("{CONFIG_VARIABLE}: {path}: settings: {key} is {found}, expected {MAX_TIMEOUT_S} at most")]
    TimeoutTooLong {
        /// Path of the file.
        path: String,
        /// Key of the timeout in the file.
        key: &'static str,
        /// Its value.
        found: f64,
    },
    /// A list in the settings is empty that needs at least one entry.
    #[error("{CONFIG_VARIABLE}: {path}: settings: no {key}")]
    EmptyList {
        /// Path of the file.
        path: String,
        /// Key of the list in the file.
        key: &'static str,
    },
}

/// Reads a configuration file, or those of its fields that `T` has.
///
/// # Errors
/// The file cannot be read, or does not deserialize to `T`.
pub fn read_file<T: DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_string(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::Invalid { path: path.to_string(), source })
}

/// Reads the configuration file that the environment names. Environment variables override addresses of the file.
///
/// # Errors
/// The file, an address or the settings are missing or invalid.
pub fn read_setup() -> Result<Setup, ConfigError> {
    let path = non_empty_variable(CONFIG_VARIABLE).ok_or(ConfigError::FileNotSet)?;
    let mut config: Config = read_file(&path)?;
    let listen = resolve_address("ROUTER_LISTEN", &path, "listen", config.listen)?;
    let discovery = resolve_address("ROUTER_DISCOVERY", &path, "discovery", config.discovery)?;
    let Some(settings) = config.settings.take() else { return Err(ConfigError::MissingSettings { path }) };
    if settings.classes.is_empty() {
        return Err(ConfigError::EmptyList { path, key: "classes" });
    }
    if settings.plans.is_empty() {
        return Err(ConfigError::EmptyList { path, key: "tariffs" });
    }
    if let Some((key, found)) = bounds(&settings).find(|(_, found)| *found < 0.0) {
        return Err(ConfigError::NegativeNumber { path, key, found });
    }
    if let Some((key, found)) = timeouts(&settings).into_iter().find(|(_, found)| *found > MAX_TIMEOUT_S) {
        return Err(ConfigError::TimeoutTooLong { path, key, found });
    }
    Ok(Setup { path, listen, discovery, settings, config })
}

/// The numbers of classes and plans that are used as bounds: a negative one would end the process later.
fn bounds(settings: &Settings) -> impl Iterator<Item = (&'static str, f64)> + '_ {
    let classes = settings.classes.iter().flat_map(|class| {
        [
            ("aim-s", class.latency_objective_s),
            ("deadline-s", class.deadline_s),
            ("window-s", class.deduplication_window_s),
        ]
    });
    let plans =
        settings.plans.iter().flat_map(|plan| [("depth", plan.burst), ("hard-burst", plan.hard_limit_burst)]);
    classes.chain(plans)
}

/// The numbers of the settings that become durations.
fn timeouts(settings: &Settings) -> [(&'static str, f64); 3] {
    [
        ("connect-timeout-s", settings.connect_timeout_s),
        ("idle-close-s", settings.idle_timeout_s),
        ("count-limit-s", settings.counter_timeout_s),
    ]
}

/// The value of an environment variable, if it is set and not empty.
fn non_empty_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// The address in an environment variable, else the one in the file.
fn resolve_address(
    name: &'static str,
    path: &str,
    key: &'static str,
    in_file: Option<SocketAddr>,
) -> Result<SocketAddr, ConfigError> {
    match non_empty_variable(name) {
        Some(found) => found.parse().map_err(|_| ConfigError::InvalidAddress { variable: name, found }),
        None => in_file.ok_or(ConfigError::MissingAddress { variable: name, path: path.to_string(), key }),
    }
}
