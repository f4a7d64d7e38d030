use serde_json::json;

use super::*;

#[test]
fn quantiles_are_shown_as_the_bounds_of_their_buckets() {
    let histogram = serde_json::from_value(json!({
        "measure": "time_to_first_token", "team": "marousi-tills", "class": 2,
        "buckets": [
            {"up_to_s": 0.5, "count": 90}, {"up_to_s": 1.1, "count": 8}, {"up_to_s": null, "count": 2},
        ],
    }))
    .expect("a histogram");
    assert_eq!(
        describe(&[histogram]),
        "measure              team           class  count  p50       p95       p99\n\
         time_to_first_token  marousi-tills  2      100    <= 0.5 s  <= 1.1 s  over all bounds"
    );
}

#[test]
fn an_entry_without_requests_gives_a_message() {
    assert_eq!(describe(&[]), "no request has been measured at this entry");
}
