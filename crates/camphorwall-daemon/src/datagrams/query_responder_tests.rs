use camphorwall::{Grant, GrantReply, GrantRequest, OwnerReply, Tokens};

use super::*;

const SECRET: &str = "a-secret-with-enough-characters-0001";

fn auth() -> PeerAuth {
    PeerAuth::new(&[SECRET.parse().unwrap()])
}

fn name() -> InstanceId {
    "entry-1".parse().unwrap()
}

/// An owner that counts its grants.
struct Owner {
    query_responder: QueryResponder,
    grants: u64,
}

impl Owner {
    fn new(now: Instant) -> Self {
        let mut epoch = 0;
        let random = move || {
            epoch += 1;
            epoch
        };
        Self {
            query_responder: QueryResponder::new(name(), auth(), now, random),
            grants: 0,
        }
    }

    fn receive(&mut self, datagram: &[u8], now: Instant) -> Option<DatagramReply> {
        let (tag, query) = self.query_responder.open(datagram)?;
        let grants = &mut self.grants;
        let handler = |_, _: &DatagramQuery| {
            *grants += 1;
            Some(granted(*grants))
        };
        let reply = self.query_responder.answer(tag, query, handler, now)?;
        let content = auth().peek_reply(&reply).map(<[u8]>::to_vec).unwrap();
        Some(ReplyDatagram::decode(&content).unwrap().reply)
    }
}

fn granted(grant_id: u64) -> DatagramReply {
    DatagramReply::Grant(GrantReply::Owner(OwnerReply {
        grant: Some(Grant {
            grant_id,
            tokens: Tokens(5),
            lifetime_ms: 1_000,
        }),
        level_tokens: Tokens(0),
        refill_in_ms: 0,
    }))
}

fn grant_query(epoch: u64, nonce: u64) -> Vec<u8> {
    let request = GrantRequest {
        team: "marousi".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        need_tokens: Tokens(5),
        prefetch_tokens: Tokens(0),
        closes: Vec::new(),
    };
    let query = DatagramQuery::Grant(GrantQuery {
        epoch: epoch.to_le_bytes(),
        nonce: nonce.to_le_bytes(),
        request,
    });
    let content = QueryDatagram { sequence: 1, query }.encode();
    auth().seal_query(&name(), &content).1
}

#[test]
fn a_repeated_grant_query_gets_the_same_grant_and_a_late_replay_gets_nothing() {
    let now = Instant::now();
    let mut owner = Owner::new(now);
    let datagram = grant_query(1, 9);
    assert_eq!(owner.receive(&datagram, now), Some(granted(1)));
    assert_eq!(owner.receive(&datagram, now), Some(granted(1)));
    assert_eq!(owner.receive(&datagram, now + REPLY_RETENTION), None);
    assert_eq!(owner.grants, 1);
}

#[test]
fn a_grant_query_of_another_epoch_gets_no_grant_but_the_current_epoch() {
    let now = Instant::now();
    let mut owner = Owner::new(now);
    let current = DatagramReply::OtherEpoch(1_u64.to_le_bytes());
    assert_eq!(owner.receive(&grant_query(0, 9), now), Some(current));
    assert_eq!(owner.grants, 0);
    assert_eq!(owner.receive(&grant_query(1, 9), now), Some(granted(1)));
}

#[test]
fn a_replayed_grant_query_from_more_than_two_epochs_ago_gets_no_grant() {
    let now = Instant::now();
    let mut owner = Owner::new(now);
    let datagram = grant_query(1, 9);
    assert_eq!(owner.receive(&datagram, now), Some(granted(1)));
    let later = now + 3 * EpochLimits::default().period;
    let reply = owner.receive(&datagram, later);
    assert!(matches!(reply, Some(DatagramReply::OtherEpoch(_))));
    assert_eq!(owner.grants, 1);
}
