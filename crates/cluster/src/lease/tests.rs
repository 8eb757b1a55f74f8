//! Voters and holders exchange requests and replies, with times set by the tests.

use super::*;

const SETTINGS: LeaseSettings = LeaseSettings { duration: 1_000_000, clock_drift: 0.01 };

fn lease(shard: Shard, token: FencingToken) -> ShardLease {
    ShardLease { shard, token }
}

fn shard_vote(shard: Shard, token: FencingToken, vote: Vote) -> ShardVote {
    ShardVote { shard, token, vote }
}

fn request(holder: &mut LeaseHolder, voters: &mut [(u8, &mut Voter)], now: Micros) -> bool {
    let Some(request) = holder.request(now, 5) else { return false };
    let mut retry = false;
    for (index, voter) in voters {
        let reply = voter.vote(now, &request);
        retry |= holder.handle_reply(now, *index, &reply);
    }
    retry
}

#[test]
fn a_lease_expires_for_its_holder_before_the_promise_of_a_voter() {
    let mut voters: Vec<Voter> = (0..3).map(|_| Voter::without_earlier_promises(SETTINGS, 4)).collect();
    let [a, b, c] = &mut voters[..] else { panic!() };
    let (mut one, mut two) = (LeaseHolder::new(1, SETTINGS, 3), LeaseHolder::new(2, SETTINGS, 3));
    assert!(one.set_wanted([0].into_iter()).is_empty() && two.set_wanted([0].into_iter()).is_empty());
    request(&mut one, &mut [(0, a), (1, b)], 100);
    assert_eq!(
        (one.fencing_token(100, 0), one.fencing_token(1_000_099, 0), one.fencing_token(1_000_100, 0)),
        (Some(5), Some(5), None)
    );
    // One vote of three is no majority, and the promises of the other two outlast the holder's lease.
    for now in [200, 1_000_100, 1_000_100 + 20_000] {
        request(&mut two, &mut [(0, a), (1, b), (2, c)], now);
        assert_eq!(two.fencing_token(now, 0), None, "at {now}");
    }
    let expired = 100 + SETTINGS.promise_duration() + 400_000;
    assert!(
        request(&mut two, &mut [(0, a), (1, b), (2, c)], expired),
        "a request with a higher token should follow"
    );
    request(&mut two, &mut [(0, a), (1, b), (2, c)], expired);
    assert_eq!(two.fencing_token(expired, 0), Some(6), "the token of the next holder is higher");
}

#[test]
fn a_voter_that_starts_grants_nothing_until_its_earlier_promises_have_expired() {
    let mut voter = Voter::new(SETTINGS, 1, 500);
    let request = LeaseRequest { holder: 1, requested_at: 0, leases: vec![lease(0, 1), lease(9, 1)] };
    assert_eq!(voter.vote(600, &request).votes, [shard_vote(0, 1, Vote::Starting)]);
    let expired = 500 + SETTINGS.promise_duration();
    assert_eq!(voter.vote(expired, &request).votes, [shard_vote(0, 1, Vote::Granted)]);
}

#[test]
fn a_released_lease_is_free_at_once_and_only_its_holder_can_release_it() {
    let mut voter = Voter::without_earlier_promises(SETTINGS, 1);
    let request = |holder, token| LeaseRequest { holder, requested_at: 0, leases: vec![lease(0, token)] };
    assert_eq!(voter.vote(0, &request(1, 3)).votes[0].vote, Vote::Granted);
    voter.release(2, &[lease(0, 3)]);
    voter.release(1, &[lease(0, 2)]);
    assert!(matches!(voter.vote(1, &request(2, 4)).votes[0].vote, Vote::HeldByOther { token: 3, .. }));
    voter.release(1, &[lease(0, 3)]);
    assert_eq!(voter.vote(1, &request(2, 3)).votes[0].vote, Vote::TokenTooLow { granted: 3 });
    assert_eq!(voter.vote(1, &request(2, 4)).votes[0].vote, Vote::Granted);
}

#[test]
fn a_late_reply_counts_from_the_time_of_its_request() {
    let mut holder = LeaseHolder::new(1, SETTINGS, 1);
    holder.set_wanted([0].into_iter());
    holder.request(100, 1);
    let late = VoteReply { holder: 1, requested_at: 100, votes: vec![shard_vote(0, 1, Vote::Granted)] };
    holder.handle_reply(900_000, 0, &late);
    assert_eq!((holder.fencing_token(1_000_099, 0), holder.fencing_token(1_000_100, 0)), (Some(1), None));
    // Replies to another instance, or to a request in the future, have no effect.
    holder.handle_reply(900_000, 0, &VoteReply { holder: 2, requested_at: 899_000, ..late.clone() });
    holder.handle_reply(900_000, 0, &VoteReply { requested_at: 950_000, ..late });
    assert_eq!(holder.fencing_token(1_000_100, 0), None);
}
