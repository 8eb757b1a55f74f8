//! The real binary against an on-request discovery service that has limited capacity and injected faults.
mod common;

use common::asked::timed_server::{senders, tagged_quote, Arrival, TimedServer};
use common::asked::{start_limiter, Behavior, Call, Cost, Heartbeat, OnRequestDiscovery, Outcome};
use common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long after a change a limiter counts as notified of it.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// How long after its move to another discovery address a limiter counts as notified of earlier changes.
const NOTIFICATION_DEADLINE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// How long after the notification of its drain a server may still receive requests.
const GRACE: Duration = Duration::from_millis(250);
/// How long before its list expires a limiter may make a second call beside one in flight.
const SECOND_CALL_MARGIN: Duration = Duration::from_millis(2_500);
/// Calls that overlap for less than this do not count as concurrent: a busy machine notices the end of a
/// call late.
const MIN_OVERLAP: Duration = Duration::from_millis(100);
/// How many calls to one address a limiter may have in flight.
const MAX_CALLS_IN_FLIGHT: usize = 2;
/// The call budget of a limiter: this many calls in any [`CALL_BUDGET_WINDOW`], and one per second in
/// the long run.
const CALL_BUDGET: usize = 8;
const CALL_BUDGET_WINDOW: Duration = Duration::from_secs(5);
/// Within this time, 90 % of the limiters that start together must be ready.
const READY_DEADLINE: Duration = Duration::from_secs(10);
/// Longer than the validity of a list.
const OUTAGE: Duration = Duration::from_secs(9);
/// The longest delay of a response that needs no waiting, on a busy machine.
const MAX_PROMPT_DELAY: Duration = Duration::from_secs(1);
/// The least difference that jitter must make between the pauses of several limiters.
const MIN_JITTER_SPREAD_S: f64 = 0.02;
/// The most requests that a [`SteadyClient`] sends.
const MAX_REQUESTS: usize = 4_000;

fn on_request_settings() -> Value {
    let mut settings = settings();
    settings["discovery"] = json!("on_request");
    settings["invariants"]["must-ask-in-s"] = json!(10.0);
    settings["period-s"] = json!(0.01);
    settings
}

/// A response that a client received.
#[derive(Clone, Debug)]
struct ClientResponse {
    /// When it was complete.
    at: Instant,
    took: Duration,
    status: u16,
    text: String,
}

/// A client that sends requests to one limiter until it is stopped.
struct SteadyClient {
    answers: Arc<Mutex<Vec<ClientResponse>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SteadyClient {
    fn start(limiter: usize, address: SocketAddr, pause: Duration) -> SteadyClient {
        let (answers, stop): (Arc<Mutex<Vec<ClientResponse>>>, Arc<AtomicBool>) = Default::default();
        let (recorded, stopped) = (answers.clone(), stop.clone());
        let thread = thread::spawn(move || {
            for serial in 0..MAX_REQUESTS {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let began = Instant::now();
                let response = Client::to(address).ask(&tagged_quote(limiter, serial));
                let (status, text) = (response.status(), response.text());
                let answer = ClientResponse { at: Instant::now(), took: began.elapsed(), status, text };
                recorded.lock().expect("lock").push(answer);
                thread::sleep(pause);
            }
        });
        SteadyClient { answers, stop, thread: Some(thread) }
    }

    fn answers(&self) -> Vec<ClientResponse> {
        self.answers.lock().expect("lock").clone()
    }

    /// The first response with status 200 to a request sent since then.
    fn served_since(&self, since: Instant) -> Option<ClientResponse> {
        self.answers().into_iter().find(|answer| answer.status == 200 && answer.at >= since + answer.took)
    }

    /// The responses with status 429 since then.
    fn refused_since(&self, since: Instant) -> Vec<ClientResponse> {
        self.answers().into_iter().filter(|answer| answer.status == 429 && answer.at >= since).collect()
    }

    fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the client");
        }
    }
}

impl Drop for SteadyClient {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A limiter, the discovery address that it was started with, and its client.
struct Member {
    number: usize,
    discovery_address: SocketAddr,
    /// Declared before `limiter`, so that it is dropped first and sends nothing to a limiter that has ended.
    client: SteadyClient,
    limiter: Limiter,
    began: Instant,
    /// When its configuration last changed to another discovery address, and that address.
    moved: Option<(Instant, SocketAddr)>,
}

/// Limiters, two servers, and the discovery service that lists the servers.
struct Rig {
    discovery: OnRequestDiscovery,
    servers: [TimedServer; 2],
    members: Vec<Member>,
    pause: Duration,
    seeds: Seeds,
}

/// How the seeds of the limiters are chosen.
#[derive(Clone, Copy)]
enum Seeds {
    /// All limiters get one seed, so that jitter does not spread their calls: the harder case for the queue.
    Same,
    /// Each limiter gets another seed.
    Distinct,
}

impl Seeds {
    fn for_limiter(self, number: usize) -> u64 {
        match self {
            Seeds::Same => 255,
            Seeds::Distinct => number as u64 + 1,
        }
    }
}

impl Rig {
    fn new(cost: Cost, pause: Duration) -> Rig {
        let servers = [TimedServer::new("first"), TimedServer::new("second")];
        let discovery = OnRequestDiscovery::new(cost, &[servers[0].fake.address, servers[1].fake.address]);
        Rig { discovery, servers, members: Vec::new(), pause, seeds: Seeds::Same }
    }

    /// A rig with one limiter that serves.
    fn serving() -> Rig {
        let mut rig = Rig::new(Cost::from_call_ms(250), Duration::from_millis(20));
        rig.start_members(1);
        rig.wait_until_all_serve(Instant::now());
        rig
    }

    /// Starts `count` limiters together; does not wait until they are ready.
    fn start_members(&mut self, count: usize) {
        let numbers = self.members.len()..self.members.len() + count;
        let discovery_addresses: Vec<_> =
            numbers.map(|number| (number, self.discovery.add_listener(number))).collect();
        let (pause, seeds) = (self.pause, self.seeds);
        let starting: Vec<_> = discovery_addresses
            .into_iter()
            .map(|(number, discovery_address)| {
                thread::spawn(move || {
                    Member::start(number, seeds.for_limiter(number), discovery_address, pause, &[])
                })
            })
            .collect();
        self.members.extend(starting.into_iter().map(|member| member.join().expect("a start")));
    }

    fn wait_until_all_serve(&self, since: Instant) {
        for member in &self.members {
            wait_until("a limiter serves", || member.client.served_since(since).is_some());
        }
    }

    /// Drains the server with the most requests: at low load a limiter may never use the other one.
    fn drain_busiest(&self) -> usize {
        let most = (0..self.servers.len()).max_by_key(|server| self.servers[*server].arrivals().len());
        let most = most.expect("a server");
        assert!(!self.servers[most].arrivals().is_empty(), "no server was sent anything");
        self.discovery.drain(most);
        most
    }

    /// Sets the behavior of all later calls to these addresses.
    fn set_behavior_of_all(&self, discovery_addresses: &[SocketAddr], behavior: Behavior) {
        for discovery_address in discovery_addresses {
            self.discovery.set_behavior(*discovery_address, behavior);
        }
    }

    fn discovery_address(&self) -> SocketAddr {
        self.members[0].discovery_address
    }

    /// Stops the clients and checks what was recorded against the rules for calls, drains, freshness and
    /// refusals.
    fn check(&mut self, case: &str) {
        self.members.iter_mut().for_each(|member| member.client.stop());
        for member in &self.members {
            self.check_calls(member, case);
            self.check_drains(member, case);
            self.check_freshness(member, case);
            check_refusals(member, case);
        }
    }

    /// Requests to a server that this limiter may have sent. Untagged requests are attributed to
    /// it only where it is the only limiter.
    fn arrivals(&self, server: usize, member: &Member) -> Vec<Arrival> {
        let alone = self.members.len() == 1;
        let theirs = |a: &Arrival| {
            a.limiter == Some(member.number) || (alone && a.limiter.is_none() && a.at >= member.began)
        };
        self.servers[server].arrivals().into_iter().filter(theirs).collect()
    }

    /// No request reaches a server after the notification of its drain, apart from [`GRACE`].
    fn check_drains(&self, member: &Member, case: &str) {
        for drain in self.discovery.drains() {
            let mut notified = drain.since + NOTIFICATION_DEADLINE;
            if let Some((moved, _)) = member.moved.filter(|(moved, _)| *moved >= drain.since) {
                notified = notified.min(moved + NOTIFICATION_DEADLINE_AFTER_MOVE);
            }
            if let Some(written) = self.discovery.notified_at(member.number, drain.server) {
                notified = notified.min(written);
            }
            for arrival in self.arrivals(drain.server, member) {
                let late = arrival.at.saturating_duration_since(notified);
                let number = member.number;
                assert!(
                    late <= GRACE,
                    "{case}: limiter {number} sent to a draining server {late:?} late: {arrival:?}"
                );
            }
        }
    }

    /// No request is sent after the list has expired.
    fn check_freshness(&self, member: &Member, case: &str) {
        let heartbeats = self.discovery.heartbeats(member.number);
        for arrival in (0..self.servers.len()).flat_map(|server| self.arrivals(server, member)) {
            let limit = valid_until(member, &heartbeats, arrival.at)
                .unwrap_or_else(|| panic!("{case}: sent without any list: {arrival:?}"));
            let late = arrival.at.saturating_duration_since(limit);
            assert!(late <= GRACE, "{case}: sent {late:?} after the list was out of date: {arrival:?}");
        }
    }

    /// A limiter makes one call at a time, a second one only shortly before its list expires, and keeps
    /// to its budget.
    fn check_calls(&self, member: &Member, case: &str) {
        let (calls, heartbeats) =
            (self.discovery.calls(member.number), self.discovery.heartbeats(member.number));
        let number = member.number;
        for (n, call) in calls.iter().enumerate() {
            let window = calls[n..].iter().take_while(|c| c.at - call.at < CALL_BUDGET_WINDOW).count();
            assert!(
                window <= CALL_BUDGET,
                "{case}: limiter {number} made {window} calls in {CALL_BUDGET_WINDOW:?}"
            );
            let in_flight = |c: &&Call| {
                c.discovery_address == call.discovery_address
                    && c.completed_at.is_none_or(|completed| completed > call.at + MIN_OVERLAP)
            };
            let concurrent = calls[..n].iter().filter(in_flight).count();
            assert!(
                concurrent < MAX_CALLS_IN_FLIGHT,
                "{case}: limiter {number} had {} calls out at once",
                concurrent + 1
            );
            if let (1, Some(limit)) = (concurrent, valid_until(member, &heartbeats, call.at)) {
                let left = limit.saturating_duration_since(call.at);
                let allowed = SECOND_CALL_MARGIN + GRACE;
                assert!(
                    left <= allowed,
                    "{case}: limiter {number} made a second call {left:?} before it had to"
                );
            }
        }
        let long_run = CALL_BUDGET + member.began.elapsed().as_secs() as usize;
        assert!(calls.len() <= long_run, "{case}: limiter {number} made {} calls of {long_run}", calls.len());
    }

    /// The outcomes of a limiter's calls, each with the time since the first call.
    fn outcomes(&self, number: usize) -> Vec<(Duration, Outcome)> {
        let calls = self.discovery.calls(number);
        calls.iter().map(|call| (call.at - calls[0].at, call.outcome)).collect()
    }
}

impl Member {
    fn start(
        number: usize,
        seed: u64,
        discovery_address: SocketAddr,
        pause: Duration,
        known: &[Value],
    ) -> Member {
        let began = Instant::now();
        let limiter = start_limiter(seed, &update(9, true, known), &on_request_settings(), discovery_address);
        let client = SteadyClient::start(number, limiter.address, pause);
        Member { number, discovery_address, limiter, client, began, moved: None }
    }

    fn move_to(&mut self, discovery_address: SocketAddr, counter: SocketAddr) {
        self.moved = Some((Instant::now(), discovery_address));
        self.limiter.move_to(discovery_address, counter);
    }
}

/// When the list that a limiter holds at this time expires; `None` if it holds no valid list.
fn valid_until(member: &Member, heartbeats: &[Heartbeat], at: Instant) -> Option<Instant> {
    let moved = member.moved.filter(|(moved, _)| *moved <= at);
    let until = |heartbeat: &Heartbeat| match moved {
        Some((moved, discovery_address)) if heartbeat.discovery_address != discovery_address => {
            (heartbeat.at <= moved)
                .then(|| (heartbeat.at + NOTIFICATION_DEADLINE).min(moved + NOTIFICATION_DEADLINE_AFTER_MOVE))
        }
        _ => Some(heartbeat.at + NOTIFICATION_DEADLINE),
    };
    heartbeats.iter().filter(|heartbeat| heartbeat.at <= at).filter_map(until).max()
}

/// Refusals come without delay, and no response has a status other than 200 and 429.
fn check_refusals(member: &Member, case: &str) {
    let answers = member.client.answers();
    for answer in answers.iter().filter(|answer| answer.status == 429) {
        assert!(answer.took < MAX_PROMPT_DELAY, "{case}: a refusal took {:?}", answer.took);
    }
    let odd = answers.iter().find(|answer| answer.status != 429 && answer.status != 200);
    assert!(odd.is_none(), "{case}: {odd:?}");
}

/// Injects a fault of discovery that outlasts the validity of the list, while a server begins to drain.
fn outage(case: &str, fault: impl Fn(&Rig)) {
    let mut rig = Rig::serving();
    fault(&rig);
    rig.drain_busiest();
    let began = Instant::now();
    thread::sleep(OUTAGE);
    let returned = Instant::now();
    rig.discovery.set_behavior(rig.discovery_address(), Behavior::Serve);
    rig.wait_until_all_serve(returned);
    let member = &rig.members[0];
    let heartbeats = rig.discovery.heartbeats(0);
    let heartbeat = heartbeats.iter().find(|heartbeat| heartbeat.at >= returned).unwrap_or_else(|| {
        panic!("{case}: served without a heartbeat; calls {:?}", rig.outcomes(0));
    });
    let served = member.client.served_since(returned).expect("it serves");
    let after = served.at.saturating_duration_since(heartbeat.at);
    assert!(after < MAX_PROMPT_DELAY, "{case}: it served again only {after:?} after the heartbeat");
    let refused = member.client.refused_since(began);
    assert!(!refused.is_empty(), "{case}: nothing was refused while the list was out of date");
    for answer in &refused {
        assert!(answer.text.contains("out of date"), "{case}: a refusal says {:?}", answer.text);
    }
    let log = member.limiter.errors();
    assert!(log.contains("out of date"), "{case}: the log says\n{log}");
    rig.check(case);
}

/// Runs an outage in which all calls behave like this.
fn fault_during_outage(behavior: Behavior) {
    outage(&format!("{behavior:?}"), |rig| {
        rig.discovery.set_behavior(rig.discovery_address(), behavior);
        rig.discovery.end_watches();
    });
}

#[test]
fn an_expired_list_is_not_used_however_the_calls_fail() {
    let faults = [
        Behavior::Hang,
        Behavior::Close,
        Behavior::Refuse(None),
        Behavior::CutInHead,
        Behavior::CutInMessage,
        Behavior::AnswerAfter(Duration::from_secs(4)),
    ];
    in_parallel(faults, fault_during_outage);
}

#[test]
fn a_silent_watch_and_refused_calls_let_the_list_expire() {
    outage("silence and refusals", |rig| {
        rig.discovery.set_behavior(rig.discovery_address(), Behavior::Refuse(None));
        rig.discovery.silence_watches();
    });
}

#[test]
fn retry_after_of_a_refusal_is_respected() {
    in_parallel([("2", 2.0), ("1.5", 1.5), ("0.4", 0.4)], |(text, seconds)| {
        let behavior = Behavior::Refuse(Some(text));
        fault_during_outage(behavior);
        // A second run checks the pauses: no call comes before the time in `Retry-After`.
        let mut rig = Rig::serving();
        rig.discovery.set_behavior(rig.discovery_address(), behavior);
        rig.discovery.end_watches();
        thread::sleep(Duration::from_secs(5));
        rig.discovery.set_behavior(rig.discovery_address(), Behavior::Serve);
        let calls = rig.discovery.calls(0);
        let refused = calls.iter().filter(|call| call.outcome == Outcome::Refused).count();
        assert!(refused >= 2, "{text}: {:?}", rig.outcomes(0));
        for pair in calls.windows(2).filter(|pair| pair[0].outcome == Outcome::Refused) {
            let pause = (pair[1].at - pair[0].at).as_secs_f64();
            assert!(pause >= seconds, "{text}: called again after {pause} s: {:?}", rig.outcomes(0));
        }
        rig.check(text);
    });
}

#[test]
fn backoff_grows_and_differs_between_limiters() {
    let mut rig = Rig::new(Cost::from_call_ms(5), Duration::from_millis(50));
    rig.seeds = Seeds::Distinct;
    rig.start_members(6);
    rig.wait_until_all_serve(Instant::now());
    let discovery_addresses: Vec<_> = rig.members.iter().map(|member| member.discovery_address).collect();
    rig.set_behavior_of_all(&discovery_addresses, Behavior::Refuse(None));
    let ended = Instant::now();
    rig.discovery.end_watches();
    thread::sleep(OUTAGE);
    let times = |number: usize| -> Vec<f64> {
        let calls = rig.discovery.calls(number);
        calls.iter().filter(|call| call.at >= ended).map(|call| (call.at - ended).as_secs_f64()).collect()
    };
    let times: Vec<Vec<f64>> = (0..discovery_addresses.len()).map(times).collect();
    let within = |from: f64, to: f64| times.iter().flatten().filter(|at| (from..to).contains(*at)).count();
    let (early, late) = (within(0.0, 2.0), within(5.0, 7.0));
    assert!(late < early, "no backoff: {early} calls in two seconds at first, {late} later: {times:?}");
    assert!(times.iter().all(|times| times.len() >= 3), "calls came at {times:?}");
    let mut pauses: Vec<f64> = times.iter().map(|times| times[2] - times[1]).collect();
    pauses.sort_by(f64::total_cmp);
    let spread = pauses[pauses.len() - 1] - pauses[0];
    assert!(spread > MIN_JITTER_SPREAD_S, "no jitter: the pauses after the second calls were {pauses:?}");
    rig.set_behavior_of_all(&discovery_addresses, Behavior::Serve);
    let returned = Instant::now();
    rig.wait_until_all_serve(returned);
    rig.check("backoff");
}

#[test]
fn one_failed_call_interrupts_no_service() {
    let faults = [
        Behavior::Hang,
        Behavior::Close,
        Behavior::Refuse(None),
        Behavior::CutInHead,
        Behavior::CutInMessage,
        Behavior::AnswerAfter(Duration::from_secs(4)),
    ];
    in_parallel(faults, |behavior| {
        let case = format!("{behavior:?} once");
        let mut rig = Rig::serving();
        rig.discovery.fail_next(rig.discovery_address(), behavior, 1);
        let began = Instant::now();
        rig.discovery.end_watches();
        let drained = rig.drain_busiest();
        thread::sleep(Duration::from_secs(8));
        let refused = rig.members[0].client.refused_since(began);
        assert!(refused.is_empty(), "{case}: {:?}; calls {:?}", refused.first(), rig.outcomes(0));
        let notified = rig
            .discovery
            .notified_at(0, drained)
            .unwrap_or_else(|| panic!("{case}: never notified: {:?}", rig.outcomes(0)));
        assert!(notified - began < NOTIFICATION_DEADLINE, "{case}: notified after {:?}", notified - began);
        rig.check(&case);
    });
}

/// Without changes since the limiter's revision, discovery answers a call with the response head alone
/// and sends the first heartbeat 2 s later.
#[test]
fn a_watch_that_ends_without_changes_interrupts_no_service() {
    in_parallel([Behavior::Serve, Behavior::Close, Behavior::Refuse(None)], |behavior| {
        let case = format!("{behavior:?} and nothing new");
        let mut rig = Rig::serving();
        rig.discovery.fail_next(rig.discovery_address(), behavior, 1);
        let began = Instant::now();
        rig.discovery.end_watches();
        thread::sleep(Duration::from_secs(8));
        let refused = rig.members[0].client.refused_since(began);
        assert!(refused.is_empty(), "{case}: {:?}; calls {:?}", refused.first(), rig.outcomes(0));
        rig.check(&case);
    });
}

#[test]
fn a_whole_list_that_omits_a_draining_server_removes_it() {
    let mut rig = Rig::serving();
    rig.discovery.set_behavior(rig.discovery_address(), Behavior::OmitDraining);
    rig.discovery.end_watches();
    let drained = rig.drain_busiest();
    let began = Instant::now();
    wait_until("the list without it has come", || rig.discovery.notified_at(0, drained).is_some());
    thread::sleep(Duration::from_secs(4));
    let notified = rig.discovery.notified_at(0, drained).expect("it was notified");
    assert!(rig.members[0].client.served_since(notified + GRACE).is_some(), "nothing is served any more");
    assert!(
        rig.members[0].client.refused_since(began).is_empty(),
        "{:?}",
        rig.members[0].client.refused_since(began)
    );
    rig.check("left out");
}

/// Both servers drain: if only one did, a limiter at low load might prefer the other one and hide the fault.
#[test]
fn an_older_list_returns_no_draining_server_to_use() {
    let mut rig = Rig::serving();
    for server in 0..rig.servers.len() {
        rig.discovery.drain(server);
        wait_until("the drain is announced", || rig.discovery.notified_at(0, server).is_some());
    }
    thread::sleep(GRACE);
    rig.discovery.set_behavior(rig.discovery_address(), Behavior::OlderList);
    let calls = rig.discovery.calls(0).len();
    rig.discovery.end_watches();
    wait_until("the older list was asked for", || rig.discovery.calls(0).len() > calls);
    thread::sleep(Duration::from_secs(4));
    rig.check("older list");
    // A newer list is accepted again.
    rig.discovery.set_behavior(rig.discovery_address(), Behavior::Serve);
    rig.discovery.end_watches();
    rig.discovery.restore(1);
    let limiter = &rig.members[0].limiter;
    wait_until("the newer list holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
}

/// A request sent before the list expires gets its response; nothing is sent afterwards.
#[test]
fn a_request_in_flight_completes_after_the_list_expired() {
    let work = Duration::from_millis(1_600);
    let mut rig = Rig::serving();
    rig.members[0].client.stop();
    rig.discovery.set_behavior(rig.discovery_address(), Behavior::Refuse(None));
    rig.discovery.end_watches();
    rig.servers.iter().for_each(|server| server.set_service_time(work));
    let heartbeats = rig.discovery.heartbeats(0);
    let out_of_date = heartbeats[heartbeats.len() - 1].at + NOTIFICATION_DEADLINE;
    let shortly_before = out_of_date.checked_sub(Duration::from_millis(900)).expect("a time");
    thread::sleep(shortly_before.saturating_duration_since(Instant::now()));
    let mut client = rig.members[0].limiter.client();
    let answer = client.ask(&tagged_quote(0, MAX_REQUESTS));
    assert!(Instant::now() > out_of_date + GRACE, "the response came before the list expired");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    let refused = client.ask(&tagged_quote(0, MAX_REQUESTS + 1));
    assert_eq!(refused.status(), 429, "{}", refused.text());
    assert!(refused.text().contains("out of date"), "{}", refused.text());
    rig.check("a request in flight");
}

#[test]
fn a_move_in_the_middle_of_a_backoff_is_followed_at_once() {
    in_parallel([Behavior::Serve, Behavior::Refuse(Some("1")), Behavior::Hang], |behavior| {
        let case = format!("a move to {behavior:?}");
        let mut rig = Rig::serving();
        let (other, counter) = (rig.discovery.add_listener(0), counter());
        // A `Retry-After` longer than the whole case, which must not apply to the other address.
        rig.discovery.set_behavior(rig.discovery_address(), Behavior::Refuse(Some("30")));
        rig.discovery.set_behavior(other, behavior);
        rig.discovery.end_watches();
        rig.drain_busiest();
        thread::sleep(Duration::from_secs(1));
        rig.members[0].move_to(other, counter.address);
        let moved = Instant::now();
        wait_until("the other address is called", || {
            rig.discovery.calls(0).iter().any(|c| c.discovery_address == other)
        });
        assert!(moved.elapsed() < Duration::from_secs(2), "{case}: called after {:?}", moved.elapsed());
        thread::sleep(NOTIFICATION_DEADLINE_AFTER_MOVE + Duration::from_secs(1));
        let refused = rig.members[0].client.refused_since(moved);
        if behavior == Behavior::Serve {
            assert!(refused.is_empty(), "{case}: {:?}", refused.first());
        } else {
            let last = refused.last().unwrap_or_else(|| panic!("{case}: nothing was refused"));
            assert!(last.text.contains("out of date"), "{case}: {last:?}");
            let returned = Instant::now();
            rig.discovery.set_behavior(other, Behavior::Serve);
            rig.wait_until_all_serve(returned);
        }
        rig.check(&case);
    });
}

/// Each call succeeds and its watch ends soon after: successful calls must count against the budget too.
#[test]
fn watches_that_keep_ending_are_replaced_within_the_budget() {
    let mut rig = Rig::serving();
    rig.discovery.set_cost(Cost::from_call_ms(10));
    rig.discovery.send_empty_updates();
    let began = Instant::now();
    rig.drain_busiest();
    while began.elapsed() < Duration::from_secs(12) {
        rig.discovery.end_watches();
        thread::sleep(Duration::from_millis(100));
    }
    let refused = rig.members[0].client.refused_since(began);
    assert!(refused.is_empty(), "{:?}; calls {:?}", refused.first(), rig.outcomes(0));
    rig.check("watches that keep ending");
}

/// The call budget belongs to the limiter, not to the address that it calls.
#[test]
fn repeated_moves_do_not_reset_the_budget() {
    let mut rig = Rig::serving();
    let counter = counter();
    let discovery_addresses = [rig.discovery_address(), rig.discovery.add_listener(0)];
    rig.set_behavior_of_all(&discovery_addresses, Behavior::Refuse(None));
    rig.discovery.end_watches();
    rig.drain_busiest();
    for discovery_address in discovery_addresses.iter().rev().cycle().take(4) {
        thread::sleep(Duration::from_millis(1_200));
        rig.members[0].move_to(*discovery_address, counter.address);
    }
    thread::sleep(NOTIFICATION_DEADLINE);
    rig.set_behavior_of_all(&discovery_addresses, Behavior::Serve);
    rig.wait_until_all_serve(Instant::now());
    rig.check("repeated moves");
}

#[test]
fn a_new_process_sends_nothing_while_discovery_refuses() {
    let mut rig = Rig::new(Cost::from_call_ms(20), Duration::from_millis(20));
    rig.discovery.drain(0);
    // The drain is older than the notification deadline before the limiter starts.
    thread::sleep(NOTIFICATION_DEADLINE);
    let discovery_address = rig.discovery.add_listener(0);
    rig.discovery.set_behavior(discovery_address, Behavior::Refuse(None));
    let known = [instance("s-0", rig.servers[0].fake.address, "in_service")];
    rig.members.push(Member::start(0, rig.seeds.for_limiter(0), discovery_address, rig.pause, &known));
    // Longer than a limiter waits for its first list.
    thread::sleep(Duration::from_secs(11));
    let early: usize = rig.servers.iter().map(|server| server.arrivals().len()).sum();
    assert_eq!(early, 0, "sent by the configured list: {:?}", rig.servers[0].arrivals().first());
    let returned = Instant::now();
    rig.discovery.set_behavior(discovery_address, Behavior::Serve);
    rig.wait_until_all_serve(returned);
    assert!(rig.members[0].limiter.up(), "it serves, but `/up` does not say so");
    rig.check("a new process");
    assert!(senders(&rig.servers[0].arrivals()).is_empty(), "a draining server received requests");
}

// ----- several limiters and one queue -----

/// Checks the stand-in: calls are answered in order, a call that would wait too long is refused, and an
/// abandoned call still occupies the queue.
#[test]
fn the_stand_in_queues_calls_in_order_up_to_its_bound() {
    let server = TimedServer::new("first");
    let discovery = OnRequestDiscovery::new(Cost::from_call_ms(1_500), &[server.fake.address]);
    let discovery_address = discovery.add_listener(0);
    let call = |outcome: Outcome| {
        let number = discovery.calls(0).len();
        let mut client = Client::to(discovery_address);
        client.send("GET /discovery/hosts?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n");
        let becomes = || discovery.calls(0).get(number).is_some_and(|call| call.outcome == outcome);
        wait_until("the call has the expected outcome", becomes);
        client
    };
    let began = Instant::now();
    let first = call(Outcome::Pending);
    call(Outcome::Refused).close();
    first.close();
    wait_until("the first call is abandoned", || discovery.calls(0)[0].outcome == Outcome::Abandoned);
    // The abandoned call still occupies the queue.
    call(Outcome::Refused).close();
    wait_until("the work is done", || began.elapsed() > Duration::from_millis(1_600));
    discovery.set_cost(Cost::from_call_ms(500));
    let began = Instant::now();
    let _second = call(Outcome::Pending);
    let _third = call(Outcome::Answered);
    assert!(began.elapsed() >= Duration::from_secs(1), "the third did not wait its turn");
}

#[test]
fn six_limiters_whose_watches_end_together_are_answered_in_time() {
    let mut rig = Rig::new(Cost::from_call_ms(200), Duration::from_millis(30));
    rig.start_members(6);
    rig.wait_until_all_serve(Instant::now());
    let ended = Instant::now();
    rig.discovery.end_watches();
    let drained = rig.drain_busiest();
    thread::sleep(Duration::from_secs(7));
    for member in &rig.members {
        let refused = member.client.refused_since(ended);
        let (number, calls) = (member.number, rig.outcomes(member.number));
        assert!(refused.is_empty(), "limiter {number} refused {:?}; calls {calls:?}", refused.first());
        let notified = rig
            .discovery
            .notified_at(number, drained)
            .unwrap_or_else(|| panic!("{number} was never notified: {calls:?}"));
        assert!(
            notified - ended < NOTIFICATION_DEADLINE,
            "limiter {number} was notified after {:?}",
            notified - ended
        );
    }
    rig.check("six");
}

#[test]
fn six_limiters_recover_after_an_outage_within_the_capacity_of_discovery() {
    in_parallel([Behavior::Hang, Behavior::Close], |behavior| {
        let case = format!("six after {behavior:?}");
        let mut rig = Rig::new(Cost::from_call_ms(10), Duration::from_millis(30));
        rig.start_members(6);
        rig.wait_until_all_serve(Instant::now());
        rig.members.iter().for_each(|member| rig.discovery.set_behavior(member.discovery_address, behavior));
        rig.discovery.end_watches();
        rig.drain_busiest();
        thread::sleep(Duration::from_secs(8));
        rig.discovery.set_cost(Cost::from_call_ms(300));
        let returned = Instant::now();
        rig.members
            .iter()
            .for_each(|member| rig.discovery.set_behavior(member.discovery_address, Behavior::Serve));
        for member in &rig.members {
            let back = || member.client.served_since(returned).is_some();
            let end = returned + READY_DEADLINE;
            while !back() && Instant::now() < end {
                thread::sleep(Duration::from_millis(10));
            }
            assert!(
                back(),
                "{case}: limiter {} is not back: {:?}",
                member.number,
                rig.outcomes(member.number)
            );
        }
        rig.check(&case);
    });
}

#[test]
fn thirty_limiters_that_start_together_are_answered_in_time() {
    const COUNT: usize = 30;
    let mut rig = Rig::new(Cost::from_call_ms(100), Duration::from_millis(200));
    rig.start_members(COUNT);
    let began = rig.members.iter().map(|member| member.began).min().expect("one");
    let mut ready = [false; COUNT];
    while began.elapsed() < READY_DEADLINE && ready.contains(&false) {
        for member in &rig.members {
            ready[member.number] |= member.limiter.up();
        }
        thread::sleep(Duration::from_millis(50));
    }
    let count = ready.iter().filter(|ready| **ready).count();
    let late: Vec<usize> = (0..COUNT).filter(|n| !ready[*n]).collect();
    let example = late.first().map(|n| rig.outcomes(*n));
    assert!(count * 10 >= COUNT * 9, "{count} are ready, not {late:?}; calls {example:?}");
    rig.wait_until_all_serve(began);
    let ended = Instant::now();
    rig.discovery.end_watches();
    let drained = rig.drain_busiest();
    for member in &rig.members {
        let number = member.number;
        let notified = || rig.discovery.notified_at(number, drained).is_some();
        while !notified() && ended.elapsed() < READY_DEADLINE {
            thread::sleep(Duration::from_millis(20));
        }
        assert!(
            notified(),
            "limiter {number} was not notified in {READY_DEADLINE:?}: {:?}",
            rig.outcomes(number)
        );
    }
    rig.wait_until_all_serve(Instant::now());
    rig.check("thirty");
}
