//! A digest of a set of servers that does not depend on their order.

use crate::Instance;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::error::Error;
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// The digits of a digest as text.
const HEX_DIGITS: usize = 16;

/// The sum of the hashes of all servers of a scope that are not terminated; zero where there are none.
///
/// Servers are added and removed in constant time. The hash (XXH3, 64 bits) is the same in every process and
/// version; the fields that it covers must stay as they are, or replicas of two versions would never agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Digest(u64);

impl Digest {
    /// The digest of these servers.
    pub fn of<'a>(instances: impl IntoIterator<Item = &'a Instance>) -> Self {
        let mut digest = Digest::default();
        for instance in instances {
            digest.add(instance);
        }
        digest
    }

    /// Takes a server in; a terminated one counts for nothing.
    pub fn add(&mut self, instance: &Instance) {
        self.0 = self.0.wrapping_add(hash(instance));
    }

    /// Takes out a server that was taken in before.
    pub fn remove(&mut self, instance: &Instance) {
        self.0 = self.0.wrapping_sub(hash(instance));
    }

    /// Takes in all servers of another scope, which shares none with this one.
    pub fn merge(&mut self, other: Digest) {
        self.0 = self.0.wrapping_add(other.0);
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0width$x}", self.0, width = HEX_DIGITS)
    }
}

/// The text is not 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseDigestError;

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a digest has {HEX_DIGITS} hexadecimal digits")
    }
}

impl Error for ParseDigestError {}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let well_formed = text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return Err(ParseDigestError);
        }
        u64::from_str_radix(text, 16).map(Digest).map_err(|_| ParseDigestError)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The hash of one server, zero where it is terminated.
fn hash(instance: &Instance) -> u64 {
    if instance.is_terminated() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    hash_text(&mut hasher, &instance.instance_id);
    hash_text(&mut hasher, &instance.host_port.to_string());
    hash_text(&mut hasher, &instance.service);
    hash_text(&mut hasher, &instance.zone);
    hash_text(&mut hasher, &instance.machine_type);
    hasher.update(&instance.cell.to_le_bytes());
    hasher.update(&[instance.lifecycle as u8]);
    hash_number(&mut hasher, instance.weight);
    hash_number(&mut hasher, instance.started_at_ms);
    hasher.digest()
}

/// The length comes first, so that two fields cannot be read as two others.
fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

/// Numbers that JSON cannot express are absent behind a message, so they are absent here.
fn hash_number(hasher: &mut Xxh3, number: Option<f64>) {
    match number.filter(|number| number.is_finite()) {
        Some(number) => {
            hasher.update(&[1]);
            hasher.update(&number.to_bits().to_le_bytes());
        }
        None => hasher.update(&[0]),
    }
}
