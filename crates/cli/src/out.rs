//! Prints lines and tables to standard output.

use std::{
    fmt::Display,
    io::{self, Write},
};

use crate::error::CliResult;

/// Prints `text` and a newline.
///
/// # Errors
///
/// Standard output cannot be written, for example because its reader has closed the pipe.
pub fn line(text: impl Display) -> CliResult<()> {
    Ok(writeln!(io::stdout().lock(), "{text}")?)
}

/// Prints rows with aligned columns. The first row is the heading.
///
/// # Errors
///
/// As [`line()`].
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
