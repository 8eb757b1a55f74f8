//! Counts the connections of one client: those that are open, and those that were closed with an unanswered request.

use super::socket::WriteProgress;
use crate::count_guard::CountGuard;
use crate::log::{log, Occurrences};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The counts of one client's connections. They are shared by its connections.
pub struct ConnectionCounts {
    /// The part of the program that the client's log lines are about.
    log_part: &'static str,
    open: Rc<Cell<usize>>,
    closed_unanswered: Occurrences,
}

impl ConnectionCounts {
    /// Counts that are all 0.
    pub fn new(log_part: &'static str) -> Rc<Self> {
        Rc::new(ConnectionCounts { log_part, open: Rc::default(), closed_unanswered: Occurrences::default() })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts a connection as open until the guard is dropped.
    pub(super) fn open_connection(&self) -> CountGuard<Rc<Cell<usize>>> {
        CountGuard::new(self.open.clone())
    }

    /// Counts a connection that was closed although the latest request on it, begun `age` ago, was not answered.
    pub(super) fn closed_unanswered(&self, address: SocketAddr, written: WriteProgress, age: Duration) {
        let Some(number) = self.closed_unanswered.count() else { return };
        let written = match written {
            WriteProgress::Complete => "written",
            WriteProgress::None | WriteProgress::Partial => "written in part",
        };
        let age_s = age.as_secs_f64();
        log(
            self.log_part,
            format_args!(
                "{address}: closed with a request unanswered, {written} {age_s:.3} s ago (number {number})"
            ),
        );
    }
}
