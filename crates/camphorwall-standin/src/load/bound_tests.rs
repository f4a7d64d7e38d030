use super::{Job, completed_work_us, max_min};

fn job(released_at_us: u64, due_at_us: u64, work_us: u64) -> Job {
    Job {
        released_at_us,
        due_at_us,
        work_us,
    }
}

#[test]
fn a_pool_completes_no_more_than_its_slots_allow_by_the_due_times() {
    let jobs = [job(0, 100, 100), job(0, 100, 100), job(0, 100, 100)];
    assert_eq!(completed_work_us(&jobs, 2), 200);
    assert_eq!(completed_work_us(&jobs, 3), 300);
}

#[test]
fn work_with_the_earliest_due_time_runs_first() {
    let jobs = [job(0, 300, 100), job(0, 100, 100), job(100, 200, 100)];
    assert_eq!(completed_work_us(&jobs, 1), 300);
}

#[test]
fn the_unused_share_of_a_small_team_is_divided_among_the_others_by_weight() {
    let shares = max_min(&[10.0, 100.0, 100.0], &[1.0, 1.0, 2.0], 100.0);
    assert_eq!(shares, [10.0, 30.0, 60.0]);
}
