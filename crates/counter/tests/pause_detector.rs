//! Detection of process pauses.

use liftrouter_counter::PauseDetector;

#[test]
fn a_gap_above_the_threshold_is_a_pause_and_reported_once() {
    let mut detector = PauseDetector::new(1.0, 10.0);
    for at in [10.5, 11.0, 12.0, 12.9] {
        assert_eq!(detector.check(at), None);
    }
    assert!(detector.check(15.0).is_some_and(|gap| (gap - 2.1).abs() < 1e-9));
    assert_eq!(detector.check(15.1), None, "reported once");
    assert_eq!(detector.check(3.0), None, "a clock that is set back is not a pause");
}
