use super::*;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_AGE: Duration = Duration::from_secs(600);

fn action_after(connection: &Connection, age: Duration) -> ConnectionAction {
    connection.next_action(connection.accepted_at + age, IDLE_TIMEOUT, MAX_AGE)
}

#[test]
fn a_connection_without_a_call_is_closed() {
    let connection = Connection::new(false);
    let just_before = FIRST_CALL_TIMEOUT.saturating_sub(Duration::from_millis(1));
    let deadline = connection.accepted_at + FIRST_CALL_TIMEOUT;
    assert_eq!(action_after(&connection, just_before), ConnectionAction::Wait(deadline));
    assert_eq!(action_after(&connection, FIRST_CALL_TIMEOUT), ConnectionAction::Close);
}

#[test]
fn an_idle_or_old_connection_gets_goaway_and_is_closed_after_the_grace_time() {
    let connection = Connection::new(false);
    let call = OpenCall::new(&connection);
    assert!(
        matches!(action_after(&connection, IDLE_TIMEOUT * 2), ConnectionAction::Wait(_)),
        "a call is open"
    );
    assert_eq!(action_after(&connection, MAX_AGE), ConnectionAction::GoAway);
    drop(call);
    let idle = connection.idle_since.get() + IDLE_TIMEOUT;
    assert_eq!(connection.next_action(idle, IDLE_TIMEOUT, MAX_AGE), ConnectionAction::GoAway);
    connection.go_away();
    let since = connection.going_away_since.get().expect("going away");
    assert!(matches!(connection.next_action(since, IDLE_TIMEOUT, MAX_AGE), ConnectionAction::Wait(_)));
    assert_eq!(connection.next_action(since + GO_AWAY_GRACE, IDLE_TIMEOUT, MAX_AGE), ConnectionAction::Close);
    // A call that crossed the GOAWAY keeps the connection open.
    let _call = OpenCall::new(&connection);
    assert!(matches!(
        connection.next_action(since + GO_AWAY_GRACE, IDLE_TIMEOUT, MAX_AGE),
        ConnectionAction::Wait(_)
    ));
}

#[test]
fn an_undelivered_reply_closes_its_connection() {
    let connection = Connection::new(false);
    let call = OpenCall::new(&connection);
    let undelivered = call.track_reply();
    drop(call);
    let since = Instant::now();
    assert!(matches!(connection.next_action(since, IDLE_TIMEOUT, MAX_AGE), ConnectionAction::Wait(_)));
    assert!(connection.idle_since().is_none());
    assert_eq!(
        connection.next_action(since + UNDELIVERED_REPLY_TIMEOUT, IDLE_TIMEOUT, MAX_AGE),
        ConnectionAction::Close
    );
    drop(undelivered);
    assert!(matches!(
        connection.next_action(since + UNDELIVERED_REPLY_TIMEOUT, IDLE_TIMEOUT, MAX_AGE),
        ConnectionAction::Wait(_)
    ));
    assert!(connection.idle_since().is_some());
}
