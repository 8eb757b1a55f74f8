//! The stand-in quote nodes over real sockets: what they take, turn away, remember and spoil.
mod common;

use liftrouter_rehearsal::history::{Entry, Event, NodeNews, Over, Recorder};
use liftrouter_rehearsal::net::link::{Link, Trouble};
use liftrouter_rehearsal::net::message::{take_answer, Answer};
use liftrouter_rehearsal::scenario::Scenario;
use liftrouter_rehearsal::schedule::{Arrival, Customer, Schedule, Try};
use liftrouter_rehearsal::standin::list::List;
use liftrouter_rehearsal::standin::nodes::{is_own, Condition, Fleet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const LONG: Duration = Duration::from_secs(20);

struct World {
    fleet: Fleet,
    list: Arc<List>,
    recorder: Arc<Recorder>,
    link: Arc<Link>,
}

/// One node of one core with a queue of one, for one limiter; so many requests of 50 ms are known.
fn world(change: impl FnOnce(&mut Scenario)) -> World {
    let mut scenario = common::small();
    scenario.limiters.count = 1;
    scenario.nodes.count = 1;
    (scenario.nodes.cores, scenario.nodes.queue_per_core) = (1, 1);
    (scenario.list.notice_s, scenario.nodes.handshake_ms) = (0.0, 0.0);
    change(&mut scenario);
    let arrival = Arrival {
        at: 0,
        customer: 0,
        class: 0,
        units: 3,
        guess: 1,
        work: 50_000,
        tries: vec![Try { place: 0, backoff: 0 }; 3],
        heeds: true,
        leaves: None,
        permission: None,
    };
    let schedule = Schedule {
        seed: 1,
        speeds: vec![1.0],
        customers: vec![Customer { number: 1, plan: 0, first: 0, spread: 1 }],
        arrivals: vec![arrival; 200],
        faults: Vec::new(),
        end: 0,
    };
    let recorder: Arc<Recorder> = Arc::default();
    let list = List::new(recorder.clone());
    let link = Link::new();
    // The first limiter's link can be troubled.
    let mut links = vec![vec![link.clone()]];
    links.resize_with(scenario.limiters.count, || vec![Link::new()]);
    let fleet =
        Fleet::start(Arc::new(scenario), Arc::new(schedule), recorder.clone(), list.clone(), links, None);
    World { fleet: fleet.expect("a fleet"), list, recorder, link }
}

impl World {
    fn address(&self) -> SocketAddr {
        self.address_for(0)
    }

    /// The node's address for this limiter.
    fn address_for(&self, limiter: usize) -> SocketAddr {
        let whole = self.list.whole(limiter);
        whole["instances"][0]["hostPort"].as_str().expect("it is listed").parse().expect("an address")
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address()).await.expect("connect")
    }

    /// Waits until the list says this.
    async fn listed(&self, what: impl Fn(&serde_json::Value) -> bool) {
        let limit = Instant::now() + LONG;
        while !what(&self.list.whole(0)) {
            assert!(Instant::now() < limit, "the list stays {}", self.list.whole(0));
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn history(&self) -> Vec<Entry> {
        self.recorder.history()
    }
}

fn ends(history: &[Entry]) -> Vec<Over> {
    let over = |e: &Entry| if let Event::Over { how, .. } = e.event { Some(how) } else { None };
    history.iter().filter_map(over).collect()
}

async fn write(stream: &mut TcpStream, id: u64, key: &str) {
    let text = format!(
        "POST /quote/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id:016x}\r\nIdempotency-Key: {key}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    // One that has been reset shows it when it is read.
    let _ = stream.write_all(text.as_bytes()).await;
}

async fn read(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut buffer = Vec::new();
    loop {
        if let Some(answer) = take_answer(&mut buffer, false).map_err(|e| io::Error::other(e.0))? {
            return Ok(answer);
        }
        if timeout(LONG, stream.read_buf(&mut buffer)).await.expect("in time")? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn ask(stream: &mut TcpStream, n: usize) -> io::Result<Answer> {
    let id = Arrival::id(n, 0);
    write(stream, id, &format!("key-{n}")).await;
    read(stream).await
}

#[tokio::test]
async fn it_serves_its_own_body_with_the_true_units_and_reports_its_load() {
    let w = world(|_| {});
    let mut stream = w.connect().await;
    let answer = ask(&mut stream, 0).await.expect("an answer");
    assert_eq!((answer.status, answer.headers.get("x-settled")), (200, Some("3")));
    assert!(is_own(&answer.body, Arrival::id(0, 0), w.fleet.shared.secret));
    stream.write_all(b"GET /metrics/load HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("write");
    assert_eq!(read(&mut stream).await.expect("a report").body, b"util=0.00");
    stream.write_all(b"GET /quote/1 HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("write");
    assert_eq!(read(&mut stream).await.expect("an answer").status, 404, "a request without an id");
}

#[tokio::test]
async fn beyond_its_queue_it_turns_away_unseen() {
    let w = world(|_| {});
    let mut streams = [w.connect().await, w.connect().await, w.connect().await];
    w.fleet.nodes[0].slow_down(1, 10.0);
    for (n, stream) in streams.iter_mut().enumerate() {
        write(stream, Arrival::id(n, 0), &format!("{n}")).await;
        // One after the other, so that the third is the one too many.
        w.wait_for_arrivals(n + 1).await;
    }
    let third = read(&mut streams[2]).await.expect("an answer");
    assert_eq!((third.status, third.headers.get("x-unprocessed")), (503, Some("1")));
    for stream in &mut streams[..2] {
        assert_eq!(read(stream).await.expect("an answer").status, 200);
    }
    let ends = ends(&w.history());
    assert_eq!(ends.iter().filter(|e| **e == Over::Turned).count(), 1);
}

#[tokio::test]
async fn a_repeated_key_is_not_worked_on_again_while_it_is_remembered() {
    let w = world(|s| s.nodes.key_memory_s = 600.0);
    let mut stream = w.connect().await;
    w.fleet.nodes[0].slow_down(1, 4.0);
    let began = Instant::now();
    write(&mut stream, Arrival::id(0, 0), "same").await;
    read(&mut stream).await.expect("an answer");
    let first = began.elapsed();
    assert!(first >= Duration::from_millis(200), "four times 50 ms");
    let began = Instant::now();
    write(&mut stream, Arrival::id(0, 1), "same").await;
    assert_eq!(read(&mut stream).await.expect("an answer").status, 200);
    assert!(began.elapsed() < first / 2, "{:?} against {first:?}", began.elapsed());
}

#[tokio::test]
async fn two_attempts_at_once_are_seen_by_the_kernel_s_word() {
    let w = world(|s| s.nodes.cores = 4);
    w.fleet.nodes[0].slow_down(1, 4.0);
    let (mut first, mut second, mut third) = (w.connect().await, w.connect().await, w.connect().await);
    let id = Arrival::id(0, 0);
    write(&mut first, id, "k").await;
    write(&mut second, id, "k").await;
    read(&mut second).await.expect("an answer");
    // The first is closed before the third is written: on the wire they never overlap.
    drop(first);
    write(&mut third, id, "k").await;
    read(&mut third).await.expect("an answer");
    assert_eq!(w.others_open(), [0, 1, 0]);
}

/// Guards against a limiter that is accused of two attempts at once for one that a link held until after its connection had
/// ended, and against one that goes free since its first attempt was held.
#[tokio::test]
async fn a_held_attempt_is_beside_another_only_if_the_other_came_before_its_end() {
    for (ends_before, expected) in [(true, [0, 0]), (false, [0, 1])] {
        let w = world(|s| (s.nodes.cores, s.limiters.count) = (4, 2));
        w.fleet.nodes[0].slow_down(1, 40.0);
        let id = Arrival::id(0, 0);
        let mut held = w.connect().await;
        let mut other = TcpStream::connect(w.address_for(1)).await.expect("connect");
        w.link.begin(1, Trouble::Held);
        write(&mut held, id, "k").await;
        if ends_before {
            drop(held);
            // The link sees the end.
            sleep(Duration::from_millis(50)).await;
            write(&mut other, id, "k").await;
            w.wait_for_arrivals(1).await;
        } else {
            write(&mut other, id, "k").await;
            w.wait_for_arrivals(1).await;
            drop(held);
            sleep(Duration::from_millis(50)).await;
        }
        w.link.undo(1);
        w.wait_for_arrivals(2).await;
        let mut open = w.others_open();
        open.sort_unstable();
        assert_eq!(open, expected, "ends before the other comes: {ends_before}");
    }
}

#[tokio::test]
async fn behind_a_held_link_an_attempt_is_out_until_its_answer_is_on_the_wire() {
    let w = world(|_| {});
    let mut stream = w.connect().await;
    w.fleet.nodes[0].slow_down(1, 10.0);
    write(&mut stream, Arrival::id(0, 0), "k").await;
    let limit = Instant::now() + LONG;
    w.wait_for_arrivals(1).await;
    w.link.begin(1, Trouble::Held);
    // Its work is done, and the node has an answer; the link keeps it.
    sleep(Duration::from_millis(700)).await;
    drop(stream);
    loop {
        let ends = ends(&w.history_so_far());
        if !ends.is_empty() {
            assert_eq!(ends, [Over::Closed], "it never got out");
            return;
        }
        assert!(Instant::now() < limit, "its end is not noticed");
        sleep(Duration::from_millis(5)).await;
    }
}

impl World {
    /// Attempts that have come so far.
    fn arrived(&self) -> usize {
        self.history_so_far().iter().filter(|e| matches!(e.event, Event::Arrived { .. })).count()
    }

    /// How many others each attempt found open when it came, in the order of the history.
    fn others_open(&self) -> Vec<usize> {
        let others =
            |e: Entry| if let Event::Arrived { open, .. } = e.event { Some(open.len()) } else { None };
        self.history().into_iter().filter_map(others).collect()
    }

    /// Waits until so many attempts have come.
    async fn wait_for_arrivals(&self, count: usize) {
        let limit = Instant::now() + LONG;
        while self.arrived() < count {
            assert!(Instant::now() < limit, "attempt {count} does not arrive");
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// The history, without taking it out of the recorder.
    fn history_so_far(&self) -> Vec<Entry> {
        let all = self.recorder.history();
        for entry in &all {
            self.recorder.note_at(entry.at, entry.event.clone());
        }
        all
    }
}

#[tokio::test]
async fn a_drained_node_turns_away_and_comes_back_cold_elsewhere_under_its_id() {
    let w = world(|_| {});
    let (node, before) = (&w.fleet.nodes[0], w.address());
    let mut stream = w.connect().await;
    node.want(1, Condition::Draining).expect("drain");
    node.want(2, Condition::Draining).expect("drain");
    w.listed(|l| l["instances"][0]["lifecycle"] == "terminating").await;
    assert_eq!(ask(&mut stream, 0).await.expect("an answer").status, 503);
    node.undo(1).expect("undo");
    assert_eq!(ask(&mut stream, 1).await.expect("an answer").status, 503, "another fault still drains it");
    node.undo(2).expect("undo");
    w.listed(|l| l["instances"][0]["lifecycle"] == "in_service").await;
    let whole = w.list.whole(0);
    assert_eq!(whole["instances"][0]["instanceId"], "s-0");
    assert!(whole["instances"][0]["startedAtMs"].as_u64().is_some_and(|at| at > 0), "{whole}");
    assert_ne!(w.address(), before);
    assert!(ask(&mut stream, 2).await.is_err(), "the old process is gone, and its connections");
    assert!(TcpStream::connect(before).await.is_err());
    assert_eq!(ask(&mut w.connect().await, 3).await.expect("an answer").status, 200);
}

#[tokio::test]
async fn a_killed_node_resets_what_it_had_and_a_vanished_one_says_nothing() {
    let w = world(|s| s.list.silent_notice_s = 0.0);
    let node = &w.fleet.nodes[0];
    let (mut stream, at) = (w.connect().await, w.address());
    write(&mut stream, Arrival::id(0, 0), "k").await;
    sleep(Duration::from_millis(10)).await;
    node.want(1, Condition::Down).expect("kill");
    assert!(read(&mut stream).await.is_err());
    let limit = Instant::now() + LONG;
    while TcpStream::connect(at).await.is_ok() {
        assert!(Instant::now() < limit, "it still takes connections");
    }
    w.listed(|l| l["instances"].as_array().is_some_and(Vec::is_empty)).await;
    node.undo(1).expect("undo");
    w.listed(|l| l["instances"].as_array().is_some_and(|i| !i.is_empty())).await;
    let (mut stream, at) = (w.connect().await, w.address());
    node.want(2, Condition::Vanished).expect("vanish");
    write(&mut stream, Arrival::id(1, 0), "l").await;
    assert!(timeout(Duration::from_millis(200), stream.read(&mut [0])).await.is_err(), "not even a reset");
    while timeout(Duration::from_millis(100), TcpStream::connect(at)).await.is_ok() {
        assert!(Instant::now() < limit, "connections still come up");
    }
    node.undo(2).expect("undo");
    let ended = timeout(LONG, stream.read(&mut [0])).await.expect("it is reset");
    assert!(!matches!(ended, Ok(n) if n > 0));
}

#[tokio::test]
async fn a_cold_node_that_is_pushed_over_stays_down() {
    // 3 times a tenth of one core for 2 s and the slack of two large requests are 1.1 s of work, 22 requests.
    let w = world(|s| (s.nodes.cold_from, s.nodes.cold_s, s.nodes.queue_per_core) = (0.1, 600.0, 100));
    w.fleet.nodes[0].restart().expect("restart");
    w.listed(|l| l["instances"][0]["startedAtMs"].as_u64().is_some_and(|at| at > 0)).await;
    let mut streams = Vec::new();
    for n in 0..40 {
        let Ok(mut stream) = TcpStream::connect(w.address()).await else { break };
        let text = format!(
            "GET /quote/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {:016x}\r\n\r\n",
            Arrival::id(n, 0)
        );
        let _ = stream.write_all(text.as_bytes()).await;
        streams.push(stream);
        sleep(Duration::from_millis(2)).await;
        if w.list.whole(0)["instances"].as_array().is_some_and(Vec::is_empty) {
            break;
        }
    }
    w.listed(|l| l["instances"].as_array().is_some_and(Vec::is_empty)).await;
    let collapsed = |e: &Entry| matches!(e.event, Event::Node { what: NodeNews::Collapsed, .. });
    let history = w.history();
    let at = history.iter().position(collapsed).expect("it collapsed");
    let arrived = history[..at].iter().filter(|e| matches!(e.event, Event::Arrived { .. })).count();
    assert!((20..=26).contains(&arrived), "after {arrived} requests");
}

#[tokio::test]
async fn answers_stall_or_are_rubbish_for_as_long_as_the_fault_lasts() {
    let w = world(|s| s.nodes.cores = 8);
    let node = &w.fleet.nodes[0];
    node.stall(1);
    let mut stream = w.connect().await;
    write(&mut stream, Arrival::id(0, 0), "k").await;
    let mut some = [0; 256];
    let read_some = timeout(LONG, stream.read(&mut some)).await.expect("in time").expect("a part");
    assert!(read_some > 0 && read_some < 60, "{read_some} bytes");
    assert!(timeout(Duration::from_millis(200), stream.read(&mut some)).await.is_err(), "and nothing more");
    node.undo(1).expect("undo");
    node.spoil(2);
    for n in 1..9 {
        let spoilt = ask(&mut w.connect().await, n).await;
        assert!(!matches!(&spoilt, Ok(a) if a.status == 200), "{spoilt:?}");
    }
    node.undo(2).expect("undo");
    assert_eq!(ask(&mut w.connect().await, 9).await.expect("an answer").status, 200);
}

#[tokio::test]
async fn connections_beyond_the_cap_are_turned_away() {
    let w = world(|s| s.nodes.connections = 1);
    let (mut first, mut second) = (w.connect().await, w.connect().await);
    assert_eq!(ask(&mut first, 0).await.expect("an answer").status, 200);
    assert_eq!(ask(&mut second, 1).await.expect("an answer").status, 503);
    assert_eq!(ask(&mut first, 2).await.expect("an answer").status, 200);
}
