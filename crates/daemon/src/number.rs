//! Numbers as they come in from peers and clients.

/// Plain digits with at most one point: what else `f64` reads (signs, exponents, infinity) is no number here.
pub fn read_number(text: &str) -> Option<f64> {
    let plain = text.len() <= 20 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|n| plain && n.is_finite())
}
