//! Formats rows as a text table.

/// Formats rows in columns, each as wide as its widest cell.
pub(super) fn table<const N: usize>(head: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut all = vec![head.map(str::to_owned)];
    all.extend(rows);
    let width = |column: usize| all.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<_> = (0..N).map(width).collect();
    let line = |row: &[String; N]| {
        let cells = row.iter().zip(&widths);
        let padded = cells.map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    all.iter().map(line).collect::<Vec<_>>().join("\n")
}
