//! Values that several tests use.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use http::Request;

use crate::{
    clock::Moment,
    configuration::{Endpoint, Route, RouteKind, Stage, Team},
    contract::{
        homes::{AllowedRegions, RequestHomes},
        quota::WaitLimits,
    },
    dialect::{
        AnswerFacts, Changes, Dialect, Page, RequestFacts, StoreDialect, StoreRevision,
        UnreadableRoute,
    },
    entry::Entry,
    names::EndpointName,
    settings::{Bounds, DirectSettings},
};

/// A moment, in milliseconds after the clock's origin.
pub(crate) fn at_ms(milliseconds: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(milliseconds))
}

/// A team with a rate and a burst in tokens.
pub(crate) fn team(rate_per_s: f64, burst: f64) -> Team {
    Team {
        name: "tills".parse().expect("a name"),
        priority: None,
        rate_per_s: Some(rate_per_s),
        burst,
        counts_tokens: true,
        default_cost: 200.0,
        allowed_regions: AllowedRegions::any(),
    }
}

/// A route of a plain service.
pub(crate) fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: path_prefix.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        wait_limit_ms: 1_000,
        target_ms: 100,
        priority: 1,
        services: vec![("drafts".parse().expect("a name"), 1)],
        max_attempts: 2,
        is_open: false,
        allowed_regions: AllowedRegions::any(),
    }
}

/// Homes of a request that may be served in any region.
pub(crate) fn homes_anywhere() -> Rc<RequestHomes> {
    RequestHomes::new(Rc::new(route("shop.example", "/")), None)
}

/// Limits of a caller that waits for an answer on time and no longer.
pub(crate) fn wait_limits_until(end: Moment) -> WaitLimits {
    WaitLimits {
        on_time_until: end,
        start_by: end,
        ends_at: end,
    }
}

pub(crate) fn endpoint_id(name: &str) -> EndpointName {
    name.parse().expect("a name")
}

/// An endpoint that takes work.
pub(crate) fn endpoint(name: &str, stage: Stage) -> Endpoint {
    Endpoint {
        id: endpoint_id(name),
        started_ms: 1_000,
        service: "drafts".parse().expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: "north".parse().expect("a name"),
        slots: 4,
        is_draining: false,
        stage,
        cold_time: None,
    }
}

/// A dialect whose functions return empty values.
const EMPTY_DIALECT: Dialect = Dialect {
    request_facts: |_| RequestFacts::default(),
    endpoint_headers: |headers, _| headers.clone(),
    answer_facts: |_| AnswerFacts::default(),
    prefilled: |_| None,
    free_kv: |_| Request::default(),
    store: StoreDialect {
        configuration_prefix: "configuration",
        evacuations_prefix: "evacuations/",
        endpoints_prefix: "endpoints/",
        list_path: |_, _| String::new(),
        watch_path: |_, _, _| String::new(),
        era: |_| Ok(None),
        page: |_| {
            Ok(Page {
                items: Vec::new(),
                has_more: false,
                revision: StoreRevision::default(),
            })
        },
        changes: |_| {
            Ok(Changes {
                items: Vec::new(),
                revision: StoreRevision::default(),
            })
        },
        configuration: |_, _| None,
        route: |_| {
            Err(Box::new(UnreadableRoute {
                error: "no route".into(),
                refusing: None,
            }))
        },
        endpoint: |_, _| Err("no endpoint".into()),
    },
};

/// An entry whose dialect returns empty values.
pub(crate) fn entry_with_empty_dialect() -> Rc<Entry> {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    let settings = DirectSettings {
        instance: "entry-1".parse().expect("a name"),
        data_centre: "north".parse().expect("a name"),
        region: None,
        data_centres: None,
        caller_address: address(1),
        probe_address: address(2),
        metrics_address: None,
        peer_address: address(7_500),
        seeds: Vec::new(),
        store_address: address(3),
        max_open_files: None,
        link_mbps: None,
        memory_mb: None,
        queue_plain_calls: None,
        expected_times: None,
        bounds: Bounds {
            configuration_apply_ms: None,
            key_withdrawal_ms: None,
            shutdown_s: None,
            retry_share: None,
            retry_window_s: None,
            retry_allowance: None,
            cold_overshoot: None,
            cold_slack: None,
        },
    };
    Entry::new(settings, PathBuf::from("/nonexistent"), EMPTY_DIALECT, None)
}
