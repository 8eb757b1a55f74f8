//! The file layer that every store of a limiter uses.
//!
//! [`Disk`] is what a store may ask of a folder. [`Folder`] asks the operating system; [`Memory`] keeps what was written apart
//! from what was made to last, so that a power cut can be played at any step; [`Lying`] stands before another one and does on
//! command what disks do: it writes half, says yes and keeps nothing, gives back old or flipped bytes, stalls, fills up.
//!
//! [`Log`] and [`Snapshots`] are the defence: what they give back was written whole and in that order, or they say what is
//! wrong with it, by file and byte. See `docs/design/disk.md`.
//!
//! ```
//! use liftrouter_storage::{Disk, Log, Memory};
//!
//! let mut disk = Memory::new(7);
//! let (mut log, found) = Log::open(&mut disk, "record", 1).expect("it can be opened");
//! assert!(found.entries.is_empty());
//! log.append(&mut disk, b"first").expect("written");
//! log.sync(&mut disk).expect("on disk");
//! log.append(&mut disk, b"second").expect("written");
//! disk.power_cut();
//! let (_, found) = Log::open(&mut disk, "record", 1).expect("it can be opened");
//! assert_eq!(found.entries[0], b"first");
//! ```
#![warn(missing_docs)]

mod fault;
mod folder;
mod log;
mod lying;
mod memory;
mod snapshot;

pub use fault::{Fault, Result};
pub use folder::Folder;
pub use log::{Found, Log, Tail, LONGEST_ENTRY};
pub use lying::{Lie, Lies, Lying};
pub use memory::Memory;
pub use snapshot::{Refused, Snapshots, Whole};

/// So many bytes at a place; none where there are fewer.
fn array<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// What a store may ask of its folder. Names are of files in it, with no folder of their own.
///
/// What was written may be lost until [`Disk::sync`] has said yes to it, and a file that is new, renamed or removed until
/// [`Disk::sync_folder`] has. Nothing else is promised: a write that was not synced may be there in part.
pub trait Disk {
    /// The whole of a file; none where it is not there.
    ///
    /// # Errors
    /// It cannot be read.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>>;

    /// Makes a file of these bytes, in place of what was there.
    ///
    /// # Errors
    /// It cannot be written; a part may be.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Puts bytes behind what is there; the file is made where it is not.
    ///
    /// # Errors
    /// They cannot be written; a part may be.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Cuts a file down to so many bytes.
    ///
    /// # Errors
    /// It cannot be cut, or is not there.
    fn cut(&mut self, name: &str, len: u64) -> Result<()>;

    /// What was written to a file lasts from now on.
    ///
    /// # Errors
    /// It may not last: what was written since the last yes must be taken for lost, also if a later call says yes.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Which files there are lasts from now on.
    ///
    /// # Errors
    /// It may not last.
    fn sync_folder(&mut self) -> Result<()>;

    /// Gives a file another name, in place of one that has it.
    ///
    /// # Errors
    /// It cannot be renamed, or is not there.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Removes a file, if it is there.
    ///
    /// # Errors
    /// It cannot be removed.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// The names of all files, in order.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&mut self) -> Result<Vec<String>>;
}
