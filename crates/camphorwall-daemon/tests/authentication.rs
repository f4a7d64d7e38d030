//! Authentication of calls between processes: unauthenticated, modified and replayed calls are refused without effect.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use camphorwall::{
    CallTarget, METHOD_STATUS, PeerAuth, PeerSecret, RPC_PATH, RpcClient, RpcError, Status,
};
use camphorwall_standin::{
    Fleet, FleetOptions, RunningServer, any_port, fleet_client, fleet_secret,
};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};

const TIMEOUT: Duration = Duration::from_secs(5);
const STATUS_CALL: &[u8] = br#"{"jsonrpc":"2.0","method":"status","params":[null],"id":1}"#;

fn auth(secret: &str) -> PeerAuth {
    let secret: PeerSecret = secret.parse().unwrap();
    PeerAuth::new(&[secret])
}

async fn status(client: &RpcClient, address: SocketAddr) -> Result<Status, RpcError> {
    client.call(address, METHOD_STATUS, &(), TIMEOUT).await
}

/// Sends a call with the given signature header. Returns the status and the epoch that a refusal names.
async fn send(address: SocketAddr, header: Option<&str>, body: &[u8]) -> (u16, Option<u64>) {
    let url = format!("http://{address}{RPC_PATH}");
    let client = cyper::Client::new().unwrap();
    let mut request = client.post(url.as_str()).unwrap();
    if let Some(header) = header {
        request = request.header("camphorwall-call", header).unwrap();
    }
    let response = request.body(body.to_vec()).send().await.unwrap();
    let epoch = response.headers().get("camphorwall-epoch");
    let epoch = epoch.and_then(|epoch| u64::from_str_radix(epoch.to_str().ok()?, 16).ok());
    (response.status().as_u16(), epoch)
}

#[compio::test]
async fn an_unauthenticated_sender_is_refused_and_counted_and_a_holder_of_the_secret_is_served() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    for address in fleet.peer_addresses() {
        let refused = status(&RpcClient::new(), address).await.unwrap_err();
        assert!(
            matches!(refused, RpcError::Unauthenticated { .. }),
            "{refused}"
        );
        let other = auth("another-secret-of-enough-characters");
        let other = RpcClient::authenticated(other, "entry-0".parse().unwrap());
        assert!(status(&other, address).await.is_err());
        assert!(status(&fleet_client(), address).await.is_ok());
        let metrics = RpcClient::new().get(address, "/metrics").await.unwrap();
        let text = String::from_utf8(metrics.bytes().await.unwrap().to_vec()).unwrap();
        let counted = |reason: &str| {
            text.contains(&format!(
                "camphorwall_peer_refusals_total{{reason=\"{reason}\"}}"
            ))
        };
        assert!(counted("unsigned") && counted("bad_signature"), "{text}");
    }
    fleet.stop().await;
}

#[compio::test]
async fn a_replayed_or_changed_call_is_refused() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let address = fleet.entries[0].peer_address;
    let (_, epoch) = send(address, None, STATUS_CALL).await;
    let target = CallTarget {
        method: "POST",
        path: RPC_PATH,
        receiver: address,
    };
    let sender = "entry-9".parse().unwrap();
    let sign = |target, nonce| {
        let header =
            auth(&fleet_secret()).sign_call(target, &sender, epoch.unwrap(), nonce, STATUS_CALL);
        header.unwrap().to_string()
    };
    let header = sign(target, 1);
    assert_eq!(send(address, Some(&header), STATUS_CALL).await.0, 200);
    assert_eq!(send(address, Some(&header), STATUS_CALL).await.0, 401);
    let changed = [STATUS_CALL, b" "].concat();
    assert_eq!(send(address, Some(&sign(target, 2)), &changed).await.0, 413);
    let elsewhere = CallTarget {
        receiver: fleet.endpoints[0].peer_address,
        ..target
    };
    assert_eq!(
        send(address, Some(&sign(elsewhere, 3)), STATUS_CALL)
            .await
            .0,
        401
    );
    fleet.stop().await;
}

#[compio::test]
async fn an_answer_of_a_process_without_the_secret_is_rejected() {
    let impostor = RunningServer::start(any_port(), |_| {
        let answer = serde_json::json!({"jsonrpc": "2.0", "id": 1, "result": null});
        std::future::ready(camphorwall::json_response(200, &answer))
    })
    .await
    .unwrap();
    let answer: Result<(), _> = fleet_client()
        .call(impostor.address, METHOD_STATUS, &(), TIMEOUT)
        .await;
    let refused = answer.unwrap_err();
    assert!(
        matches!(refused, RpcError::Unauthenticated { .. }),
        "{refused}"
    );
    assert!(
        fleet_client()
            .get_peer(impostor.address, "/kv/1")
            .await
            .is_err()
    );
}

#[test]
fn any_signed_garbage_gets_an_answer_and_harms_nothing() {
    let runtime = Rc::new(compio::runtime::Runtime::new().unwrap());
    let fleet = runtime.block_on(Fleet::start(&FleetOptions::default()));
    let nonce = RefCell::new(0);
    let methods = prop::sample::select(vec![
        "reserve",
        "cancel",
        "renew",
        "documents",
        "status",
        "none",
    ]);
    let call = (methods, "[ -~]{0,60}", any::<bool>());
    let mut runner = TestRunner::new(Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    });
    let ran = runner.run(&call, |(method, garbage, is_call)| {
        let text = serde_json::to_string(&garbage).unwrap();
        let call = format!(r#"{{"jsonrpc":"2.0","method":"{method}","params":[{text}],"id":1}}"#);
        let body = if is_call { call } else { garbage };
        for address in fleet.peer_addresses() {
            let status = runtime.block_on(async {
                let (_, epoch) = send(address, None, b"").await;
                *nonce.borrow_mut() += 1;
                let target = CallTarget {
                    method: "POST",
                    path: RPC_PATH,
                    receiver: address,
                };
                let sender = "entry-9".parse().unwrap();
                let nonce = *nonce.borrow();
                let header = auth(&fleet_secret()).sign_call(
                    target,
                    &sender,
                    epoch.unwrap(),
                    nonce,
                    body.as_bytes(),
                );
                send(address, Some(&header.unwrap().to_string()), body.as_bytes())
                    .await
                    .0
            });
            prop_assert!(matches!(status, 200 | 400));
        }
        Ok(())
    });
    ran.unwrap();
    for address in fleet.peer_addresses() {
        assert!(runtime.block_on(status(&fleet_client(), address)).is_ok());
    }
    runtime.block_on(fleet.stop());
}
