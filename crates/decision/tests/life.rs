//! One final answer on every path, and how far each effect class may be repeated.
mod common;
use common::*;
use liftrouter_decision::*;

fn timer_of(out: &[Action], id: u64, kind: u64) -> Option<(f64, u64)> {
    out.iter().find_map(|a| match a {
        Action::SetTimer { at, token } if *token == id * 4 + kind => Some((*at, *token)),
        _ => None,
    })
}

#[test]
fn nothing_to_send_to_is_refused_once() {
    let mut h = Host::new(settings());
    h.event(Event::EndpointList(Vec::new()));
    let (_, out) = h.ask("c", "plain", "unsafe", 1.0);
    assert_eq!((refused(&out), failed(&out), sent_to(&out)), (1, 0, None));
}

#[test]
fn unknown_class_or_plan_is_refused_once() {
    let mut h = Host::new(settings());
    assert_eq!(refused(&h.ask("c", "no such plan", "read", 1.0).1), 1);
    assert_eq!(refused(&h.ask("c", "plain", "no such class", 1.0).1), 1);
}

#[test]
fn overdue_request_fails_just_before_its_time_and_only_once() {
    let mut h = Host::new(settings());
    let (id, out) = h.ask("c", "plain", "read", 1.0);
    let (at, token) = timer_of(&out, id, 1).expect("a timer before the end");
    assert!(at < h.now + 4.0 && at > h.now + 3.9, "{at}");
    h.now = at;
    let out = h.event(Event::Timer { token });
    assert_eq!(failed(&out), 1);
    h.now += 0.01;
    let late = h.end(id, 0, Outcome::Timeout, None);
    assert_eq!((failed(&late), refused(&late), sent_to(&late)), (0, 0, None));
    assert!(h.event(Event::Timer { token }).is_empty());
}

#[test]
fn client_gone_ends_all_duty() {
    let mut h = Host::new(settings());
    let (id, _) = h.ask("c", "plain", "read", 1.0);
    let out = h.event(Event::ClientDisconnected { id });
    assert_eq!((failed(&out), refused(&out)), (0, 0));
    let out = h.end(id, 0, Outcome::ConnectFailed, None);
    assert_eq!((failed(&out), refused(&out), sent_to(&out)), (0, 0, None));
}

#[test]
fn unsafe_work_goes_out_again_only_if_it_never_ran() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed] {
        let mut h = Host::new(settings());
        let (id, _) = h.ask("c", "plain", "unsafe", 1.0);
        assert!(sent_to(&h.end(id, 0, outcome, None)).is_some(), "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut h = Host::new(settings());
        let (id, _) = h.ask("c", "plain", "unsafe", 1.0);
        let out = h.end(id, 0, outcome, None);
        assert_eq!((sent_to(&out), refused(&out), failed(&out)), (None, 0, 1), "{outcome:?}");
    }
}

#[test]
fn reads_go_out_again_after_any_failure_until_attempts_run_out() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Overloaded] {
        let mut h = Host::new(settings());
        let (id, out) = h.ask("c", "plain", "read", 1.0);
        let first = sent_to(&out);
        let out = h.end(id, 0, outcome, None);
        assert!(sent_to(&out).is_some() && sent_to(&out) != first, "{outcome:?}");
        h.end(id, 1, outcome, None);
        h.end(id, 2, outcome, None);
        let out = h.end(id, 3, outcome, None);
        assert_eq!((sent_to(&out), refused(&out) + failed(&out)), (None, 1), "{outcome:?}");
    }
}

#[test]
fn keyed_work_stays_in_its_group_and_window() {
    let mut h = Host::new(settings());
    let (id, out) = h.ask("c", "plain", "keyed-zone", 1.0);
    let first = sent_to(&out).expect("sent");
    let other = if &*first == A { B } else { A };
    // The only server left of the group drains: it may have run, so no other zone and no refusal.
    h.event(Event::EndpointChanges(vec![
        server(other, "east", EndpointState::Draining, None),
        server(&first, "east", EndpointState::Draining, None),
    ]));
    let out = h.end(id, 0, Outcome::Reset, None);
    assert_eq!((sent_to(&out), refused(&out), failed(&out)), (None, 0, 1));

    let mut h = Host::new(settings());
    let (id, _) = h.ask("c", "plain", "keyed-all", 1.0);
    h.now += 1.9;
    let out = h.end(id, 0, Outcome::Reset, None);
    assert_eq!((sent_to(&out), refused(&out)), (None, 1), "too near the end of the window");
    let (id, _) = h.ask("c", "plain", "keyed-all", 1.0);
    h.now += 0.5;
    assert!(sent_to(&h.end(id, 0, Outcome::Reset, None)).is_some());
}

#[test]
fn open_cap_refuses_at_once_and_opens_with_an_answer() {
    let mut h = Host::new(settings());
    let (first, out) = h.ask("c", "capped", "read", 1.0);
    assert!(sent_to(&out).is_some());
    let (_, out) = h.ask("c", "capped", "read", 1.0);
    assert!(sent_to(&out).is_none() && refused(&out) == 1, "two open over two limiters is one each");
    h.end(first, 0, Outcome::Ok, None);
    assert!(sent_to(&h.ask("c", "capped", "read", 1.0).1).is_some());
}

#[test]
fn what_is_full_or_at_its_cap_asks_back_in_one_answers_time() {
    let advice = |out: &[Action]| {
        out.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    };
    // Answers take a fifth of the aim as far as anyone knows.
    let mut h = Host::new(settings());
    h.ask("c", "capped", "read", 1.0);
    let capped = advice(&h.ask("c", "capped", "read", 1.0).1).expect("refused");
    assert!((0.19..0.21).contains(&capped), "{capped}");
    let full = (0..100).find_map(|n| advice(&h.ask(&format!("c{n}"), "plain", "read", 1.0).1));
    assert!((0.19..0.21).contains(&full.expect("refused")), "{full:?}");
    // And later as long as they were seen to take.
    let mut h = Host::new(settings()).warm();
    h.ask("c", "capped", "read", 1.0);
    let capped = advice(&h.ask("c", "capped", "read", 1.0).1).expect("refused");
    assert!((0.05..0.19).contains(&capped), "{capped}");
    // Not where clients take no advice.
    let mut h = Host::new(Settings { may_send_retry_after: false, ..settings() });
    h.ask("c", "capped", "read", 1.0);
    assert_eq!(advice(&h.ask("c", "capped", "read", 1.0).1), Some(0.0));
}

#[test]
fn a_streamed_answer_has_no_deadline() {
    let mut h = Host::new(settings());
    let (id, out) = h.ask("c", "plain", "read", 1.0);
    let (at, token) = timer_of(&out, id, 1).expect("timer");
    h.event(Event::StreamStarted { id });
    h.now = at;
    assert!(h.event(Event::Timer { token }).is_empty());
}

#[test]
fn one_open_attempt_is_called_off_only_after_two_late_ones_in_a_row() {
    // Guards against the ejection spiral and against rare evidence read as silence: one late answer is slow.
    let late = |h: &mut Host, id: u64, out: &[Action]| {
        let (at, token) = timer_of(out, id, 2).expect("patience");
        h.now = h.now.max(at);
        h.event(Event::Timer { token }).iter().any(|a| matches!(a, Action::Cancel { .. }))
    };
    for answered in [true, false] {
        let mut h = Host::new(settings());
        h.event(Event::EndpointList(vec![server(A, "east", EndpointState::InService, None)]));
        let (id, out) = h.ask("c", "plain", "read", 1.0);
        assert!(!late(&mut h, id, &out), "one late answer");
        if answered {
            h.end(id, 0, Outcome::Ok, None);
        }
        let (id, out) = h.ask("d", "plain", "read", 1.0);
        assert_eq!(late(&mut h, id, &out), !answered);
    }
}

#[test]
fn a_limiter_that_stood_still_blames_itself() {
    // Guards against stalls: what is late after one is no server's fault; nothing is called off or struck.
    let run = |stalled: bool| {
        let mut h = Host::new(settings());
        h.event(Event::Timer { token: 0 });
        h.event(Event::EndpointList(vec![server(A, "east", EndpointState::InService, None)]));
        let mut cancels = 0;
        for n in 0..2 {
            let (id, out) = h.ask(&format!("c{n}"), "plain", "read", 1.0);
            let (at, token) = timer_of(&out, id, 2).expect("patience");
            for step in 1..=10 {
                if !stalled {
                    h.now = h.now.max(at - 0.5 + f64::from(step) * 0.05);
                    h.event(Event::Timer { token: 0 });
                }
            }
            h.now = h.now.max(at);
            h.event(Event::Timer { token: 0 });
            cancels +=
                h.event(Event::Timer { token }).iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
        }
        cancels
    };
    assert_eq!((run(true), run(false)), (0, 1));
}

#[test]
fn repeats_without_marks_take_nothing_from_other_customers() {
    // One customer's clients repeat each refused try many times at once, without a mark.
    let served = |abuse: bool| {
        let mut h = Host::new(settings());
        let mut others = 0;
        for n in 0..600u32 {
            h.now += 0.05;
            for _ in 0..if abuse { 20 } else { 0 } {
                h.served("abuser", "plain", 1.0);
            }
            others += u32::from(h.served(&format!("c{}", n % 10), "plain", 1.0));
            h.count(|add| (Outcome::Ok, add));
        }
        others
    };
    assert_eq!(served(true), served(false));
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut h = Host::new(settings());
        let mut all = Vec::new();
        for n in 0..200u64 {
            h.now += 0.01;
            let (id, out) = h.ask(&format!("c{}", n % 7), "plain", "read", 1.0);
            all.extend(out);
            if n % 3 == 0 {
                all.extend(h.end(id, 0, Outcome::Ok, None));
            }
            all.extend(h.event(Event::Timer { token: 0 }));
        }
        all
    };
    assert_eq!(run(), run());
}
