//! A folder of the operating system.

use crate::{Disk, Fault, Result};
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A folder of the operating system, made if it is not there.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Opens or makes it.
    ///
    /// # Errors
    /// It cannot be made, or is something else.
    pub fn open(path: &Path) -> Result<Folder> {
        fs::create_dir_all(path).map_err(|why| Fault::of("make", &path.display().to_string(), why))?;
        Ok(Folder { path: path.into() })
    }

    fn path(&self, name: &str) -> std::result::Result<PathBuf, io::Error> {
        if name.is_empty() || name.starts_with('.') || name.contains(['/', '\\', '\0']) {
            let what = format!("{name:?} is no name of a file in one folder");
            return Err(io::Error::new(ErrorKind::InvalidInput, what));
        }
        Ok(self.path.join(name))
    }

    fn fault(&self, doing: &'static str, name: &str, why: io::Error) -> Fault {
        Fault::of(doing, &self.path.join(name).display().to_string(), why)
    }

    fn at<T>(&self, doing: &'static str, name: &str, done: impl FnOnce(&Path) -> io::Result<T>) -> Result<T> {
        self.path(name).and_then(|path| done(&path)).map_err(|why| self.fault(doing, name, why))
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        self.at("read", name, |path| match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        })
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.at("write", name, |path| File::create(path)?.write_all(bytes))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.at("append to", name, |path| {
            OpenOptions::new().append(true).create(true).open(path)?.write_all(bytes)
        })
    }

    fn cut(&mut self, name: &str, len: u64) -> Result<()> {
        self.at("cut", name, |path| OpenOptions::new().write(true).open(path)?.set_len(len))
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.at("sync", name, |path| File::open(path)?.sync_all())
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path).and_then(|f| f.sync_all()).map_err(|why| self.fault("sync", "", why))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let to = self.path(to).map_err(|why| self.fault("rename to", to, why))?;
        self.at("rename", from, |from| fs::rename(from, to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.at("remove", name, |path| match fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        })
    }

    fn list(&mut self) -> Result<Vec<String>> {
        let read = || -> io::Result<Vec<String>> {
            let mut names = Vec::new();
            for entry in fs::read_dir(&self.path)? {
                let entry = entry?;
                if entry.file_type()?.is_file() {
                    names.extend(entry.file_name().into_string().ok());
                }
            }
            names.sort_unstable();
            Ok(names)
        };
        read().map_err(|why| self.fault("list", "", why))
    }
}
