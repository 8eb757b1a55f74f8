//! Storage in a directory of the file system.

use crate::{Result, Storage, StorageError};
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A [`Storage`] that keeps its files in one directory of the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// Opens a directory, creating it and its parents if they do not exist.
    ///
    /// # Errors
    /// The directory cannot be created, or the path is not a directory.
    pub fn open(path: &Path) -> Result<Directory> {
        fs::create_dir_all(path)
            .map_err(|source| StorageError::new("make", &path.display().to_string(), source))?;
        Ok(Directory { path: path.into() })
    }

    fn file_path(&self, name: &str) -> io::Result<PathBuf> {
        if name.is_empty() || name.starts_with('.') || name.contains(['/', '\\', '\0']) {
            let message = format!(
                "{name:?} is not a valid file name: it is empty, starts with a dot or contains a separator"
            );
            return Err(io::Error::new(ErrorKind::InvalidInput, message));
        }
        Ok(self.path.join(name))
    }

    fn error(&self, operation: &'static str, name: &str, source: io::Error) -> StorageError {
        StorageError::new(operation, &self.path.join(name).display().to_string(), source)
    }

    fn with_file<T>(
        &self,
        operation: &'static str,
        name: &str,
        perform: impl FnOnce(&Path) -> io::Result<T>,
    ) -> Result<T> {
        self.file_path(name)
            .and_then(|path| perform(&path))
            .map_err(|source| self.error(operation, name, source))
    }

    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok());
            }
        }
        names.sort_unstable();
        Ok(names)
    }
}

impl Storage for Directory {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        self.with_file("read", name, |path| match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        })
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.with_file("write", name, |path| File::create(path)?.write_all(bytes))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.with_file("append to", name, |path| {
            OpenOptions::new().append(true).create(true).open(path)?.write_all(bytes)
        })
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<()> {
        self.with_file("cut", name, |path| OpenOptions::new().write(true).open(path)?.set_len(len))
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.with_file("sync", name, |path| File::open(path)?.sync_all())
    }

    fn sync_directory(&mut self) -> Result<()> {
        File::open(&self.path)
            .and_then(|directory| directory.sync_all())
            .map_err(|source| self.error("sync", "", source))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let new_path = self.file_path(to).map_err(|source| self.error("rename to", to, source))?;
        self.with_file("rename", from, |old_path| fs::rename(old_path, new_path))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.with_file("remove", name, |path| match fs::remove_file(path) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        })
    }

    fn list(&mut self) -> Result<Vec<String>> {
        self.file_names().map_err(|source| self.error("list", "", source))
    }
}
