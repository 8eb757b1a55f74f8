//! An order-independent digest of a set of servers.

use crate::Instance;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::error::Error;
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// The number of hexadecimal digits in the text form of a digest.
const HEX_DIGITS: usize = 16;

/// The wrapping sum of the hashes of all servers in a set, without terminated ones; zero for an empty set.
///
/// Adding or removing a server takes constant time. The hash (64-bit XXH3) must be the same in every process and
/// version: if the hashed fields changed, replicas of different versions would never agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Digest(u64);

impl Digest {
    /// Computes the digest of these servers.
    pub fn of<'a>(instances: impl IntoIterator<Item = &'a Instance>) -> Self {
        let mut digest = Digest::default();
        for instance in instances {
            digest.add(instance);
        }
        digest
    }

    /// Adds a server. A terminated server does not change the digest.
    pub fn add(&mut self, instance: &Instance) {
        self.0 = self.0.wrapping_add(hash(instance));
    }

    /// Removes a server that was added before.
    pub fn remove(&mut self, instance: &Instance) {
        self.0 = self.0.wrapping_sub(hash(instance));
    }

    /// Adds all servers of another set, which must be disjoint from this one.
    pub fn merge(&mut self, other: Digest) {
        self.0 = self.0.wrapping_add(other.0);
    }

    /// Removes all servers of a set that was merged before.
    pub fn unmerge(&mut self, other: Digest) {
        self.0 = self.0.wrapping_sub(other.0);
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0width$x}", self.0, width = HEX_DIGITS)
    }
}

/// The text of a digest is not exactly 16 hexadecimal digits.
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

/// The hash of one server; zero for a terminated server.
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
    // Relays of earlier versions read and hash a missing cell as 0.
    hasher.update(&instance.cell.unwrap_or(0).to_le_bytes());
    hasher.update(&[instance.lifecycle as u8]);
    hash_number(&mut hasher, instance.weight);
    hash_number(&mut hasher, instance.started_at_ms);
    hasher.digest()
}

/// Hashes the length first, so that moving text from one field to the next changes the hash.
fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

/// Hashes a non-finite number as absent: JSON cannot represent it, so the receiver of a message does not have it.
fn hash_number(hasher: &mut Xxh3, number: Option<f64>) {
    match number.filter(|number| number.is_finite()) {
        Some(number) => {
            hasher.update(&[1]);
            hasher.update(&number.to_bits().to_le_bytes());
        }
        None => hasher.update(&[0]),
    }
}
