//! Scale runs on loopback.
