//! Standard output.

use std::{
    fmt::Display,
    io::{self, Write},
};

use crate::error::CliResult;

/// Writes a line.
///
/// # Errors
///
/// Standard output is closed.
pub fn line(text: impl Display) -> CliResult<()> {
    Ok(writeln!(io::stdout().lock(), "{text}")?)
}

/// Writes rows with aligned columns, the first row being the heading.
///
/// # Errors
///
/// Standard output is closed.
pub fn table(rows: &[Vec<String>]) -> CliResult<()> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width =
        |i: usize| rows.iter().filter_map(|r| r.get(i)).map(|c: &String| c.chars().count()).max();
    let widths: Vec<_> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
    for r in rows {
        let cells: Vec<_> = r.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        line(cells.join("  ").trim_end())?;
    }
    Ok(())
}
