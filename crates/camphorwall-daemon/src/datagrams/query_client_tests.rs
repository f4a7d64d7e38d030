use std::rc::Rc;

use camphorwall::{Load, TaskGroup};
use compio::BufResult;

use super::*;
use crate::datagrams::QueryResponder;

const SECRET: &str = "a-secret-with-enough-characters-0001";
const OTHER_SECRET: &str = "a-secret-with-enough-characters-0666";
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

fn auth(secret: &str) -> PeerAuth {
    PeerAuth::new(&[secret.parse().unwrap()])
}

fn name() -> InstanceId {
    "decode-1".parse().unwrap()
}

fn renewed(running: u32) -> DatagramReply {
    DatagramReply::Renewed {
        unknown: Vec::new(),
        load: Load {
            running,
            ..Load::default()
        },
        leaving: false,
    }
}

/// What a peer does with a query.
#[derive(Clone, Copy, Debug)]
enum PeerAction {
    DropsQuery,
    Answers,
    /// A process without the secret answers.
    AnswersWithoutSecret,
    /// The peer sends its reply to the previous query again.
    RepeatsLastReply,
}

/// Handles each query by the next of the given actions. The load in a reply is the number of the query.
async fn peer(socket: UdpSocket, actions: Vec<PeerAction>) {
    let mut query_responder = QueryResponder::new(name(), auth(SECRET), Instant::now(), || 1);
    let mut last = Vec::new();
    for (number, action) in (1..).zip(actions) {
        let BufResult(received, datagram) = socket.recv_from(Vec::with_capacity(2_048)).await;
        let (_, from) = received.unwrap();
        let (tag, query) = query_responder.open(&datagram).unwrap();
        let reply = match action {
            PeerAction::DropsQuery => continue,
            PeerAction::Answers => {
                let handler = |_, _: &_| Some(renewed(number));
                query_responder
                    .answer(tag, query, handler, Instant::now())
                    .unwrap()
            }
            PeerAction::AnswersWithoutSecret => {
                let forged = ReplyDatagram {
                    sequence: query.sequence,
                    reply: renewed(666),
                };
                auth(OTHER_SECRET).seal_reply(tag, &forged.encode())
            }
            PeerAction::RepeatsLastReply => last.clone(),
        };
        last.clone_from(&reply);
        socket.send_to(reply, from).await.0.unwrap();
    }
}

/// Replies to one query for each retry policy.
async fn query_replies(
    actions: &[PeerAction],
    retry_policies: &[RetryPolicy],
) -> Vec<Option<DatagramReply>> {
    let tasks = TaskGroup::default();
    let peer_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let local_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = peer_socket.local_addr().unwrap();
    tasks.spawn(peer(peer_socket, actions.to_vec()));
    let query_client = Rc::new(QueryClient::new(auth(SECRET), local_socket.clone()));
    let receiving_client = Rc::clone(&query_client);
    tasks.spawn(async move {
        loop {
            let BufResult(received, datagram) =
                local_socket.recv_from(Vec::with_capacity(2_048)).await;
            if received.is_ok() {
                receiving_client.accept_reply(&datagram);
            }
        }
    });
    let mut replies = Vec::new();
    for retry_policy in retry_policies {
        let renew = DatagramQuery::Renew(Vec::new());
        replies.push(
            query_client
                .query(&name(), address, renew, *retry_policy)
                .await,
        );
    }
    tasks.abort();
    replies
}

fn tries(tries: u32, timeout: Duration) -> RetryPolicy {
    RetryPolicy { tries, timeout }
}

const SHORT_TIMEOUT: Duration = Duration::from_millis(10);

#[compio::test]
async fn a_query_whose_datagram_is_lost_is_sent_again() {
    let actions = [
        PeerAction::DropsQuery,
        PeerAction::DropsQuery,
        PeerAction::Answers,
    ];
    let replies = query_replies(
        &actions,
        &[
            tries(1, SHORT_TIMEOUT),
            tries(1, SHORT_TIMEOUT),
            tries(1, LONG_TIMEOUT),
        ],
    )
    .await;
    assert_eq!(replies, [None, None, Some(renewed(3))]);
    // All tries belong to one query, whose last try may come late.
    let replies = query_replies(&actions, &[tries(1_000, Duration::from_millis(100))]).await;
    assert_eq!(replies, [Some(renewed(3))]);
}

#[compio::test]
async fn neither_an_unauthenticated_nor_a_replayed_reply_answers_a_query() {
    let forged = query_replies(
        &[PeerAction::AnswersWithoutSecret],
        &[tries(1, SHORT_TIMEOUT)],
    )
    .await;
    assert_eq!(forged, [None]);
    let actions = [PeerAction::Answers, PeerAction::RepeatsLastReply];
    let replayed =
        query_replies(&actions, &[tries(1, LONG_TIMEOUT), tries(1, SHORT_TIMEOUT)]).await;
    assert_eq!(replayed, [Some(renewed(1)), None]);
}

#[compio::test]
async fn a_peer_that_datagrams_do_not_reach_gets_calls_only_for_a_time() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let query_client = QueryClient::new(auth(SECRET), socket);
    let now = Instant::now();
    assert!(!query_client.is_blocked(address, now));
    query_client.note_blocked(address, now);
    assert!(query_client.is_blocked(address, now));
    assert!(!query_client.is_blocked(address, now + BLOCKED_DURATION));
}
