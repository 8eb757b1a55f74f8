//! Strict parsing of decimal numbers sent by peers and clients.

/// Longest accepted text, in bytes; no valid number of the protocols is that long.
const MAX_LEN: usize = 20;

/// Parses digits with at most one decimal point. Other forms that `f64` accepts (signs, exponents, infinity, NaN) are
/// rejected.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= MAX_LEN && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|number| is_plain && number.is_finite())
}
