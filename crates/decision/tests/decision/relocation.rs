//! Endpoints that the list moves to another zone or cell: which of them a request with an idempotency key may
//! still be sent to.

use crate::support::*;
use liftrouter_decision::*;
use std::net::SocketAddr;

const D: &str = "10.0.0.4:1";
const BY_CELL: &str = "keyed-cell";
const BY_ZONE: &str = "keyed-zone";

/// An endpoint in service in the east; `None` is no cell.
fn in_cell(id: &str, cell: Option<i64>) -> EndpointEntry {
    EndpointEntry { cell, ..endpoint(id, "east", EndpointState::InService, None) }
}

fn in_zone(id: &str, zone: &str) -> EndpointEntry {
    EndpointEntry { zone: zone.into(), ..in_cell(id, Some(1)) }
}

fn in_state(state: EndpointState, entry: &EndpointEntry) -> EndpointEntry {
    EndpointEntry { state, ..entry.clone() }
}

fn at_address(last_octet: u8, entry: &EndpointEntry) -> EndpointEntry {
    EndpointEntry { address: Some(SocketAddr::from(([10, 0, 0, last_octet], 1))), ..entry.clone() }
}

/// A limiter with these endpoints and a class of each deduplication scope.
fn host(entries: &[EndpointEntry]) -> Host {
    let mut settings = settings();
    let by_zone = settings.classes.iter().find(|class| &*class.name == BY_ZONE).expect("the class").clone();
    settings.classes.push(Class {
        name: BY_CELL.into(),
        deduplication_scope: DeduplicationScope::Cell,
        ..by_zone
    });
    let mut host = Host::new(settings);
    host.event(Event::EndpointList(entries.to_vec()));
    host
}

fn change(host: &mut Host, entries: &[EndpointEntry]) -> Vec<Action> {
    host.event(Event::EndpointChanges(entries.to_vec()))
}

/// Sends a request whose first attempt goes to the first of these endpoints; all of them are in service.
fn send_to_first(host: &mut Host, class: &str, entries: &[EndpointEntry]) -> u64 {
    let draining: Vec<_> = entries[1..].iter().map(|e| in_state(EndpointState::Draining, e)).collect();
    change(host, &draining);
    let (id, actions) = host.request("c", "plain", class, 1.0);
    assert_eq!(sent_endpoint(&actions).as_deref(), Some(&*entries[0].id));
    change(host, &entries[1..]);
    id
}

/// The endpoint of the retry after this end of an attempt. Without a retry the request must have failed: it may
/// have run, so that the client must not be told to retry.
fn retried_at(host: &mut Host, id: u64, attempt: u32, outcome: Outcome) -> Option<String> {
    let actions = host.end_attempt(id, attempt, outcome, None);
    let endpoint = sent_endpoint(&actions).map(|endpoint| endpoint.to_string());
    assert_eq!((rejections(&actions), failures(&actions)), (0, usize::from(endpoint.is_none())));
    endpoint
}

fn withdrawn(actions: &[Action], id: u64) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Withdraw { id: withdrawn, attempt } if *withdrawn == id => Some(*attempt),
        _ => None,
    })
}

/// Guards against requests that run twice, since a retry goes by the cell or zone that an endpoint had first.
#[test]
fn an_endpoint_that_moved_shares_keys_with_its_new_neighbours_alone() {
    let by_cell = ([Some(1), Some(1), Some(2)], BY_CELL);
    let (cells, class) = by_cell;
    let entries = [in_cell(A, cells[0]), in_cell(B, cells[1]), in_cell(C, cells[2])];
    let moved = [in_cell(A, Some(2)), entries[1].clone(), entries[2].clone()];
    let zoned = [in_zone(A, "east"), in_zone(B, "east"), in_zone(C, "west")];
    let moved_zone = [in_zone(A, "west"), zoned[1].clone(), zoned[2].clone()];
    for (before, after, class) in
        [(&entries, &moved, class), (&zoned, &moved_zone, BY_CELL), (&zoned, &moved_zone, BY_ZONE)]
    {
        for is_complete in [true, false] {
            let mut host = host(before);
            let update = if is_complete { after.to_vec() } else { vec![after[0].clone()] };
            host.event(if is_complete {
                Event::EndpointList(update)
            } else {
                Event::EndpointChanges(update)
            });
            let id = send_to_first(&mut host, class, after);
            assert_eq!(retried_at(&mut host, id, 0, Outcome::Reset).as_deref(), Some(C), "{class}");
        }
    }
    // A move within its zone is none for keys that the whole zone shares.
    let mut host = host(&entries);
    change(&mut host, &moved[..1]);
    let id = send_to_first(&mut host, BY_ZONE, &moved);
    assert!(retried_at(&mut host, id, 0, Outcome::Reset).is_some());
}

/// Guards against a retry in one of two cells after an attempt that may have run in the other.
#[test]
fn an_attempt_whose_endpoint_moves_while_it_is_out_may_have_run_in_either_location() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    let moved = in_cell(A, Some(2));
    let restarted = EndpointEntry { started_at: Some(1.0), ..moved.clone() };
    let new_address = at_address(9, &moved);
    let draining = in_state(EndpointState::Draining, &moved);
    let removed = in_state(EndpointState::Removed, &moved);
    let updates: [&[EndpointEntry]; 7] = [
        std::slice::from_ref(&moved),
        std::slice::from_ref(&restarted),
        std::slice::from_ref(&new_address),
        std::slice::from_ref(&draining),
        std::slice::from_ref(&removed),
        // It is back before the attempt ends.
        &[moved.clone(), entries[0].clone()],
        &[in_state(EndpointState::Removed, &entries[0]), moved.clone(), entries[0].clone()],
    ];
    for (case, update) in updates.iter().enumerate() {
        for outcome in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled, Outcome::Error] {
            let mut host = host(&entries);
            let id = send_to_first(&mut host, BY_CELL, &entries);
            for entry in *update {
                change(&mut host, std::slice::from_ref(entry));
            }
            assert_eq!(retried_at(&mut host, id, 0, outcome), None, "case {case}");
        }
        // An attempt that is known not to have run does not bind.
        let mut host = host(&entries);
        let id = send_to_first(&mut host, BY_CELL, &entries);
        update.iter().for_each(|entry| drop(change(&mut host, std::slice::from_ref(entry))));
        assert!(retried_at(&mut host, id, 0, Outcome::Overloaded).is_some(), "case {case}");
    }
}

#[test]
fn a_removal_that_names_no_location_and_a_restart_are_no_moves() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    let removed =
        EndpointEntry { zone: "".into(), cell: None, ..in_state(EndpointState::Removed, &entries[0]) };
    let restarted = EndpointEntry { started_at: Some(1.0), ..entries[0].clone() };
    let neighbour_restarted = EndpointEntry { started_at: Some(1.0), ..entries[1].clone() };
    for update in [removed, restarted, neighbour_restarted] {
        let mut host = host(&entries);
        let id = send_to_first(&mut host, BY_CELL, &entries);
        change(&mut host, &[update]);
        assert_eq!(retried_at(&mut host, id, 0, Outcome::Reset).as_deref(), Some(B));
    }
}

/// Guards against a retry where the key of a later attempt is unknown: the first attempt is not the only one
/// that binds.
#[test]
fn every_attempt_that_may_have_run_binds() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    let mut host = host(&entries);
    let id = send_to_first(&mut host, BY_CELL, &entries);
    assert_eq!(retried_at(&mut host, id, 0, Outcome::Reset).as_deref(), Some(B));
    change(&mut host, &[in_cell(B, Some(2))]);
    // Neither the endpoint in the first cell nor the one in the second knows the keys of both attempts.
    assert_eq!(retried_at(&mut host, id, 1, Outcome::Reset), None);

    let mut host = self::host(&entries);
    let id = send_to_first(&mut host, BY_CELL, &entries);
    assert_eq!(retried_at(&mut host, id, 0, Outcome::Reset).as_deref(), Some(B));
    // The first attempt has ended, but its endpoint may run it yet.
    change(&mut host, &[in_cell(A, Some(2))]);
    assert_eq!(retried_at(&mut host, id, 1, Outcome::Overloaded), None);
}

/// Guards against an attempt that is written at an endpoint that moved while the connection was made.
#[test]
fn an_unwritten_attempt_is_withdrawn_if_its_endpoint_may_not_know_the_key_any_more() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    // The first endpoint knows its own key, unless it is the one that moved.
    for (moved, expected) in [(A, None), (B, Some(A))] {
        let mut host = host(&entries);
        let id = send_to_first(&mut host, BY_CELL, &entries);
        assert_eq!(retried_at(&mut host, id, 0, Outcome::Reset).as_deref(), Some(B));
        let actions = change(&mut host, &[in_cell(moved, Some(2)), in_cell(D, Some(1))]);
        assert_eq!(withdrawn(&actions, id), Some(1), "{moved} moved");
        assert_eq!(retried_at(&mut host, id, 1, Outcome::NotSent).as_deref(), expected, "{moved} moved");
    }
    // One more endpoint was in the cell all along.
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2)), in_cell(D, Some(1))];
    let mut host = host(&entries);
    let id = send_to_first(&mut host, BY_CELL, &entries);
    let second = retried_at(&mut host, id, 0, Outcome::Reset).expect("a retry");
    let other = if second == B { D } else { B };
    let actions = change(&mut host, &[in_cell(&second, Some(2))]);
    assert_eq!(withdrawn(&actions, id), Some(1));
    assert_eq!(retried_at(&mut host, id, 1, Outcome::NotSent).as_deref(), Some(other));
}

#[test]
fn an_attempt_that_no_earlier_one_binds_is_not_withdrawn() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    for class in [BY_CELL, BY_ZONE, "keyed-all", "read", "unsafe"] {
        let mut host = host(&entries);
        let id = send_to_first(&mut host, class, &entries);
        assert_eq!(withdrawn(&change(&mut host, &[in_cell(A, Some(2))]), id), None, "{class}");
    }
    for class in ["keyed-all", "read"] {
        let mut host = host(&entries);
        let id = send_to_first(&mut host, class, &entries);
        assert!(retried_at(&mut host, id, 0, Outcome::Reset).is_some());
        let actions = change(&mut host, &[in_cell(A, Some(2)), in_cell(B, Some(2)), in_cell(C, Some(3))]);
        assert_eq!(withdrawn(&actions, id), None, "{class}");
        assert!(sent_endpoint(&host.end_attempt(id, 1, Outcome::Reset, None)).is_some(), "{class}");
    }
}

/// Guards against a retry at an endpoint that was away when its cell was given the key.
#[test]
fn an_endpoint_that_comes_or_returns_after_an_attempt_was_sent_may_not_know_its_key() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    let returning = [in_cell(B, Some(2)), entries[1].clone()];
    let relisted = [in_state(EndpointState::Removed, &entries[1]), entries[1].clone()];
    let coming = [in_cell(B, Some(2)), in_cell(C, Some(1))];
    for update in [returning, relisted, coming] {
        let mut host = host(&entries);
        let id = send_to_first(&mut host, BY_CELL, &entries);
        for entry in &update {
            change(&mut host, std::slice::from_ref(entry));
        }
        let retried = retried_at(&mut host, id, 0, Outcome::Reset);
        assert_eq!(retried.as_deref().filter(|id| *id != A), None, "{update:?}");
    }
}

/// Guards against a retry by the location of an endpoint whose address another one has taken over.
#[test]
fn another_endpoint_at_the_address_of_an_attempt_may_have_received_it() {
    let former = at_address(1, &in_cell(A, Some(1)));
    let entries = [former.clone(), at_address(2, &in_cell(B, Some(1))), at_address(3, &in_cell(C, Some(2)))];
    for (cell, expected) in [(2, None), (1, Some(B))] {
        let successor = at_address(1, &in_cell(D, Some(cell)));
        for update in [
            vec![in_state(EndpointState::Removed, &former), successor.clone()],
            vec![successor.clone(), in_state(EndpointState::Removed, &former)],
            vec![at_address(4, &former), successor.clone()],
        ] {
            let mut host = host(&entries);
            let id = send_to_first(&mut host, BY_CELL, &entries);
            change(&mut host, &update);
            // The endpoint itself is ruled out only because it was tried.
            let retried = retried_at(&mut host, id, 0, Outcome::Reset);
            assert_eq!(retried.as_deref(), expected, "{update:?}");
        }
    }
}

/// Guards against endpoints without a cell that are taken for neighbours, or for those of cell 0.
#[test]
fn endpoints_without_a_cell_or_zone_share_keys_with_nobody() {
    for first in [None, Some(0)] {
        let entries = [in_cell(A, first), in_cell(B, None), in_cell(C, first.map_or(Some(0), |_| None))];
        let mut host = host(&entries);
        let id = send_to_first(&mut host, BY_CELL, &entries);
        let retried = retried_at(&mut host, id, 0, Outcome::Reset);
        assert_eq!(retried.as_deref().filter(|id| *id != A), None, "cell {first:?}");
    }
    let entries = [in_zone(A, ""), in_zone(B, ""), in_zone(C, "east")];
    let mut host = host(&entries);
    let id = send_to_first(&mut host, BY_ZONE, &entries);
    assert_eq!(retried_at(&mut host, id, 0, Outcome::Reset), None);
}

#[test]
fn a_move_alone_resets_neither_failures_nor_limits() {
    let entries = [in_cell(A, Some(1)), in_cell(B, Some(1)), in_cell(C, Some(2))];
    let mut host = host(&entries);
    let mut moved = entries.clone();
    for round in 0..4 {
        let id = send_to_first(&mut host, "unsafe", &entries);
        host.end_attempt(id, 0, Outcome::Reset, None);
        moved[0] = in_cell(A, Some(2 + round));
    }
    change(&mut host, &moved);
    // The attempts stay in flight, so that an endpoint without failures would be selected.
    let sent: Vec<_> = (0..6)
        .filter_map(|n| sent_endpoint(&host.request(&format!("c{n}"), "free", "read", 1.0).1))
        .collect();
    assert!(sent.len() > 2 && sent.iter().all(|id| &**id != A), "{sent:?}");
}
