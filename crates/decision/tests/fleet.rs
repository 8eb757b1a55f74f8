//! Drains, cold servers, ejection, the bound on what is out.
mod common;
use common::*;
use liftrouter_decision::*;
use std::collections::VecDeque;

#[test]
fn drained_and_missing_servers_get_nothing_new() {
    let mut h = Host::new(settings());
    h.event(Event::EndpointChanges(vec![server(A, "east", EndpointState::Draining, None)]));
    // All are left open, so that an idle server would be chosen.
    let sent: Vec<_> =
        (0..4).filter_map(|n| sent_to(&h.ask(&format!("c{n}"), "plain", "read", 1.0).1)).collect();
    assert!(sent.len() > 1 && sent.iter().all(|s| &**s != A), "{sent:?}");
    h.event(Event::EndpointList(vec![server(C, "west", EndpointState::InService, None)]));
    let sent: Vec<_> =
        (0..4).filter_map(|n| sent_to(&h.ask(&format!("d{n}"), "plain", "read", 1.0).1)).collect();
    assert!(sent.iter().all(|s| &**s == C), "{sent:?}");
}

#[test]
fn a_cold_server_gets_a_budget_in_any_window() {
    let mut h = Host::new(settings());
    let up = EndpointState::InService;
    h.event(Event::EndpointList(vec![server(A, "east", up, None), server(B, "east", up, Some(100.0))]));
    let mut sends = Vec::new();
    let mut out_now = std::collections::VecDeque::new();
    for n in 0..2000 {
        h.now += 0.005;
        let (id, out) = h.ask(&format!("c{n}"), "plain", "read", 1.0);
        if sent_to(&out).as_deref() == Some(B) {
            sends.push(h.now);
        }
        out_now.push_back(id);
        if out_now.len() > 12 {
            let id = out_now.pop_front().expect("one");
            h.end(id, 0, Outcome::Ok, None);
        }
    }
    assert!(!sends.is_empty(), "a cold server warms by work");
    for start in &sends {
        let within = sends.iter().filter(|t| **t >= *start && **t < *start + 2.0).count() as f64;
        let warm = 200.0 * 2.0;
        let warmth = 0.2 + 0.8 * ((start + 2.0 - 100.0) / 20.0);
        assert!(within <= 3.0 * warmth * warm, "{within} at {start}");
    }
    let first = sends.iter().filter(|t| **t < 102.0).count();
    assert!(first as f64 <= 3.0 * 0.28 * 400.0 * 0.7, "{first} in the first window");
}

#[test]
fn a_server_that_fails_in_a_row_is_ejected_but_never_all() {
    let mut h = Host::new(settings());
    let mut to_a = 0;
    for n in 0..10 {
        h.now += 0.01;
        let (id, out) = h.ask(&format!("c{n}"), "plain", "unsafe", 1.0);
        let at_a = sent_to(&out).as_deref() == Some(A);
        to_a += usize::from(at_a);
        if at_a {
            h.end(id, 0, Outcome::Reset, None);
        }
    }
    assert!((1..=4).contains(&to_a), "{to_a} sent to a failing server");

    let mut h = Host::new(settings());
    let mut sent = 0;
    for n in 0..60 {
        h.now += 0.01;
        let (id, out) = h.ask(&format!("c{n}"), "plain", "unsafe", 1.0);
        sent += usize::from(sent_to(&out).is_some());
        h.end(id, 0, Outcome::Reset, None);
    }
    assert!(sent > 20, "some are always left to send to: {sent}");
}

#[test]
fn what_is_out_at_a_server_is_bounded() {
    let mut h = Host::new(settings());
    let sent =
        (0..100).filter(|n| sent_to(&h.ask(&format!("c{n}"), "plain", "read", 1.0).1).is_some()).count();
    assert!((3..=30).contains(&sent), "{sent} out at three servers that have shown nothing yet");
}

#[test]
fn an_attempt_that_hangs_fills_its_window_for_an_aim_at_most() {
    // Guards against hung attempts (incident ief87c6): each would close a small window until its client left.
    let mut h = Host::new(Settings { instance_count: 4, ..settings() });
    h.event(Event::EndpointList(vec![server(A, "east", EndpointState::InService, None)]));
    let (id, out) = h.ask("c", "plain", "unsafe", 1.0);
    assert!(sent_to(&out).is_some());
    assert!(!h.served("d", "plain", 1.0), "the window of one is full");
    h.now += 0.6;
    let out = h.event(Event::Timer { token: id * 4 + 2 });
    let at = out.iter().find_map(|a| match a {
        Action::SetTimer { at, .. } => Some(*at),
        _ => None,
    });
    assert!(!h.served("d", "plain", 1.0));
    h.now = at.expect("a second look");
    h.event(Event::Timer { token: id * 4 + 2 });
    assert!(h.served("d", "plain", 1.0));
}

#[test]
fn hundreds_of_limiters_together_keep_a_cold_servers_budget() {
    // Guards against one send from each of them being too much; no warm server shows what it can take.
    for peers in [2u32, 300] {
        let mut sent = 0;
        for me in 0..peers {
            let mut h = Host::new(Settings { instance_count: peers, instance_index: me, ..settings() });
            h.event(Event::EndpointList(vec![server(B, "east", EndpointState::InService, Some(100.0))]));
            for n in 0..200 {
                h.now += 0.02;
                sent += usize::from(h.served(&format!("c{n}"), "plain", 1.0));
            }
        }
        // Four an overload window (2 s) over all limiters, and chance.
        assert!((1..=20).contains(&sent), "{sent} sends in two windows from {peers} limiters");
    }
}

#[test]
fn one_class_unanswered_moves_that_class_alone() {
    // Guards against a server that leaves one class unanswered: heard on the others, it counts as alive.
    let mut h = Host::new(settings());
    let up = EndpointState::InService;
    h.event(Event::EndpointList(vec![server(A, "east", up, None), server(B, "east", up, None)]));
    let mut unsafe_at_a = 0;
    for n in 0..60 {
        for class in ["unsafe", "read"] {
            h.now += 0.05;
            let (id, out) = h.ask(&format!("{class}{n}"), "plain", class, 1.0);
            let Some(to) = sent_to(&out) else { continue };
            if class == "unsafe" && &*to == A {
                unsafe_at_a += u32::from(n >= 20);
                h.now += 0.7;
                h.event(Event::Timer { token: id * 4 + 2 });
                h.event(Event::ClientDisconnected { id });
                h.end(id, 0, Outcome::Timeout, None);
            } else {
                h.end(id, 0, Outcome::Ok, None);
            }
        }
    }
    assert!(unsafe_at_a <= 4, "{unsafe_at_a} of 40 of the unanswered class");
    h.event(Event::EndpointChanges(vec![server(B, "east", EndpointState::Draining, None)]));
    assert_eq!(sent_to(&h.ask("z", "plain", "read", 1.0).1).as_deref(), Some(A), "it serves the others");
}

#[test]
fn answers_without_reports_change_nothing() {
    // A busy server that stops reporting is not taken for idle: reports decide nothing here.
    let run = |reports: bool| {
        let mut h = Host::new(settings());
        let mut sent = Vec::new();
        for n in 0..200u32 {
            h.now += 0.02;
            let (id, out) = h.ask(&format!("c{n}"), "plain", "read", 1.0);
            sent.push(sent_to(&out));
            let busy = if reports { Some(f64::from(n % 10) / 10.0) } else { None };
            let report = LoadReport { utilization: busy, ..LoadReport::default() };
            let outcome = Outcome::Ok;
            let ended = Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed: 0.05,
                units: None,
                report,
            };
            h.event(ended);
        }
        sent
    };
    assert_eq!(run(true), run(false));
}

#[test]
fn settings_that_make_no_sense_end_in_refusals_and_no_panic() {
    let odd = [
        Settings::default(),
        Settings { classes: vec![Class { name: "read".into(), ..Class::default() }], ..settings() },
        Settings {
            slow_start_duration: 0.0,
            overload_window: 0.0,
            overload_multiple: -1.0,
            instance_count: 0,
            ..settings()
        },
        Settings {
            plans: vec![Plan {
                name: "plain".into(),
                rate: -1.0,
                burst: -2.0,
                hard_limit_rate: -1.0,
                ..Plan::default()
            }],
            ..settings()
        },
    ];
    for set in odd {
        for empty in [true, false] {
            let mut h = Host::new(set.clone());
            if empty {
                h.event(Event::EndpointList(Vec::new()));
            } else {
                let cold = server(B, "east", EndpointState::InService, Some(100.0));
                h.event(Event::EndpointList(vec![cold]));
            }
            for n in 0..50 {
                h.now += if n == 25 { 90.0 } else { 0.3 };
                h.event(Event::Timer { token: 0 });
                let (id, out) = h.ask("c", "plain", "read", f64::from(n % 5) - 1.0);
                assert!(refused(&out) + usize::from(sent_to(&out).is_some()) == 1);
                if sent_to(&out).is_some() {
                    h.end(id, 0, Outcome::Error, Some(-1.0));
                }
                h.count(|_| (Outcome::Ok, -3.0));
            }
        }
    }
}

#[test]
fn the_ticks_begin_with_the_first_event_however_late_it_comes() {
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut out = Vec::new();
    limiter.handle(100.2, Event::EndpointList(Vec::new()), &mut out);
    let ticks = out.iter().filter(|a| matches!(a, Action::SetTimer { at, .. } if *at > 100.2)).count();
    assert_eq!(ticks, 1, "{out:?}");
}

/// Server A is near, the two others far: what can go to A does.
fn one_near() -> Host {
    let mut h = Host::new(settings());
    let up = EndpointState::InService;
    let far = [C, "10.0.0.4:1"].map(|id| server(id, "west", up, None));
    h.event(Event::EndpointList(far.into_iter().chain([server(A, "east", up, None)]).collect()));
    h
}

/// Asks for a class and answers as told; true if it went to server A.
fn asked_at_a(h: &mut Host, n: u32, class: &str, at_a: Outcome) -> bool {
    let (id, out) = h.ask(&format!("{class}{n}"), "plain", class, 1.0);
    let a = sent_to(&out).as_deref() == Some(A);
    let mut out = h.end(id, 0, if a { at_a } else { Outcome::Ok }, None);
    for attempt in 1.. {
        if sent_to(&out).is_none() {
            break;
        }
        out = h.end(id, attempt, Outcome::Ok, None);
    }
    a
}

#[test]
fn a_class_that_a_server_turns_away_goes_elsewhere_and_the_other_classes_stay() {
    let mut h = one_near();
    let (mut reads, mut others) = (0, 0);
    for n in 0..100 {
        h.now += 0.2;
        reads += u32::from(asked_at_a(&mut h, n, "read", Outcome::Overloaded));
        // Several at once: each server is needed.
        let asked: Vec<_> = (0..6).map(|c| h.ask(&format!("c{c}"), "plain", "unsafe", 1.0)).collect();
        others += asked.iter().filter(|(_, out)| sent_to(out).as_deref() == Some(A)).count();
        asked.iter().for_each(|(id, _)| drop(h.end(*id, 0, Outcome::Ok, None)));
    }
    assert!(reads <= 2, "{reads} sent to a server that turns the class away");
    assert!(others >= 150, "{others} of 600 of a class that it serves");
    // It serves the class again: once that was tried, it gets its part as before.
    h.now += 30.0;
    let again: Vec<_> = (0..6).map(|c| h.ask(&format!("d{c}"), "plain", "read", 1.0)).collect();
    assert_eq!(again.iter().filter(|(_, out)| sent_to(out).as_deref() == Some(A)).count(), 2);
}

#[test]
fn what_one_server_turns_away_finds_room_at_the_others() {
    // Two may be out at each at first; a third server that turns the class away leaves half as many more.
    let mut h = one_near();
    for n in 0..2 {
        h.now += 60.0;
        assert!(asked_at_a(&mut h, n, "read", Outcome::Overloaded));
    }
    h.event(Event::Timer { token: 0 });
    let sent = (0..20).filter_map(|n| sent_to(&h.ask(&format!("c{n}"), "plain", "read", 1.0).1));
    let sent: Vec<_> = sent.collect();
    assert!(sent.len() == 6 && sent.iter().all(|s| &**s != A), "{sent:?}");
}

#[test]
fn a_class_that_every_server_turns_away_still_gets_some_through() {
    let mut h = Host::new(settings());
    let sent = (0..60).filter(|n| {
        h.now += 0.1;
        let (id, out) = h.ask(&format!("c{n}"), "plain", "unsafe", 1.0);
        let sent = sent_to(&out).is_some();
        (0..4).for_each(|attempt| drop(h.end(id, attempt, Outcome::Overloaded, None)));
        sent
    });
    assert!(sent.count() > 30);
}

#[test]
fn one_of_hundreds_may_have_its_own_peaks_out_while_servers_idle() {
    let up = EndpointState::InService;
    let room = |peers, servers, late: u32| {
        let mut h = Host::new(Settings { instance_count: peers, ..settings() });
        h.event(Event::EndpointList(
            (0..servers).map(|n| server(&format!("s{n}"), "east", up, None)).collect(),
        ));
        // Some quick answers, then some that waited: only those tell what servers are like.
        for n in 0..4 + late {
            let (id, _) = h.ask("c", "free", "read", 1.0);
            let (took, report) = (if n < 4 { 0.05 } else { 0.9 }, LoadReport::default());
            let (outcome, units) = (Outcome::Ok, None);
            h.event(Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed: took,
                units,
                report,
            });
        }
        (0..60).filter(|n| sent_to(&h.ask(&format!("c{n}"), "free", "read", 1.0).1).is_some()).count()
    };
    // Four for each server over all limiters: 2.67 here on the mean, and half a root of that by chance.
    assert_eq!(room(300, 200, 0), 3);
    assert_eq!(room(300, 200, 2), 1, "where answers wait there is no room for peaks, and the window closes");
    // Where each may have a whole attempt at each server the window holds as it is.
    assert_eq!(room(4, 4, 0), 4);
}

/// A limiter of hundreds gets some answers a second: its window has to follow the fleet within some of them.
#[test]
fn one_of_hundreds_opens_and_closes_its_window_within_some_answers() {
    let after = |peers: u32, servers: u32, quick: u32, late: u32| {
        let mut h = Host::new(Settings { instance_count: peers, ..settings() });
        let up = EndpointState::InService;
        let list = (0..servers).map(|n| server(&format!("s{n}"), "east", up, None)).collect();
        h.event(Event::EndpointList(list));
        let mut out = VecDeque::new();
        for n in 0..quick + late {
            // As much is out as may be; then the oldest is answered.
            while let (id, Some(_)) = {
                let (id, a) = h.ask(&format!("c{n}"), "free", "read", 1.0);
                (id, sent_to(&a))
            } {
                out.push_back(id);
            }
            let (id, took) = (out.pop_front().expect("one is out"), if n < quick { 0.05 } else { 0.9 });
            let (outcome, units, report) = (Outcome::Ok, None, LoadReport::default());
            h.event(Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed: took,
                units,
                report,
            });
        }
        out.len()
    };
    let begins = after(300, 200, 1, 0);
    assert!(begins <= 3, "{begins}");
    let opened = after(300, 200, 16, 0);
    assert!(opened >= 2 * begins, "{opened} from {begins} within sixteen answers");
    let closed = after(300, 200, 16, 14);
    assert!(closed <= opened / 2, "{closed} from {opened} within fourteen answers that waited");
}
