use camphorwall::{EngineRole, EngineSetup, Revision};
use rstest::rstest;

use super::{Engine, EngineOptions, EngineOrder, OrderKind};

fn order(fence: u64) -> EngineOrder {
    EngineOrder {
        fence: Revision(fence),
        setup: EngineSetup {
            model: "ledger-1".parse().unwrap(),
            adapter: None,
            version: "v1".parse().unwrap(),
            engine_role: EngineRole::Decode,
        },
    }
}

#[rstest]
#[case::checks(OrderKind::Checks, false)]
#[case::ignores(OrderKind::Ignores, true)]
#[compio::test]
async fn only_an_engine_that_checks_fencing_numbers_refuses_an_order_with_an_older_one(
    #[case] order_kind: OrderKind,
    #[case] is_accepted: bool,
) {
    let engine = Engine::new(EngineOptions {
        order_kind,
        default_setup: Some(order(0).setup),
        ..EngineOptions::default()
    });
    assert!(engine.order(order(5)));
    assert!(engine.order(order(5)));
    assert_eq!(engine.order(order(4)), is_accepted);
}
