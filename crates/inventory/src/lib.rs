//! Inventories of servers as operators' configuration tools keep them, in CSV or YAML.
//!
//! Pure: text in, an [`Inventory`] or all its [`Fault`]s out; contents and times in, a [`Decision`] to adopt or to
//! keep out. Nothing here reads a file or a clock, and no input makes it panic or use memory out of proportion:
//! a text over [`MAX_BYTES`] is refused unread, one over [`MAX_NODES`] nodes whole, and at most
//! [`MAX_FAULTS`] faults are listed.
//!
//! ```
//! use liftrouter_inventory::{read, Format};
//!
//! let text = "id,address,zone,kind,cell,state,weight,started_ms\n\
//!             s-1,10.1.0.18:5000,room-a,std,3,in_service,1,\n\
//!             s-2,10.1.0.18:5000,room-a,std,3,in_use,1,\n";
//! let faults = read("nodes.csv", Format::Csv, text.as_bytes()).unwrap_err();
//! assert_eq!(faults[0].to_string(), "nodes.csv:3:5: s-2: address 10.1.0.18:5000 is that of s-1 in line 2");
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

/// Reads an inventory; `file` is what faults are said to lie in.
///
/// # Errors
/// Every fault of the text, by line and column, and nothing of it is taken.
pub fn read(file: &str, format: Format, bytes: &[u8]) -> Result<Inventory, Vec<Fault>> {
    let mut faults = model::Faults::new(file);
    let Some(text) = model::text(bytes, &mut faults) else { return Err(faults.all()) };
    let raw = match format {
        Format::Csv => csv_form::read(text, &mut faults),
        Format::Yaml => yaml_form::read(text, &mut faults),
    };
    let inventory = check::check(raw, &mut faults);
    if faults.is_empty() {
        Ok(inventory)
    } else {
        Err(faults.all())
    }
}
