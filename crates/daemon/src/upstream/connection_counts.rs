//! Counts the connections of one client: those that are open, and those that were closed with an unanswered request.

use super::socket::WriteProgress;
use crate::log::log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The counts of one client's connections. They are shared by its connections.
pub struct ConnectionCounts {
    /// The part of the program that the client's log lines are about.
    log_part: &'static str,
    open: Cell<usize>,
    closed_unanswered: Cell<u64>,
}

impl ConnectionCounts {
    /// Counts that are all 0.
    pub fn new(log_part: &'static str) -> Rc<Self> {
        Rc::new(ConnectionCounts { log_part, open: Cell::new(0), closed_unanswered: Cell::new(0) })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts a connection that is being opened.
    pub(super) fn opening(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Counts a connection as closed.
    pub(super) fn closed(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Counts a connection that was closed although the latest request on it, begun `age` ago, was not answered. Logs
    /// numbers 1, 2, 4, 8 and so on, so that a server that stays silent does not flood the log.
    pub(super) fn closed_unanswered(&self, address: SocketAddr, written: WriteProgress, age: Duration) {
        let count = self.closed_unanswered.get() + 1;
        self.closed_unanswered.set(count);
        if !count.is_power_of_two() {
            return;
        }
        let written = match written {
            WriteProgress::Complete => "written",
            WriteProgress::None | WriteProgress::Partial => "written in part",
        };
        let age_s = age.as_secs_f64();
        log(
            self.log_part,
            format_args!(
                "{address}: closed with a request unanswered, {written} {age_s:.3} s ago (number {count})"
            ),
        );
    }
}
