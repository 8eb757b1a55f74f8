//! The datagrams in `fixtures` were sent by b315b5b: they must stay readable and be encoded again byte for byte. Postcard is
//! positional, so each value is compared as well: exchanged fields of one type would be encoded to the same bytes.

use foca::{Codec, Header, Member, PostcardCodec};
use liftrouter_cluster::gossip::MemberIdentity;
use liftrouter_cluster::lease::{LeaseRequest, ShardLease, ShardVote, Vote, VoteReply};
use liftrouter_cluster::message::{decode, Datagram, Message};

const HOLDER: u64 = 0x1111_2222_3333_4444;
const REQUESTED_AT: u64 = 5_000_001;
const LEASES: [ShardLease; 2] =
    [ShardLease { shard: 3, token: 1_700_000_000_123 }, ShardLease { shard: 300, token: 17 }];

fn assert_message(datagram: &[u8], expected: &Message) {
    assert_eq!(decode(datagram).expect("decoded"), Datagram::Message(expected.clone()));
    assert_eq!(expected.encode().expect("encoded"), datagram);
}

#[test]
fn a_lease_request_keeps_its_encoding() {
    let request = LeaseRequest { holder: HOLDER, requested_at: REQUESTED_AT, leases: LEASES.to_vec() };
    assert_message(include_bytes!("fixtures/lease-request.bin"), &Message::LeaseRequest(request));
}

#[test]
fn a_vote_reply_keeps_its_encoding() {
    let votes = vec![
        ShardVote { shard: 3, token: 1_700_000_000_123, vote: Vote::Granted },
        ShardVote { shard: 4, token: 18, vote: Vote::HeldByOther { token: 19, remaining: 700_000 } },
        ShardVote { shard: 300, token: 17, vote: Vote::TokenTooLow { granted: 20 } },
        ShardVote { shard: 5, token: 21, vote: Vote::Starting },
    ];
    let reply = VoteReply { holder: HOLDER, requested_at: REQUESTED_AT, votes };
    assert_message(include_bytes!("fixtures/votes.bin"), &Message::VoteReply(reply));
}

#[test]
fn a_release_keeps_its_encoding() {
    let release = Message::Release { holder: HOLDER, leases: LEASES.to_vec() };
    assert_message(include_bytes!("fixtures/release.bin"), &release);
}

#[test]
fn free_shards_keep_their_encoding() {
    assert_message(include_bytes!("fixtures/shards-free.bin"), &Message::ShardsFree(vec![3, 300]));
}

#[test]
fn a_message_of_a_holder_keeps_its_encoding() {
    let payload = b"what is told".to_vec();
    let message = Message::HolderMessage { shard: 3, token: 1_700_000_000_123, payload };
    assert_message(include_bytes!("fixtures/notification.bin"), &message);
}

struct Gossip {
    header: Header<MemberIdentity>,
    updates: Option<Vec<Member<MemberIdentity>>>,
}

fn decode_gossip(mut bytes: &[u8]) -> Gossip {
    let header = PostcardCodec.decode_header(&mut bytes).expect("a header");
    let updates = bytes.split_first_chunk::<2>().map(|(count, rest)| {
        bytes = rest;
        (0..u16::from_be_bytes(*count))
            .map(|_| PostcardCodec.decode_member(&mut bytes).expect("an update"))
            .collect()
    });
    assert!(bytes.is_empty(), "{bytes:?}");
    Gossip { header, updates }
}

fn encode_gossip(gossip: &Gossip) -> Vec<u8> {
    let mut bytes = vec![1];
    PostcardCodec.encode_header(&gossip.header, &mut bytes).expect("encoded");
    if let Some(updates) = &gossip.updates {
        bytes.extend((updates.len() as u16).to_be_bytes());
        for update in updates {
            PostcardCodec.encode_member(update, &mut bytes).expect("encoded");
        }
    }
    bytes
}

/// The member with this number in the run of b315b5b that sent the datagrams. It may have rejoined, with a higher incarnation.
fn member(n: u16, rejoins: u64) -> MemberIdentity {
    MemberIdentity {
        name: format!("n{n}"),
        address: ([127, 0, 0, 1], 20_000 + n).into(),
        instance: 0x1000 + u64::from(n),
        incarnation: 1_700_000_000_000 + u64::from(n) + rejoins,
    }
}

fn is_member(identity: &MemberIdentity) -> bool {
    (0..3).any(|n| (0..4).any(|rejoins| *identity == member(n, rejoins)))
}

#[test]
fn gossip_of_every_kind_keeps_its_encoding() {
    let fixtures: [(&str, &[u8]); 10] = [
        ("Ack", include_bytes!("fixtures/gossip-ack.bin")),
        ("Announce", include_bytes!("fixtures/gossip-announce.bin")),
        ("Feed", include_bytes!("fixtures/gossip-feed.bin")),
        ("ForwardedAck", include_bytes!("fixtures/gossip-forwardedack.bin")),
        ("Gossip", include_bytes!("fixtures/gossip-gossip.bin")),
        ("IndirectAck", include_bytes!("fixtures/gossip-indirectack.bin")),
        ("IndirectPing", include_bytes!("fixtures/gossip-indirectping.bin")),
        ("Ping", include_bytes!("fixtures/gossip-ping.bin")),
        ("PingReq", include_bytes!("fixtures/gossip-pingreq.bin")),
        ("TurnUndead", include_bytes!("fixtures/gossip-turnundead.bin")),
    ];
    let mut updates = 0;
    for (kind, datagram) in fixtures {
        let Datagram::Gossip(bytes) = decode(datagram).expect("decoded") else { panic!("{kind}") };
        let gossip = decode_gossip(bytes);
        assert!(format!("{:?}", gossip.header.message).starts_with(kind), "{:?}", gossip.header.message);
        assert!(is_member(&gossip.header.src), "{kind}: {:?}", gossip.header.src);
        // An announcement names no receiver; its fixture is addressed to the seed.
        assert!(is_member(&gossip.header.dst) || kind == "Announce", "{kind}: {:?}", gossip.header.dst);
        for update in gossip.updates.iter().flatten() {
            updates += 1;
            assert!(is_member(update.id()), "{kind}: {update:?}");
        }
        assert_eq!(encode_gossip(&gossip), datagram, "{kind}");
    }
    assert!(updates >= 3, "{updates} updates of members are in the fixtures");
}
