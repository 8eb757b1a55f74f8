//! Reads decimal numbers that come from peers and clients.

/// More characters than any valid number has.
const MAX_CHARACTERS: usize = 20;

/// Reads digits with at most one point. What else `f64` parses (signs, exponents, infinity) is no number here.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= MAX_CHARACTERS && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|number| is_plain && number.is_finite())
}
