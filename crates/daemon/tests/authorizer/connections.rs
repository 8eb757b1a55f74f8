//! The connections to an authorizer: their number, their loss, and retries of check requests that were not processed.

use super::*;

#[test]
fn a_check_request_that_was_not_processed_is_retried_once() {
    let refused = FakeAuthorizer::new(|received| {
        let refusal = raw_frame(RST_STREAM, 0, received.stream, &REFUSED_STREAM.to_be_bytes());
        vec![Action::Write(if received.index == 0 { refusal } else { answer(received.stream, &allow()) })]
    });
    // Streams above the last id of a GOAWAY were not processed (RFC 9113, section 6.8).
    let above = FakeAuthorizer::new(|received| {
        vec![Action::Write(if received.index == 0 { goaway(0) } else { answer(received.stream, &allow()) })]
    });
    for (authorizer, connections) in [(refused, 1), (above, 2)] {
        let server = server();
        let limiter = limiter(&authorizer, "timeout_ms = 5000\n", &server);
        assert_eq!(limiter.client().ask(&post("bind", "{}")).status(), 200);
        assert_eq!((authorizer.count(), authorizer.connections()), (2, connections));
    }
}

#[test]
fn a_stream_up_to_the_last_id_of_a_goaway_is_awaited_and_not_retried() {
    let answering = FakeAuthorizer::new(|received| {
        let pause = Action::Wait(Duration::from_millis(50));
        vec![Action::Write(goaway(received.stream)), pause, Action::Write(answer(received.stream, &allow()))]
    });
    let server = server();
    let limiter = limiter(&answering, "timeout_ms = 5000\n", &server);
    assert_eq!(limiter.client().ask(&post("bind", "{}")).status(), 200);
    // The next check request uses a new connection.
    assert_eq!(limiter.client().ask(&post("bind", "{}")).status(), 200);
    assert_eq!((answering.count(), answering.connections()), (2, 2));
    // A stream up to the last id may have been processed: when the connection closes, it is not retried.
    let closing = FakeAuthorizer::new(|received| vec![Action::Write(goaway(received.stream)), Action::Close]);
    let limiter = self::limiter(&closing, "timeout_ms = 5000\n", &server);
    assert_eq!(limiter.client().ask(&post("bind", "{}")).status(), 429);
    assert_eq!(closing.count(), 1);
}

#[test]
fn a_lost_connection_leaves_each_of_a_hundred_requests_with_one_answer() {
    let authorizer =
        FakeAuthorizer::new(|received| if received.index == 99 { vec![Action::Close] } else { Vec::new() });
    let server = server();
    let text = operator_text(authorizer.address, "timeout_ms = 10000\nquestions = 200\n");
    let limiter = Limiter::with_operator_text(&text, settings(), &[&server]);
    let mut clients: Vec<Client> = (0..100).map(|_| limiter.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&if n % 2 == 0 { quote("roomy", 1_900) } else { post("bind", "{}") });
    }
    let statuses: Vec<u16> = clients.iter_mut().map(|c| c.answer().expect("an answer").status()).collect();
    assert!(statuses.iter().skip(1).step_by(2).all(|status| *status == 429), "{statuses:?}");
    // The fifty of class `quote` go on at once; the module forwards as many as one server may have in flight.
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served > 0 && statuses.iter().all(|status| matches!(status, 200 | 429)), "{statuses:?}");
    assert_eq!((authorizer.count(), server.count()), (100, served));
}

#[test]
fn connections_are_opened_up_to_the_limit_while_all_are_busy() {
    let authorizer = FakeAuthorizer::new(|_| Vec::new());
    let server = server();
    let limiter = limiter(&authorizer, "timeout_ms = 60000\nconnections = 3\n", &server);
    let mut waiting: Vec<Client> = (0..12).map(|_| limiter.client()).collect();
    for (n, client) in waiting.iter_mut().enumerate() {
        client.send(&quote("roomy", 1_900));
        wait_until("the check request is received", || authorizer.count() == n + 1);
    }
    assert_eq!(authorizer.connections(), 3);
}

#[test]
fn a_silent_connection_is_replaced() {
    // The first connection accepts everything and never answers, like one whose peer has vanished.
    let authorizer = FakeAuthorizer::new(|received| {
        let answers = received.connection > 0;
        answers.then(|| Action::Write(answer(received.stream, &allow()))).into_iter().collect()
    });
    let server = server();
    let limiter = limiter(&authorizer, "timeout_ms = 50\nfailures = 1000\n", &server);
    let mut client = limiter.client();
    wait_until("another connection is used", || client.ask(&post("bind", "{}")).status() == 200);
    assert!(authorizer.connections() >= 2);
}
