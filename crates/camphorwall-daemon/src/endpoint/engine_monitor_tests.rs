use std::rc::Rc;

use camphorwall::RequestId;

use super::EngineMonitor;

#[test]
fn the_first_check_cancels_orphans_at_once_and_later_checks_those_found_twice_in_a_row() {
    let monitor = EngineMonitor::new(Rc::default());
    let (known, unknown) = (RequestId::from_u128(1), RequestId::from_u128(2));
    let held = || [known.to_string(), unknown.to_string(), "other".to_owned()];
    let is_known = |request_id| request_id == known;
    let orphans = vec![unknown.to_string(), "other".to_owned()];
    assert_eq!(monitor.find_orphans(held(), is_known), orphans);
    monitor.has_checked.set(true);
    monitor.find_orphans([], is_known);
    assert_eq!(monitor.find_orphans(held(), is_known), Vec::<String>::new());
    assert_eq!(monitor.find_orphans(held(), is_known), orphans);
}
