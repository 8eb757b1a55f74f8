//! Counts the frames that a peer sends, for floods that cost it little and us much: RFC 9113, 10.5.
//!
//! hyper answers each SETTINGS and PING, and gives up a reset stream's work; it bounds what it keeps of
//! them and not how often they come. So the bytes are read along here, headers of frames only.

use crate::wire::{CONTINUATION, DATA, HEAD, HEADERS, PREFACE, RST_STREAM};
use std::fmt;

/// How often frames may come over one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrameLimits {
    /// RST_STREAM frames a second; twice as many at once.
    pub resets_per_s: f64,
    /// Frames a second that carry no part of a call (SETTINGS, PING, PRIORITY, WINDOW_UPDATE, empty DATA,
    /// CONTINUATION, unknown ones); twice as many at once.
    pub control_per_s: f64,
}

/// Of control frames each call may bring so many on top: window updates, mostly.
const PER_CALL: f64 = 4.0;

/// Too many frames of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// RST_STREAM.
    Resets,
    /// Frames that carry no part of a call.
    Control,
}

impl fmt::Display for Flood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Flood::Resets => "too many streams are reset",
            Flood::Control => "too many frames that carry no part of a call",
        })
    }
}

/// Reads along what one peer sends.
#[derive(Debug)]
pub struct FrameMeter {
    limits: FrameLimits,
    resets: f64,
    control: f64,
    at: f64,
    /// Bytes still to skip: of the preface, or of a frame's payload.
    skip: usize,
    header: [u8; HEAD],
    have: usize,
}

impl FrameMeter {
    /// For a connection to a server, whose peer begins with the preface.
    pub fn server(limits: FrameLimits, now: f64) -> FrameMeter {
        FrameMeter {
            limits,
            resets: limits.resets_per_s * 2.0,
            control: limits.control_per_s * 2.0,
            at: now,
            skip: PREFACE.len(),
            header: [0; HEAD],
            have: 0,
        }
    }

    /// For a connection to an authoriser, which sends no preface.
    pub fn client(limits: FrameLimits, now: f64) -> FrameMeter {
        FrameMeter { skip: 0, ..FrameMeter::server(limits, now) }
    }

    /// Takes in what came at a time in seconds.
    ///
    /// # Errors
    /// The frame that is one too many; the connection is to be closed.
    pub fn read(&mut self, mut bytes: &[u8], now: f64) -> Result<(), Flood> {
        let passed = (now - self.at).max(0.0);
        self.at = now;
        self.resets = (self.resets + passed * self.limits.resets_per_s).min(self.limits.resets_per_s * 2.0);
        self.control =
            (self.control + passed * self.limits.control_per_s).min(self.limits.control_per_s * 2.0);
        while !bytes.is_empty() {
            let skipped = self.skip.min(bytes.len());
            self.skip -= skipped;
            bytes = &bytes[skipped..];
            let taken = (HEAD - self.have).min(bytes.len());
            if self.skip > 0 || taken == 0 {
                continue;
            }
            self.header[self.have..self.have + taken].copy_from_slice(&bytes[..taken]);
            self.have += taken;
            bytes = &bytes[taken..];
            if self.have == HEAD {
                self.have = 0;
                self.frame()?;
            }
        }
        Ok(())
    }

    fn frame(&mut self) -> Result<(), Flood> {
        let [a, b, c, kind, ..] = self.header;
        self.skip = usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
        let (left, flood) = match kind {
            HEADERS => {
                self.control = (self.control + PER_CALL).min(self.limits.control_per_s * 2.0);
                return Ok(());
            }
            DATA if self.skip > 0 => return Ok(()),
            CONTINUATION if self.skip > 1_024 => return Ok(()),
            RST_STREAM => (&mut self.resets, Flood::Resets),
            _ => (&mut self.control, Flood::Control),
        };
        *left -= 1.0;
        if *left < 0.0 {
            return Err(flood);
        }
        Ok(())
    }
}
