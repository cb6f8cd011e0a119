//! Text tables.

/// Renders rows under a header. Each column is as wide as its widest cell.
pub fn render<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0).max(header[column].len())
    };
    let widths: [usize; N] = std::array::from_fn(width);
    let mut text = line(&widths, &header);
    for row in rows {
        text.push_str(&line(&widths, row));
    }
    text
}

fn line<S: AsRef<str>>(widths: &[usize], cells: &[S]) -> String {
    let cells = cells.iter().map(AsRef::as_ref).zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}

/// The value as text, or a dash for `None`.
pub fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
