//! Inventories of servers as operators' configuration tools write them, in CSV or YAML.
//!
//! The crate does no I/O and reads no clock: [`read()`] turns a text into an [`Inventory`] or the list of its
//! [`Fault`]s, and [`Watch`] turns successive contents of a file and their times into a [`Decision`]. No input makes
//! it panic or use memory out of proportion: a text over [`MAX_BYTES`] is refused without being parsed, one with more
//! than [`MAX_NODES`] nodes is refused as a whole, and at most [`MAX_FAULTS`] faults are listed.
//!
//! ```
//! use liftrouter_inventory::{read, Format};
//!
//! let text = "id,address,zone,kind,cell,state,weight,started_ms\n\
//!             s-1,10.1.0.18:5000,room-a,std,3,in_service,1,\n\
//!             s-2,10.1.0.18:5000,room-a,std,3,in_use,1,\n";
//! let faults = read("nodes.csv", Format::Csv, text.as_bytes()).unwrap_err();
//! assert_eq!(faults[0].to_string(), "nodes.csv:3:5: s-2: address 10.1.0.18:5000 is already used by s-1 in line 2");
//! assert_eq!(
//!     faults[1].to_string(),
//!     "nodes.csv:3:33: s-2: state is \"in_use\", expected in_service, terminating or terminated"
//! );
//! ```
#![warn(missing_docs)]

mod adopt;
mod check;
mod csv_form;
mod diff;
mod model;
mod write;
mod yaml_form;

pub use adopt::{Decision, Policy, Refusal, Watch};
pub use diff::{diff, Change, Effect};
pub use model::{Fault, Format, Inventory, Node, State, COLUMNS, MAX_BYTES, MAX_FAULTS, MAX_NODES};
pub use write::write;

/// Parses and validates an inventory. `file` is the file name that faults carry.
///
/// # Errors
/// Returns the faults of the text, ordered by line and column. An inventory with any fault is rejected as a whole.
pub fn read(file: &str, format: Format, bytes: &[u8]) -> Result<Inventory, Vec<Fault>> {
    let mut faults = model::Faults::new(file);
    let Some(text) = model::decode(bytes, &mut faults) else { return Err(faults.into_sorted()) };
    let raw = match format {
        Format::Csv => csv_form::read(text, &mut faults),
        Format::Yaml => yaml_form::read(text, &mut faults),
    };
    let inventory = check::check(raw, &mut faults);
    if faults.is_empty() {
        Ok(inventory)
    } else {
        Err(faults.into_sorted())
    }
}
