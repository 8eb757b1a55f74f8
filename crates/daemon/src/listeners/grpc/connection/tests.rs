use super::*;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_AGE: Duration = Duration::from_secs(600);

fn next_after(connection: &Connection, age: Duration) -> Next {
    connection.next(connection.accepted_at + age, IDLE_TIMEOUT, MAX_AGE)
}

#[test]
fn a_connection_without_a_call_is_closed() {
    let connection = Connection::new(false);
    let just_before = FIRST_CALL_TIMEOUT.saturating_sub(Duration::from_millis(1));
    let deadline = connection.accepted_at + FIRST_CALL_TIMEOUT;
    assert_eq!(next_after(&connection, just_before), Next::Wait(deadline));
    assert_eq!(next_after(&connection, FIRST_CALL_TIMEOUT), Next::Close);
}

#[test]
fn an_idle_or_old_connection_gets_goaway_and_is_closed_after_the_grace_time() {
    let connection = Connection::new(false);
    let call = OpenCall::new(&connection);
    assert!(matches!(next_after(&connection, IDLE_TIMEOUT * 2), Next::Wait(_)), "a call is open");
    assert_eq!(next_after(&connection, MAX_AGE), Next::GoAway);
    drop(call);
    let idle = connection.idle_since.get() + IDLE_TIMEOUT;
    assert_eq!(connection.next(idle, IDLE_TIMEOUT, MAX_AGE), Next::GoAway);
    connection.go_away();
    let since = connection.going_away_since.get().expect("going away");
    assert!(matches!(connection.next(since, IDLE_TIMEOUT, MAX_AGE), Next::Wait(_)));
    assert_eq!(connection.next(since + GO_AWAY_GRACE, IDLE_TIMEOUT, MAX_AGE), Next::Close);
    // But not within a call that crossed the GOAWAY.
    let _call = OpenCall::new(&connection);
    assert!(matches!(connection.next(since + GO_AWAY_GRACE, IDLE_TIMEOUT, MAX_AGE), Next::Wait(_)));
}

#[test]
fn a_reply_that_is_not_taken_closes_its_connection() {
    let connection = Connection::new(false);
    let call = OpenCall::new(&connection);
    let undelivered = call.replied();
    drop(call);
    let since = Instant::now();
    assert!(matches!(connection.next(since, IDLE_TIMEOUT, MAX_AGE), Next::Wait(_)));
    assert!(connection.idle_since().is_none());
    assert_eq!(connection.next(since + UNDELIVERED_REPLY_TIMEOUT, IDLE_TIMEOUT, MAX_AGE), Next::Close);
    drop(undelivered);
    assert!(matches!(
        connection.next(since + UNDELIVERED_REPLY_TIMEOUT, IDLE_TIMEOUT, MAX_AGE),
        Next::Wait(_)
    ));
    assert!(connection.idle_since().is_some());
}
