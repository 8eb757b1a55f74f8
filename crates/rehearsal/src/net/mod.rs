//! Links and messages: what stand-ins and clients speak over.

pub mod close;
mod end;
pub mod link;
pub mod message;
