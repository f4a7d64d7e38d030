//! Client of the plain service beside this daemon.

use std::net::SocketAddr;

use camphorwall::{Failed, Frame, Outcome, PlainCall, ProblemKind, RpcClient};

/// Response headers that belong to the connection and are not forwarded.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

/// Calls the service once. A call whose connection broke may have run.
pub(super) async fn call_service(
    address: SocketAddr,
    client: &RpcClient,
    call: PlainCall,
) -> Frame {
    let answer = match client.forward(address, &call).await {
        Ok(answer) => answer,
        Err(error) if error.is_not_sent() => {
            return failed(
                ProblemKind::Unavailable,
                Outcome::NotRun,
                &error.to_string(),
            );
        }
        Err(error) => {
            return failed(
                ProblemKind::Unknown,
                Outcome::MayHaveRun,
                &error.to_string(),
            );
        }
    };
    let status = answer.status().as_u16();
    let is_passed = |name: &str| !CONNECTION_HEADERS.contains(&name);
    let headers = answer
        .headers()
        .iter()
        .filter(|(name, _)| is_passed(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    match answer.bytes().await {
        Ok(body) => Frame::Answer {
            status,
            headers,
            body: body.into(),
        },
        Err(error) => failed(
            ProblemKind::Unknown,
            Outcome::Ran,
            &format!("the answer broke off: {error}"),
        ),
    }
}

fn failed(kind: ProblemKind, outcome: Outcome, detail: &str) -> Frame {
    Frame::Failed(Failed {
        kind,
        outcome,
        detail: detail.into(),
    })
}
