//! Quarantine of requests that crash engines, over real loopback sockets.

use camphorwall::{
    EngineRole, METHOD_QUARANTINE_LIFT, METHOD_QUARANTINE_LIST, QuarantineEntry, QuarantineLift,
};
use camphorwall_standin::{
    Answer, Caller, Engine, EngineOptions, Fleet, FleetOptions, fleet_client,
};
use futures_util::future::join_all;

const POISON: &str = "draft a quote for the poison tunnel";
const UNRELATED_REQUESTS: usize = 20;
const MAX_TOKENS: u64 = 4;
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

async fn start() -> Fleet {
    let options = FleetOptions {
        entries: 2,
        prefill: 3,
        decode: 2,
        plain: 0,
        engine: EngineOptions {
            crash_on: Some("poison".into()),
            restart_ms: Some(30),
            prefill_us_per_token: 500,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    };
    Fleet::start(&options).await
}

fn crashes(fleet: &Fleet) -> u64 {
    fleet
        .engines(EngineRole::Prefill)
        .map(Engine::crashes)
        .sum()
}

async fn listed(fleet: &Fleet, entry: usize) -> Vec<QuarantineEntry> {
    let address = fleet.entries[entry].peer_address;
    fleet_client()
        .call(address, METHOD_QUARANTINE_LIST, &(), TIMEOUT)
        .await
        .unwrap()
}

/// Sends a request until it is answered or refused permanently, as its caller would.
async fn send_until_final(caller: &Caller, prompt: &str) -> Answer {
    loop {
        let answer = caller.complete(prompt, MAX_TOKENS).await.unwrap();
        if answer.status != 503 && answer.status != 502 {
            return answer;
        }
        compio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[compio::test]
async fn a_poison_request_crashes_at_most_two_engines_and_unrelated_requests_are_answered() {
    let fleet = start().await;
    let callers: Vec<_> = (0..2)
        .map(|entry| Caller::new(fleet.caller_address(entry), Some("ledger-key")))
        .collect();
    let poison_calls = async {
        let mut last = None;
        for attempt in 0..10 {
            last = Some(send_until_final(&callers[attempt % 2], POISON).await);
        }
        last.expect("ten were sent")
    };
    let unrelated = (0..UNRELATED_REQUESTS).map(|number| {
        let caller = &callers[number % 2];
        async move {
            let prompt = format!("ledger number {number} of the Marousi bakery with flour");
            (prompt.clone(), send_until_final(caller, &prompt).await)
        }
    });
    let (refused, answered) = futures_util::join!(poison_calls, join_all(unrelated));
    assert_eq!(refused.json()["type"], "quarantined");
    assert_eq!(refused.json()["outcome"], "not_run");
    for (prompt, answer) in answered {
        let text = answer.json()["choices"][0]["text"].clone();
        assert_eq!(
            text,
            Engine::complete_answer(&prompt, MAX_TOKENS),
            "{prompt}"
        );
    }
    assert_eq!(crashes(&fleet), 2);
    for entry in 0..2 {
        let quarantined: Vec<_> = listed(&fleet, entry)
            .await
            .into_iter()
            .filter(|one| one.is_quarantined)
            .collect();
        assert_eq!(quarantined.len(), 1, "{quarantined:?}");
    }
    fleet.stop().await;
}

#[compio::test]
async fn a_lifted_request_runs_again_at_every_entry() {
    let fleet = start().await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let refused = send_until_final(&caller, POISON).await;
    let refused_again = send_until_final(&caller, POISON).await;
    assert_eq!(refused_again.json()["type"], "quarantined", "{refused:?}");
    let found = listed(&fleet, 1).await;
    let quarantined = found.iter().find(|one| one.is_quarantined).expect("one");
    let lift = QuarantineLift {
        fingerprint: quarantined.fingerprint.clone(),
    };
    let is_lifted: bool = fleet_client()
        .call(
            fleet.entries[1].peer_address,
            METHOD_QUARANTINE_LIFT,
            &lift,
            TIMEOUT,
        )
        .await
        .unwrap();
    assert!(is_lifted);
    assert!(listed(&fleet, 0).await.is_empty());
    let before = crashes(&fleet);
    let again = caller.complete(POISON, MAX_TOKENS).await.unwrap();
    assert_ne!(again.status, 200);
    assert!(crashes(&fleet) > before);
    fleet.stop().await;
}
