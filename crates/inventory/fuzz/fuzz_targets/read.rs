//! `cargo fuzz run read` in `crates/inventory`: no bytes may panic, and what is accepted can be written and read
//! again.
#![no_main]

use libfuzzer_sys::fuzz_target;
use liftrouter_inventory::{read, write, Form};

fuzz_target!(|input: (bool, &[u8])| {
    let form = if input.0 { Form::Csv } else { Form::Yaml };
    if let Ok(inventory) = read("fuzz", form, input.1) {
        let again = read("fuzz", form, write(&inventory, form).as_bytes()).expect("what was written is good");
        assert_eq!(again.nodes, inventory.nodes);
    }
});
