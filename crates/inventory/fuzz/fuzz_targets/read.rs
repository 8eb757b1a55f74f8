//! Checks that no input makes the parser panic and that an accepted inventory can be written and read back. Run with
//! `cargo fuzz run read` in `crates/inventory`.
#![no_main]

use libfuzzer_sys::fuzz_target;
use liftrouter_inventory::{read, write, Format};

fuzz_target!(|input: (bool, &[u8])| {
    let format = if input.0 { Format::Csv } else { Format::Yaml };
    if let Ok(inventory) = read("fuzz", format, input.1) {
        let again = read("fuzz", format, write(&inventory, format).as_bytes()).expect("what was written is good");
        assert_eq!(again.nodes, inventory.nodes);
    }
});
