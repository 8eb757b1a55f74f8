//! The limiter as a whole: ticks, invalid settings, determinism.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn invalid_settings_cause_no_panic_and_each_request_gets_one_answer() {
    let invalid_settings = [
        Settings::default(),
        Settings { classes: vec![Class { name: "read".into(), ..Class::default() }], ..settings() },
        Settings {
            slow_start_duration_s: 0.0,
            overload_window_s: 0.0,
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
    for settings in invalid_settings {
        for empty in [true, false] {
            let mut host = Host::new(settings.clone());
            if empty {
                host.event(Event::EndpointList(Vec::new()));
            } else {
                let cold = endpoint(B, "east", EndpointState::InService, Some(100.0));
                host.event(Event::EndpointList(vec![cold]));
            }
            for n in 0..50 {
                host.now += if n == 25 { 90.0 } else { 0.3 };
                host.event(Event::Timer { token: 0 });
                let (id, actions) = host.request("c", "plain", "read", f64::from(n % 5) - 1.0);
                assert!(rejections(&actions) + usize::from(sent_endpoint(&actions).is_some()) == 1);
                if sent_endpoint(&actions).is_some() {
                    host.end_attempt(id, 0, Outcome::Error, Some(-1.0));
                }
                host.answer_counter_calls(|_| (Outcome::Ok, -3.0));
            }
        }
    }
}

#[test]
fn ticks_start_at_the_first_event_even_if_it_is_late() {
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut actions = Vec::new();
    limiter.handle(100.2, Event::EndpointList(Vec::new()), &mut actions);
    let ticks = actions
        .iter()
        .filter(|a| matches!(a, Action::SetTimer { expires_at, .. } if *expires_at > 100.2))
        .count();
    assert_eq!(ticks, 1, "{actions:?}");
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut host = Host::new(settings());
        let mut all = Vec::new();
        for n in 0..200u64 {
            host.now += 0.01;
            let (id, actions) = host.request(&format!("c{}", n % 7), "plain", "read", 1.0);
            all.extend(actions);
            if n % 3 == 0 {
                all.extend(host.end_attempt(id, 0, Outcome::Ok, None));
            }
            all.extend(host.event(Event::Timer { token: 0 }));
        }
        all
    };
    assert_eq!(run(), run());
}
