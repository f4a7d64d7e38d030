//! Hands a leaving owner's records over to the next owners.

use std::{collections::BTreeMap, time::Duration};

use camphorwall::{
    Instance, InstanceId, LedgerHandOver, LedgerHandOverReply, LedgerOutcome, LedgerRecord,
    METHOD_LEDGER_HAND_OVER, RpcClient, rendezvous_winner,
};
use futures_util::future::join_all;

/// Maximum bytes of records in one message.
const MAX_PART_BYTES: usize = 512 * 1024;

/// Bytes that one record takes in a message besides its answer.
const RECORD_BYTES: usize = 512;

/// How long a next owner may take to answer one message.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Splits records by their next owner.
fn by_next_owner(
    records: Vec<LedgerRecord>,
    peers: &[Instance],
) -> BTreeMap<InstanceId, Vec<LedgerRecord>> {
    let mut parts: BTreeMap<_, _> = peers
        .iter()
        .map(|peer| (peer.instance.clone(), Vec::new()))
        .collect();
    for record in records {
        let ids = peers.iter().map(|peer| &peer.instance);
        let next = rendezvous_winner(&record.key.to_string(), ids);
        if let Some(part) = next.and_then(|next| parts.get_mut(next)) {
            part.push(record);
        }
    }
    parts
}

/// Splits records into messages of bounded size; there is always at least one.
fn messages(
    from: &InstanceId,
    complete_from_ms: u64,
    records: Vec<LedgerRecord>,
) -> Vec<LedgerHandOver> {
    let message = |records| LedgerHandOver {
        from: from.clone(),
        complete_from_ms,
        records,
        is_last: false,
    };
    let mut messages = vec![message(Vec::new())];
    let mut bytes = 0;
    for record in records {
        let size = RECORD_BYTES + answer_bytes(&record);
        if bytes + size > MAX_PART_BYTES {
            messages.push(message(Vec::new()));
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = messages.last_mut() {
            last.records.push(record);
        }
    }
    if let Some(last) = messages.last_mut() {
        last.is_last = true;
    }
    messages
}

fn answer_bytes(record: &LedgerRecord) -> usize {
    match &record.outcome {
        LedgerOutcome::Answer { headers, body, .. } => {
            let headers = headers.iter().map(|(name, value)| name.len() + value.len());
            body.len() + headers.sum::<usize>()
        }
        LedgerOutcome::Ran | LedgerOutcome::MayHaveRun => 0,
    }
}

/// Hands all records over to their next owners. An owner that can't be reached treats its records as incomplete, and
/// runs none of these calls.
pub(super) async fn hand_over(
    client: &RpcClient,
    from: &InstanceId,
    complete_from_ms: u64,
    records: Vec<LedgerRecord>,
    peers: &[Instance],
) {
    let mut parts = by_next_owner(records, peers);
    let sending = peers.iter().map(|peer| {
        let records = parts.remove(&peer.instance).unwrap_or_default();
        send_messages(client, peer, messages(from, complete_from_ms, records))
    });
    join_all(sending.collect::<Vec<_>>()).await;
}

async fn send_messages(client: &RpcClient, next: &Instance, messages: Vec<LedgerHandOver>) {
    let to = &next.instance;
    for message in messages {
        let reply: Result<LedgerHandOverReply, _> = client
            .call(
                next.peer_address,
                METHOD_LEDGER_HAND_OVER,
                &message,
                HAND_OVER_TIMEOUT,
            )
            .await;
        match reply {
            Ok(LedgerHandOverReply { is_kept: true }) => {
                tracing::info!(event = "ledger_handed_over", %to, records = message.records.len());
            }
            Ok(LedgerHandOverReply { is_kept: false }) => {
                tracing::warn!(event = "ledger_hand_over_refused", %to, reason = "full");
                return;
            }
            Err(error) => {
                tracing::warn!(event = "ledger_hand_over_failed", %to, %error);
                return;
            }
        }
    }
}
