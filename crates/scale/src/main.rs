//! liftrouter-scale: plays a fleet on loopback, measures slopes, and reports what holds at the operators' size.
#![forbid(unsafe_code)]

fn main() {}
