//! What a rehearsal is made of, in whichever world it is played: a [`scenario`] says what is installed and what goes
//! wrong, [`schedule`] draws every time and victim from a seed, [`history`] holds what was seen, and [`ledger`] judges
//! that and nothing else. The rules of a keeper's [`counts`], of a [`node`]'s condition and of a link's [`trouble`]
//! are the same in all worlds, and so are the [`settings`] that limiters are told. Pure but for the history's clock.
#![warn(missing_docs)]

pub mod counts;
pub mod history;
pub mod ledger;
pub mod node;
pub mod scenario;
pub mod schedule;
pub mod settings;
pub mod trouble;
