//! The real binary and a discovery that is asked over the network: of limited capacity, and out of order.
mod common;

use common::asked::timed_server::{marked_quote, senders, Arrival, TimedServer};
use common::asked::{start_limiter, Call, Conduct, Cost, Heartbeat, OnRequestDiscovery, Outcome};
use common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What discovery has counts as notified after this time, and after this time from a move.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A request may come to a server so long after its drain counts as notified.
const GRACE: Duration = Duration::from_millis(250);
/// A second call may be out beside another so long before the list goes out of date.
const SPARE_CALL: Duration = Duration::from_millis(2_500);
/// Calls count as out at once only if they are for longer than a busy machine takes to notice that one ended.
const OVERLAP: Duration = Duration::from_millis(100);
const MAX_CALLS_IN_FLIGHT: usize = 2;
/// The retry budget: so many calls in any window, and in the long run one a second.
const BUDGET: usize = 8;
const BUDGET_WINDOW: Duration = Duration::from_secs(5);
/// Nine in ten that start together are ready within this time.
const READY: Duration = Duration::from_secs(10);
/// Longer than a list stays in date.
const OUTAGE: Duration = Duration::from_secs(9);
/// A refusal is given at once: within this time on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Jitter spreads pauses at least so far, in seconds.
const MIN_SPREAD_S: f64 = 0.02;
const MAX_REQUESTS: usize = 4_000;

fn on_request_settings() -> Value {
    let mut settings = settings();
    settings["discovery"] = json!("on_request");
    settings["invariants"]["must-ask-in-s"] = json!(10.0);
    settings["period-s"] = json!(0.01);
    settings
}

/// An answer that a client got.
#[derive(Clone, Debug)]
struct ClientAnswer {
    at: Instant,
    took: Duration,
    status: u16,
    text: String,
}

/// A client that keeps asking one limiter.
struct SteadyClient {
    answers: Arc<Mutex<Vec<ClientAnswer>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SteadyClient {
    fn start(limiter: usize, address: SocketAddr, pause: Duration) -> SteadyClient {
        let (answers, stop): (Arc<Mutex<Vec<ClientAnswer>>>, Arc<AtomicBool>) = Default::default();
        let (noted, stopped) = (answers.clone(), stop.clone());
        let thread = thread::spawn(move || {
            for serial in 0..MAX_REQUESTS {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let began = Instant::now();
                let response = Client::to(address).ask(&marked_quote(limiter, serial));
                let (status, text) = (response.status(), response.text());
                let answer = ClientAnswer { at: Instant::now(), took: began.elapsed(), status, text };
                noted.lock().expect("lock").push(answer);
                thread::sleep(pause);
            }
        });
        SteadyClient { answers, stop, thread: Some(thread) }
    }

    fn answers(&self) -> Vec<ClientAnswer> {
        self.answers.lock().expect("lock").clone()
    }

    fn served_since(&self, since: Instant) -> Option<ClientAnswer> {
        self.answers().into_iter().find(|answer| answer.status == 200 && answer.at >= since + answer.took)
    }

    fn refused_since(&self, since: Instant) -> Vec<ClientAnswer> {
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

/// A limiter, where it calls discovery, and who asks it.
struct Member {
    number: usize,
    front: SocketAddr,
    /// Before the limiter, so that it stops asking before the limiter ends.
    client: SteadyClient,
    limiter: Limiter,
    began: Instant,
    /// When it was moved to another address, and to which.
    moved: Option<(Instant, SocketAddr)>,
}

/// Limiters, two servers and the discovery service between them.
struct Rig {
    discovery: OnRequestDiscovery,
    servers: [TimedServer; 2],
    members: Vec<Member>,
    pause: Duration,
    seeds: Seeds,
}

/// The seeds that limiters are given.
#[derive(Clone, Copy)]
enum Seeds {
    /// The same, so that jitter drawn from them does not part the limiters: the harder case for the queue.
    Same,
    /// One to each.
    Own,
}

impl Seeds {
    fn of(self, number: usize) -> u64 {
        match self {
            Seeds::Same => 255,
            Seeds::Own => number as u64 + 1,
        }
    }
}

impl Rig {
    fn new(cost: Cost, pause: Duration) -> Rig {
        let servers = [TimedServer::new("first"), TimedServer::new("second")];
        let discovery = OnRequestDiscovery::new(cost, &[servers[0].fake.address, servers[1].fake.address]);
        Rig { discovery, servers, members: Vec::new(), pause, seeds: Seeds::Same }
    }

    /// With one limiter that serves.
    fn serving() -> Rig {
        let mut rig = Rig::new(Cost::of_call(250), Duration::from_millis(20));
        rig.start_members(1);
        rig.wait_until_all_serve(Instant::now());
        rig
    }

    /// Starts so many limiters together; does not wait until they are ready.
    fn start_members(&mut self, count: usize) {
        let numbers = self.members.len()..self.members.len() + count;
        let fronts: Vec<_> = numbers.map(|number| (number, self.discovery.front(number))).collect();
        let (pause, seeds) = (self.pause, self.seeds);
        let starting: Vec<_> = fronts
            .into_iter()
            .map(|(number, front)| {
                thread::spawn(move || Member::start(number, seeds.of(number), front, pause, &[]))
            })
            .collect();
        self.members.extend(starting.into_iter().map(|member| member.join().expect("a start")));
    }

    fn wait_until_all_serve(&self, since: Instant) {
        for member in &self.members {
            wait_until("a limiter serves", || member.client.served_since(since).is_some());
        }
    }

    /// Drains the server that is sent most: a limiter with little to do may never send to the other.
    fn drain_used(&self) -> usize {
        let most = (0..self.servers.len()).max_by_key(|server| self.servers[*server].arrivals().len());
        let most = most.expect("a server");
        assert!(!self.servers[most].arrivals().is_empty(), "no server was sent anything");
        self.discovery.drain(most);
        most
    }

    /// From now on every call to these addresses goes so.
    fn conduct_all(&self, fronts: &[SocketAddr], conduct: Conduct) {
        for front in fronts {
            self.discovery.conduct(*front, conduct);
        }
    }

    fn front(&self) -> SocketAddr {
        self.members[0].front
    }

    /// Ends the askers, and compares all that was seen with the rules.
    fn check(&mut self, case: &str) {
        self.members.iter_mut().for_each(|member| member.client.stop());
        for member in &self.members {
            self.check_calls(member, case);
            self.check_drains(member, case);
            self.check_age(member, case);
            check_refusals(member, case);
        }
    }

    /// Requests that this limiter may have sent. What tells of no sender may be from any.
    fn arrivals(&self, server: usize, member: &Member) -> Vec<Arrival> {
        let alone = self.members.len() == 1;
        let theirs = |a: &Arrival| {
            a.limiter == Some(member.number) || (alone && a.limiter.is_none() && a.at >= member.began)
        };
        self.servers[server].arrivals().into_iter().filter(theirs).collect()
    }

    /// Nothing comes to a server long after its drain counts as notified.
    fn check_drains(&self, member: &Member, case: &str) {
        for drain in self.discovery.drains() {
            let mut notified = drain.since + NOTIFIED_AFTER;
            if let Some((moved, _)) = member.moved.filter(|(moved, _)| *moved >= drain.since) {
                notified = notified.min(moved + NOTIFIED_AFTER_MOVE);
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

    /// Nothing is sent by a list that is out of date.
    fn check_age(&self, member: &Member, case: &str) {
        let heartbeats = self.discovery.heartbeats(member.number);
        for arrival in (0..self.servers.len()).flat_map(|server| self.arrivals(server, member)) {
            let limit = in_date_until(member, &heartbeats, arrival.at)
                .unwrap_or_else(|| panic!("{case}: sent without any list: {arrival:?}"));
            let late = arrival.at.saturating_duration_since(limit);
            assert!(late <= GRACE, "{case}: sent {late:?} after the list was out of date: {arrival:?}");
        }
    }

    /// The calls of a limiter keep to one at a time and to the budget.
    fn check_calls(&self, member: &Member, case: &str) {
        let (calls, heartbeats) =
            (self.discovery.calls(member.number), self.discovery.heartbeats(member.number));
        let number = member.number;
        for (n, call) in calls.iter().enumerate() {
            let window = calls[n..].iter().take_while(|c| c.at - call.at < BUDGET_WINDOW).count();
            assert!(window <= BUDGET, "{case}: limiter {number} made {window} calls in {BUDGET_WINDOW:?}");
            let out = |c: &&Call| c.front == call.front && c.done.is_none_or(|done| done > call.at + OVERLAP);
            let beside = calls[..n].iter().filter(out).count();
            assert!(
                beside < MAX_CALLS_IN_FLIGHT,
                "{case}: limiter {number} had {} calls out at once",
                beside + 1
            );
            if let (1, Some(limit)) = (beside, in_date_until(member, &heartbeats, call.at)) {
                let left = limit.saturating_duration_since(call.at);
                let allowed = SPARE_CALL + GRACE;
                assert!(
                    left <= allowed,
                    "{case}: limiter {number} made a second call {left:?} before it had to"
                );
            }
        }
        let long_run = BUDGET + member.began.elapsed().as_secs() as usize;
        assert!(calls.len() <= long_run, "{case}: limiter {number} made {} calls of {long_run}", calls.len());
    }

    fn outcomes(&self, number: usize) -> Vec<(Duration, Outcome)> {
        let calls = self.discovery.calls(number);
        calls.iter().map(|call| (call.at - calls[0].at, call.outcome)).collect()
    }
}

impl Member {
    fn start(number: usize, seed: u64, front: SocketAddr, pause: Duration, known: &[Value]) -> Member {
        let began = Instant::now();
        let limiter = start_limiter(seed, &update(9, true, known), &on_request_settings(), front);
        let client = SteadyClient::start(number, limiter.address, pause);
        Member { number, front, limiter, client, began, moved: None }
    }

    fn move_to(&mut self, front: SocketAddr, counter: SocketAddr) {
        self.moved = Some((Instant::now(), front));
        self.limiter.move_to(front, counter);
    }
}

/// Until when the list that a limiter holds at this time may be gone by; none where it has none.
fn in_date_until(member: &Member, heartbeats: &[Heartbeat], at: Instant) -> Option<Instant> {
    let moved = member.moved.filter(|(moved, _)| *moved <= at);
    let until = |heartbeat: &Heartbeat| match moved {
        Some((moved, front)) if heartbeat.front != front => {
            (heartbeat.at <= moved).then(|| (heartbeat.at + NOTIFIED_AFTER).min(moved + NOTIFIED_AFTER_MOVE))
        }
        _ => Some(heartbeat.at + NOTIFIED_AFTER),
    };
    heartbeats.iter().filter(|heartbeat| heartbeat.at <= at).filter_map(until).max()
}

/// Refusals come at once and say why.
fn check_refusals(member: &Member, case: &str) {
    let answers = member.client.answers();
    for answer in answers.iter().filter(|answer| answer.status == 429) {
        assert!(answer.took < AT_ONCE, "{case}: a refusal took {:?}", answer.took);
    }
    let odd = answers.iter().find(|answer| answer.status != 429 && answer.status != 200);
    assert!(odd.is_none(), "{case}: {odd:?}");
}

/// A fault of discovery that lasts so long that the list goes out of date, while a server begins to drain.
fn outage(case: &str, fault: impl Fn(&Rig)) {
    let mut rig = Rig::serving();
    fault(&rig);
    rig.drain_used();
    let began = Instant::now();
    thread::sleep(OUTAGE);
    let returned = Instant::now();
    rig.discovery.conduct(rig.front(), Conduct::Serve);
    rig.wait_until_all_serve(returned);
    let member = &rig.members[0];
    let heartbeats = rig.discovery.heartbeats(0);
    let heartbeat = heartbeats.iter().find(|heartbeat| heartbeat.at >= returned).unwrap_or_else(|| {
        panic!("{case}: served without a heartbeat; calls {:?}", rig.outcomes(0));
    });
    let served = member.client.served_since(returned).expect("it serves");
    let after = served.at.saturating_duration_since(heartbeat.at);
    assert!(after < AT_ONCE, "{case}: it went on {after:?} after the heartbeat");
    let refused = member.client.refused_since(began);
    assert!(!refused.is_empty(), "{case}: nothing was refused while the list was out of date");
    for answer in &refused {
        assert!(answer.text.contains("out of date"), "{case}: a refusal says {:?}", answer.text);
    }
    let log = member.limiter.errors();
    assert!(log.contains("out of date"), "{case}: the log says\n{log}");
    rig.check(case);
}

/// A fault of all calls, as long as an outage.
fn long_fault(conduct: Conduct) {
    outage(&format!("{conduct:?}"), |rig| {
        rig.discovery.conduct(rig.front(), conduct);
        rig.discovery.end_watches();
    });
}

#[test]
fn an_unconfirmed_list_is_not_used_whatever_becomes_of_the_calls() {
    let faults = [
        Conduct::Hang,
        Conduct::Close,
        Conduct::Refuse(None),
        Conduct::CutInHead,
        Conduct::CutInMessage,
        Conduct::AnswerAfter(Duration::from_secs(4)),
    ];
    in_parallel(faults, long_fault);
}

#[test]
fn silence_of_the_open_watch_and_refusals_of_new_ones_are_an_outage_too() {
    outage("silence and refusals", |rig| {
        rig.discovery.conduct(rig.front(), Conduct::Refuse(None));
        rig.discovery.silence_watches();
    });
}

#[test]
fn retry_after_of_a_refusal_is_respected() {
    in_parallel([("2", 2.0), ("1.5", 1.5), ("0.4", 0.4)], |(text, seconds)| {
        let conduct = Conduct::Refuse(Some(text));
        long_fault(conduct);
        // Once more with a look at the pauses: no call comes before its time.
        let mut rig = Rig::serving();
        rig.discovery.conduct(rig.front(), conduct);
        rig.discovery.end_watches();
        thread::sleep(Duration::from_secs(5));
        rig.discovery.conduct(rig.front(), Conduct::Serve);
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
    let mut rig = Rig::new(Cost::of_call(5), Duration::from_millis(50));
    rig.seeds = Seeds::Own;
    rig.start_members(6);
    rig.wait_until_all_serve(Instant::now());
    let fronts: Vec<_> = rig.members.iter().map(|member| member.front).collect();
    rig.conduct_all(&fronts, Conduct::Refuse(None));
    let ended = Instant::now();
    rig.discovery.end_watches();
    thread::sleep(OUTAGE);
    let times = |number: usize| -> Vec<f64> {
        let calls = rig.discovery.calls(number);
        calls.iter().filter(|call| call.at >= ended).map(|call| (call.at - ended).as_secs_f64()).collect()
    };
    let times: Vec<Vec<f64>> = (0..fronts.len()).map(times).collect();
    let within = |from: f64, to: f64| times.iter().flatten().filter(|at| (from..to).contains(*at)).count();
    let (early, late) = (within(0.0, 2.0), within(5.0, 7.0));
    assert!(late < early, "no backoff: {early} calls in two seconds at first, {late} later: {times:?}");
    assert!(times.iter().all(|times| times.len() >= 3), "calls came at {times:?}");
    let mut pauses: Vec<f64> = times.iter().map(|times| times[2] - times[1]).collect();
    pauses.sort_by(f64::total_cmp);
    let spread = pauses[pauses.len() - 1] - pauses[0];
    assert!(spread > MIN_SPREAD_S, "no jitter: the pauses after the second calls were {pauses:?}");
    rig.conduct_all(&fronts, Conduct::Serve);
    let returned = Instant::now();
    rig.wait_until_all_serve(returned);
    rig.check("backoff");
}

#[test]
fn one_call_that_fails_interrupts_nothing() {
    let faults = [
        Conduct::Hang,
        Conduct::Close,
        Conduct::Refuse(None),
        Conduct::CutInHead,
        Conduct::CutInMessage,
        Conduct::AnswerAfter(Duration::from_secs(4)),
    ];
    in_parallel(faults, |conduct| {
        let case = format!("{conduct:?} once");
        let mut rig = Rig::serving();
        rig.discovery.fail_next(rig.front(), conduct, 1);
        let began = Instant::now();
        rig.discovery.end_watches();
        let drained = rig.drain_used();
        thread::sleep(Duration::from_secs(8));
        let refused = rig.members[0].client.refused_since(began);
        assert!(refused.is_empty(), "{case}: {:?}; calls {:?}", refused.first(), rig.outcomes(0));
        let notified = rig
            .discovery
            .notified_at(0, drained)
            .unwrap_or_else(|| panic!("{case}: never notified: {:?}", rig.outcomes(0)));
        assert!(notified - began < NOTIFIED_AFTER, "{case}: notified after {:?}", notified - began);
        rig.check(&case);
    });
}

/// With nothing changed since the list held, the answer to a call is its head alone, and an empty line 2 s later.
#[test]
fn a_watch_that_ends_with_nothing_new_interrupts_nothing() {
    in_parallel([Conduct::Serve, Conduct::Close, Conduct::Refuse(None)], |conduct| {
        let case = format!("{conduct:?} and nothing new");
        let mut rig = Rig::serving();
        rig.discovery.fail_next(rig.front(), conduct, 1);
        let began = Instant::now();
        rig.discovery.end_watches();
        thread::sleep(Duration::from_secs(8));
        let refused = rig.members[0].client.refused_since(began);
        assert!(refused.is_empty(), "{case}: {:?}; calls {:?}", refused.first(), rig.outcomes(0));
        rig.check(&case);
    });
}

#[test]
fn a_whole_list_without_a_draining_server_takes_it_out() {
    let mut rig = Rig::serving();
    rig.discovery.conduct(rig.front(), Conduct::LeaveOutDraining);
    rig.discovery.end_watches();
    let drained = rig.drain_used();
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

/// Both servers drain, so that a limiter with little to do has none that it would rather send to.
#[test]
fn an_older_list_brings_no_draining_server_back() {
    let mut rig = Rig::serving();
    for server in 0..rig.servers.len() {
        rig.discovery.drain(server);
        wait_until("the drain is announced", || rig.discovery.notified_at(0, server).is_some());
    }
    thread::sleep(GRACE);
    rig.discovery.conduct(rig.front(), Conduct::OlderList);
    let calls = rig.discovery.calls(0).len();
    rig.discovery.end_watches();
    wait_until("the older list was asked for", || rig.discovery.calls(0).len() > calls);
    thread::sleep(Duration::from_secs(4));
    rig.check("older list");
    // A newer one is taken again.
    rig.discovery.conduct(rig.front(), Conduct::Serve);
    rig.discovery.end_watches();
    rig.discovery.restore(1);
    let limiter = &rig.members[0].limiter;
    wait_until("the newer list holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
}

/// What was sent before the list went out of date is finished; nothing is sent after.
#[test]
fn a_request_in_flight_is_answered_after_the_list_expired() {
    let work = Duration::from_millis(1_600);
    let mut rig = Rig::serving();
    rig.members[0].client.stop();
    rig.discovery.conduct(rig.front(), Conduct::Refuse(None));
    rig.discovery.end_watches();
    rig.servers.iter().for_each(|server| server.take(work));
    let heartbeats = rig.discovery.heartbeats(0);
    let out_of_date = heartbeats[heartbeats.len() - 1].at + NOTIFIED_AFTER;
    let shortly_before = out_of_date.checked_sub(Duration::from_millis(900)).expect("a time");
    thread::sleep(shortly_before.saturating_duration_since(Instant::now()));
    let mut client = rig.members[0].limiter.client();
    let answer = client.ask(&marked_quote(0, MAX_REQUESTS));
    assert!(Instant::now() > out_of_date + GRACE, "it was answered too early to tell");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    let refused = client.ask(&marked_quote(0, MAX_REQUESTS + 1));
    assert_eq!(refused.status(), 429, "{}", refused.text());
    assert!(refused.text().contains("out of date"), "{}", refused.text());
    rig.check("a request that is out");
}

#[test]
fn a_move_in_the_middle_of_a_backoff_is_followed_at_once() {
    in_parallel([Conduct::Serve, Conduct::Refuse(Some("1")), Conduct::Hang], |conduct| {
        let case = format!("a move to {conduct:?}");
        let mut rig = Rig::serving();
        let (other, counter) = (rig.discovery.front(0), counter());
        // It names a time longer than the whole case: it must not hold for the other address.
        rig.discovery.conduct(rig.front(), Conduct::Refuse(Some("30")));
        rig.discovery.conduct(other, conduct);
        rig.discovery.end_watches();
        rig.drain_used();
        thread::sleep(Duration::from_secs(1));
        rig.members[0].move_to(other, counter.address);
        let moved = Instant::now();
        wait_until("the other address is called", || rig.discovery.calls(0).iter().any(|c| c.front == other));
        assert!(moved.elapsed() < Duration::from_secs(2), "{case}: called after {:?}", moved.elapsed());
        thread::sleep(NOTIFIED_AFTER_MOVE + Duration::from_secs(1));
        let refused = rig.members[0].client.refused_since(moved);
        if conduct == Conduct::Serve {
            assert!(refused.is_empty(), "{case}: {:?}", refused.first());
        } else {
            let last = refused.last().unwrap_or_else(|| panic!("{case}: nothing was refused"));
            assert!(last.text.contains("out of date"), "{case}: {last:?}");
            let returned = Instant::now();
            rig.discovery.conduct(other, Conduct::Serve);
            rig.wait_until_all_serve(returned);
        }
        rig.check(&case);
    });
}

/// Each answer is good, and each watch ends soon after it: success must not lift the budget.
#[test]
fn watches_that_keep_ending_are_replaced_within_the_budget() {
    let mut rig = Rig::serving();
    rig.discovery.set_cost(Cost::of_call(10));
    rig.discovery.say_unchanged();
    let began = Instant::now();
    rig.drain_used();
    while began.elapsed() < Duration::from_secs(12) {
        rig.discovery.end_watches();
        thread::sleep(Duration::from_millis(100));
    }
    let refused = rig.members[0].client.refused_since(began);
    assert!(refused.is_empty(), "{:?}; calls {:?}", refused.first(), rig.outcomes(0));
    rig.check("watches that keep ending");
}

/// The budget is one limiter's, whatever address it calls.
#[test]
fn moves_in_a_row_do_not_lift_the_budget() {
    let mut rig = Rig::serving();
    let counter = counter();
    let fronts = [rig.front(), rig.discovery.front(0)];
    rig.conduct_all(&fronts, Conduct::Refuse(None));
    rig.discovery.end_watches();
    rig.drain_used();
    for front in fronts.iter().rev().cycle().take(4) {
        thread::sleep(Duration::from_millis(1_200));
        rig.members[0].move_to(*front, counter.address);
    }
    thread::sleep(NOTIFIED_AFTER);
    rig.conduct_all(&fronts, Conduct::Serve);
    rig.wait_until_all_serve(Instant::now());
    rig.check("moves in a row");
}

#[test]
fn a_new_process_sends_nothing_while_discovery_refuses() {
    let mut rig = Rig::new(Cost::of_call(20), Duration::from_millis(20));
    rig.discovery.drain(0);
    // It drains for longer than it takes to count as notified.
    thread::sleep(NOTIFIED_AFTER);
    let front = rig.discovery.front(0);
    rig.discovery.conduct(front, Conduct::Refuse(None));
    let known = [instance("s-0", rig.servers[0].fake.address, "in_service")];
    rig.members.push(Member::start(0, rig.seeds.of(0), front, rig.pause, &known));
    // Longer than a first list is waited for.
    thread::sleep(Duration::from_secs(11));
    let early: usize = rig.servers.iter().map(|server| server.arrivals().len()).sum();
    assert_eq!(early, 0, "sent by the list at hand: {:?}", rig.servers[0].arrivals().first());
    let returned = Instant::now();
    rig.discovery.conduct(front, Conduct::Serve);
    rig.wait_until_all_serve(returned);
    assert!(rig.members[0].limiter.up(), "it serves and is not up");
    rig.check("a new process");
    assert!(senders(&rig.servers[0].arrivals()).is_empty(), "a server that drains got something");
}

// ----- several limiters and one queue -----

/// The stand-in itself: a call that would wait too long is refused, calls wait in turn, and who leaves is worked for.
#[test]
fn a_queue_of_calls_is_served_in_turn_up_to_its_bound() {
    let server = TimedServer::new("first");
    let discovery = OnRequestDiscovery::new(Cost::of_call(1_500), &[server.fake.address]);
    let front = discovery.front(0);
    let call = |outcome: Outcome| {
        let number = discovery.calls(0).len();
        let mut client = Client::to(front);
        client.send("GET /discovery/hosts?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n");
        let becomes = || discovery.calls(0).get(number).is_some_and(|call| call.outcome == outcome);
        wait_until("the call becomes what it should", becomes);
        client
    };
    let began = Instant::now();
    let first = call(Outcome::Pending);
    call(Outcome::Refused).close();
    first.close();
    wait_until("the first has left", || discovery.calls(0)[0].outcome == Outcome::Abandoned);
    // The work for it goes on.
    call(Outcome::Refused).close();
    wait_until("the work is done", || began.elapsed() > Duration::from_millis(1_600));
    discovery.set_cost(Cost::of_call(500));
    let began = Instant::now();
    let _second = call(Outcome::Pending);
    let _third = call(Outcome::Answered);
    assert!(began.elapsed() >= Duration::from_secs(1), "the third did not wait its turn");
}

#[test]
fn six_limiters_whose_watches_end_at_once_take_their_turns() {
    let mut rig = Rig::new(Cost::of_call(200), Duration::from_millis(30));
    rig.start_members(6);
    rig.wait_until_all_serve(Instant::now());
    let ended = Instant::now();
    rig.discovery.end_watches();
    let drained = rig.drain_used();
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
            notified - ended < NOTIFIED_AFTER,
            "limiter {number} was notified after {:?}",
            notified - ended
        );
    }
    rig.check("six");
}

#[test]
fn six_limiters_recover_after_an_outage_at_the_rate_of_discovery() {
    in_parallel([Conduct::Hang, Conduct::Close], |conduct| {
        let case = format!("six after {conduct:?}");
        let mut rig = Rig::new(Cost::of_call(10), Duration::from_millis(30));
        rig.start_members(6);
        rig.wait_until_all_serve(Instant::now());
        rig.members.iter().for_each(|member| rig.discovery.conduct(member.front, conduct));
        rig.discovery.end_watches();
        rig.drain_used();
        thread::sleep(Duration::from_secs(8));
        rig.discovery.set_cost(Cost::of_call(300));
        let returned = Instant::now();
        rig.members.iter().for_each(|member| rig.discovery.conduct(member.front, Conduct::Serve));
        for member in &rig.members {
            let back = || member.client.served_since(returned).is_some();
            let end = returned + READY;
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
fn thirty_limiters_start_together_and_take_their_turns() {
    const COUNT: usize = 30;
    let mut rig = Rig::new(Cost::of_call(100), Duration::from_millis(200));
    rig.start_members(COUNT);
    let began = rig.members.iter().map(|member| member.began).min().expect("one");
    let mut ready = [false; COUNT];
    while began.elapsed() < READY && ready.contains(&false) {
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
    let drained = rig.drain_used();
    for member in &rig.members {
        let number = member.number;
        let notified = || rig.discovery.notified_at(number, drained).is_some();
        while !notified() && ended.elapsed() < READY {
            thread::sleep(Duration::from_millis(20));
        }
        assert!(notified(), "limiter {number} was not notified in {READY:?}: {:?}", rig.outcomes(number));
    }
    rig.wait_until_all_serve(Instant::now());
    rig.check("thirty");
}
