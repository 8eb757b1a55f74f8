//! Stored records, and what they say at a size.

use crate::fit::{Estimate, Fit, FitError, Sample};
use crate::record::Record;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// All records of a folder, by name.
#[derive(Clone, Debug, Default)]
pub struct Records {
    by_name: BTreeMap<String, Record>,
}

/// A record that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A file or the folder.
    #[error("{path}: {error}")]
    Read {
        /// Which.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// What a file says.
    #[error("{path}: {error}")]
    Parse {
        /// Which.
        path: PathBuf,
        /// Why.
        error: serde_json::Error,
    },
    /// A record's name is not that of its file.
    #[error("{path} holds the record {name:?}, expected the name of the file")]
    Name {
        /// The file.
        path: PathBuf,
        /// The record's name.
        name: String,
    },
    /// Nothing can be fitted.
    #[error("record {record}, {quantity}: {error}")]
    Fit {
        /// The record.
        record: String,
        /// The quantity.
        quantity: String,
        /// Why.
        error: FitError,
    },
}

impl Records {
    /// Reads all JSON files of a folder.
    ///
    /// # Errors
    /// One cannot be read, or is no record of its name.
    pub fn read(folder: &Path) -> Result<Records, RecordError> {
        let failed = |error| RecordError::Read { path: folder.to_owned(), error };
        let mut by_name = BTreeMap::new();
        for entry in std::fs::read_dir(folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            if path.extension().is_some_and(|extension| extension == "json") {
                let record = read_one(&path)?;
                by_name.insert(record.name.clone(), record);
            }
        }
        Ok(Records { by_name })
    }

    /// Records by name.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.by_name.get(name)
    }

    /// Adds a record, or puts it in the place of one of its name.
    pub fn insert(&mut self, record: Record) {
        self.by_name.insert(record.name.clone(), record);
    }

    /// Takes a record out.
    pub fn remove(&mut self, name: &str) -> Option<Record> {
        self.by_name.remove(name)
    }

    /// All records in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.by_name.values()
    }

    /// A line through what a record has of a quantity; none where there is no such record, or
    /// nothing of the quantity in it.
    ///
    /// # Errors
    /// The record has too few points of it.
    pub fn fit(&self, record: &str, quantity: &str, variable: &str) -> Result<Option<Fit>, RecordError> {
        let Some(found) = self.get(record) else { return Ok(None) };
        let wanted = found.points.iter().filter(|p| p.quantity == quantity && p.variable == variable);
        let samples: Vec<Sample> = wanted.map(|p| Sample { size: p.size, value: p.value }).collect();
        if samples.is_empty() {
            return Ok(None);
        }
        let failed = |error| RecordError::Fit { record: record.into(), quantity: quantity.into(), error };
        Fit::of(&samples).map(Some).map_err(failed)
    }

    /// What a record says of a quantity at a size; none where there is no such record.
    ///
    /// # Errors
    /// As for [`Records::fit`].
    pub fn estimate(
        &self,
        record: &str,
        quantity: &str,
        variable: &str,
        size: f64,
    ) -> Result<Option<Estimate>, RecordError> {
        Ok(self.fit(record, quantity, variable)?.map(|fit| fit.at(size)))
    }
}

fn read_one(path: &Path) -> Result<Record, RecordError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| RecordError::Read { path: path.to_owned(), error })?;
    let record: Record =
        serde_json::from_str(&text).map_err(|error| RecordError::Parse { path: path.to_owned(), error })?;
    if path.file_stem().is_none_or(|stem| stem.to_string_lossy() != record.name) {
        return Err(RecordError::Name { path: path.to_owned(), name: record.name });
    }
    Ok(record)
}
