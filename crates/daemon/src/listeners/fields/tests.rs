use super::*;

#[test]
fn a_customer_is_sixteen_hexadecimal_digits_below_the_limit() {
    assert_eq!(parse_customer("00000000B4D65521").as_deref(), Some("00000000b4d65521"));
    assert_eq!(parse_customer("00000001ffffffff").as_deref(), Some("00000001ffffffff"));
    for malformed in ["", "b4d65521", "0000000200000000", "+0000000b4d65521", "zzzzzzzzb4d65521"] {
        assert_eq!(parse_customer(malformed), None, "{malformed:?}");
    }
}

#[test]
fn the_time_left_has_a_unit_and_is_capped_at_the_deadline_of_its_class() {
    let mut class = Class::default();
    assert_eq!(parse_time_left("480m", &class), Some(Duration::from_millis(480)));
    assert_eq!(parse_time_left("1500u", &class), Some(Duration::from_micros(1_500)));
    for malformed in ["", "480", "m", "-1m", "1e3m", "480s"] {
        assert_eq!(parse_time_left(malformed, &class), None, "{malformed:?}");
    }
    class.deadline_s = 0.25;
    assert_eq!(parse_time_left("480m", &class), Some(Duration::from_millis(250)));
}
