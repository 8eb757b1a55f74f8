//! Limits the rate of HTTP/2 frames that are cheap to send and expensive to process (RFC 9113, section 10.5).
//!
//! hyper answers each SETTINGS and PING and discards the work of a reset stream. It bounds the memory that they take,
//! but not their rate, so this module reads the frame headers of everything that a peer sends.

use crate::wire::{CONTINUATION, DATA, FRAME_HEADER_LEN, HEADERS, PREFACE, RST_STREAM};
use std::fmt;

/// Limits on the rate of frames over one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrameLimits {
    /// RST_STREAM frames a second; the burst is twice as many.
    pub resets_per_s: f64,
    /// Frames a second that carry no part of a call: SETTINGS, PING, PRIORITY, WINDOW_UPDATE, empty DATA, CONTINUATION
    /// of 1024 bytes or less, and unknown types. The burst is twice as many.
    pub control_per_s: f64,
}

/// Control frames that each call may add to the limit; most of them are window updates.
const CONTROL_PER_CALL: f64 = 4.0;

/// The limit that a peer has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// The limit on RST_STREAM frames.
    Resets,
    /// The limit on frames that carry no part of a call.
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

/// Counts the frames that one peer sends, with a token bucket for each limit.
#[derive(Debug)]
pub struct FrameMeter {
    limits: FrameLimits,
    reset_tokens: f64,
    control_tokens: f64,
    refilled_at: f64,
    /// Bytes of the preface or of a frame's payload that are still to be skipped.
    skip: usize,
    header: [u8; FRAME_HEADER_LEN],
    /// Bytes of `header` that have been received.
    header_len: usize,
}

impl FrameMeter {
    /// A meter for the server side of a connection, whose peer begins with the preface.
    pub fn server(limits: FrameLimits, now: f64) -> FrameMeter {
        FrameMeter {
            limits,
            reset_tokens: limits.resets_per_s * 2.0,
            control_tokens: limits.control_per_s * 2.0,
            refilled_at: now,
            skip: PREFACE.len(),
            header: [0; FRAME_HEADER_LEN],
            header_len: 0,
        }
    }

    /// A meter for the client side of a connection, whose peer sends no preface.
    pub fn client(limits: FrameLimits, now: f64) -> FrameMeter {
        FrameMeter { skip: 0, ..FrameMeter::server(limits, now) }
    }

    /// Counts the frames in the bytes received at `now`, in seconds.
    ///
    /// # Errors
    /// The limit that is exceeded; the connection is to be closed.
    pub fn read(&mut self, mut bytes: &[u8], now: f64) -> Result<(), Flood> {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.refilled_at = now;
        self.reset_tokens =
            (self.reset_tokens + elapsed * self.limits.resets_per_s).min(self.limits.resets_per_s * 2.0);
        self.control_tokens =
            (self.control_tokens + elapsed * self.limits.control_per_s).min(self.limits.control_per_s * 2.0);
        while !bytes.is_empty() {
            let skipped = self.skip.min(bytes.len());
            self.skip -= skipped;
            bytes = &bytes[skipped..];
            let taken = (FRAME_HEADER_LEN - self.header_len).min(bytes.len());
            if self.skip > 0 || taken == 0 {
                continue;
            }
            self.header[self.header_len..self.header_len + taken].copy_from_slice(&bytes[..taken]);
            self.header_len += taken;
            bytes = &bytes[taken..];
            if self.header_len == FRAME_HEADER_LEN {
                self.header_len = 0;
                self.count_frame()?;
            }
        }
        Ok(())
    }

    fn count_frame(&mut self) -> Result<(), Flood> {
        let [a, b, c, kind, ..] = self.header;
        self.skip = usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
        let (tokens, flood) = match kind {
            HEADERS => {
                self.control_tokens =
                    (self.control_tokens + CONTROL_PER_CALL).min(self.limits.control_per_s * 2.0);
                return Ok(());
            }
            DATA if self.skip > 0 => return Ok(()),
            CONTINUATION if self.skip > 1_024 => return Ok(()),
            RST_STREAM => (&mut self.reset_tokens, Flood::Resets),
            _ => (&mut self.control_tokens, Flood::Control),
        };
        *tokens -= 1.0;
        if *tokens < 0.0 {
            return Err(flood);
        }
        Ok(())
    }
}
