//! Has a replica run a permitted call: reserves a slot there, then starts the call.
//!
//! The replica's daemon accepts the start only within the lease of its reservation, so that a permit that was delayed
//! on the network can't start the call late.

use std::time::Duration;

use camphorwall::{
    Frame, Instance, LedgerOutcome, METHOD_RENEW, METHOD_RESERVE, Outcome, PlainCall, Refused,
    Renew, RenewReply, Reserve, ReserveReply, Reserved, RpcClient, START_PATH, Start, Work,
};
use futures_util::{FutureExt as _, future::select};

use crate::request::{AttemptError, AttemptId, FrameReader};

/// How long a replica's daemon may take to answer a reservation.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a replica's daemon may take to receive a start and answer it.
const START_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the lease of a running call is renewed.
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);

/// Outcome of a permit.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PermitOutcome {
    /// The call certainly did not run there, and will not.
    Unused { detail: String },
    /// The call ran or may have run.
    Used(LedgerOutcome),
}

fn unused(detail: impl Into<String>) -> PermitOutcome {
    PermitOutcome::Unused {
        detail: detail.into(),
    }
}

/// Reserves a slot at a replica.
pub(super) async fn reserve(
    client: &RpcClient,
    replica: &Instance,
    reserve: &Reserve,
) -> Result<Reserved, PermitOutcome> {
    let address = replica.peer_address;
    let reply = client
        .call(address, METHOD_RESERVE, reserve, RESERVE_TIMEOUT)
        .await;
    match reply {
        Ok(ReserveReply::Reserved(reserved)) => Ok(reserved),
        Ok(ReserveReply::Refused(Refused { detail, .. })) => Err(unused(detail)),
        Err(error) => Err(unused(error.to_string())),
    }
}

/// Starts a call in its reserved slot, and renews its lease while waiting for the outcome.
pub(super) async fn run(
    client: &RpcClient,
    replica: &Instance,
    reserve: &Reserve,
    reserved: &Reserved,
    call: PlainCall,
) -> PermitOutcome {
    let running = start(client, replica, reserve, reserved, call).boxed_local();
    let renewing = renew(client, replica, reserve).boxed_local();
    select(running, renewing).await.factor_first().0
}

async fn renew(client: &RpcClient, replica: &Instance, reserve: &Reserve) -> PermitOutcome {
    let renew = Renew {
        entry: reserve.entry.clone(),
        requests: vec![reserve.request_id],
    };
    loop {
        compio::time::sleep(RENEWAL_PERIOD).await;
        let address = replica.peer_address;
        let reply: Result<RenewReply, _> = client
            .call(address, METHOD_RENEW, &renew, RENEWAL_PERIOD)
            .await;
        if let Err(error) = reply {
            tracing::warn!(event = "renewal_failed", request_id = %reserve.request_id, %error);
        }
    }
}

async fn start(
    client: &RpcClient,
    replica: &Instance,
    reserve: &Reserve,
    reserved: &Reserved,
    call: PlainCall,
) -> PermitOutcome {
    let start = Start {
        request_id: reserve.request_id,
        attempt: reserve.attempt,
        reservation: reserved.reservation,
        work: Work::Plain(call),
    };
    let body = match serde_json::to_vec(&start) {
        Ok(body) => body,
        Err(error) => return unused(error.to_string()),
    };
    let posting = client.post_peer(replica.peer_address, START_PATH, body);
    let response = match compio::time::timeout(START_TIMEOUT, posting).await {
        Ok(Ok(response)) if response.status().is_success() => Some(response),
        Ok(Err(error)) if error.is_not_sent() => return unused(error.to_string()),
        Ok(Ok(_)) => return PermitOutcome::Used(LedgerOutcome::MayHaveRun),
        // Without a response, the frame reader queries the replica's daemon for the call's frames.
        Ok(Err(_)) | Err(_) => None,
    };
    let id = AttemptId {
        address: replica.peer_address,
        request_id: reserve.request_id,
        attempt: reserve.attempt,
    };
    permit_outcome(FrameReader::new(id, client.clone(), response).next().await)
}

fn permit_outcome(frame: Result<Frame, AttemptError>) -> PermitOutcome {
    let outcome = match frame {
        Ok(Frame::Answer {
            status,
            headers,
            body,
        }) => LedgerOutcome::Answer {
            status,
            headers,
            body,
        },
        Err(error) if error.outcome() == Outcome::NotRun => return unused(error.to_string()),
        Err(error) if error.outcome() == Outcome::Ran => LedgerOutcome::Ran,
        Ok(_) | Err(_) => LedgerOutcome::MayHaveRun,
    };
    PermitOutcome::Used(outcome)
}
