//! Processor time of the current process.

/// Processor time of this process in seconds, from the kernel's clock ticks of 10 ms.
pub(crate) fn processor_time_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the process has a status");
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after_name.split_whitespace().collect();
    let ticks: f64 = fields[11..=12]
        .iter()
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum();
    ticks / 100.0
}
