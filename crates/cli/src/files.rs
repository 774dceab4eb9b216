//! Reads the operators' rule files and the versions written by `render`.

use std::{
    fs,
    path::{Path, PathBuf},
};

use yuccawing_core::{
    ArcStr,
    rules::{Finding, Findings, Head, Rules, SourceFile},
};

use crate::error::{CliError, CliResult};

/// File of a rendered version that lists the digests of all parts.
pub const HEAD_FILE: &str = "head";

/// Directory of a rendered version that holds the parts, one file per digest.
pub const PARTS_DIR: &str = "part";

/// Reads and checks one version of the rules from TOML files and directories of TOML files.
///
/// # Errors
///
/// A file cannot be read, or the files have findings; the error contains those of all files.
pub fn read_rules(paths: &[PathBuf]) -> CliResult<Rules> {
    let mut files = Vec::new();
    let mut found = Vec::new();
    for path in expand_dirs(paths)? {
        match read_file(&path)? {
            Ok(f) => files.push(f),
            Err(f) => found.push(f),
        }
    }
    // Check the readable files too, to report all findings in one run.
    match Rules::read(&files) {
        Ok(rules) if found.is_empty() => Ok(rules),
        Ok(_) => Err(Findings(found).into()),
        Err(Findings(more)) => {
            found.extend(more);
            Err(Findings(found).into())
        }
    }
}

/// Reads a rendered version, a directory of TOML files, or a TOML file.
///
/// # Errors
///
/// As [`read_rules`], or the rendered version is incomplete or damaged.
pub fn read_version(path: &Path) -> CliResult<Rules> {
    if path.join(HEAD_FILE).is_file() { read_rendered(path) } else { read_rules(&[path.into()]) }
}

/// Reads the head of a rendered version, or `None` if the directory has no head file.
///
/// # Errors
///
/// The head file cannot be read or is invalid.
pub fn read_head(dir: &Path) -> CliResult<Option<Head>> {
    let path = dir.join(HEAD_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(|e| CliError::File(path.clone(), e))?;
    Head::read(&bytes).map(Some).map_err(|e| CliError::Published(path, e))
}

fn read_rendered(dir: &Path) -> CliResult<Rules> {
    let head =
        read_head(dir)?.ok_or_else(|| CliError::Usage(format!("{}: no head", dir.display())))?;
    let part = |d: &ArcStr| fs::read_to_string(dir.join(PARTS_DIR).join(d.as_str())).ok();
    Rules::assemble(&head, |d| part(d).map(ArcStr::from))
        .map_err(|e| CliError::Published(dir.into(), e))
}

/// Replaces each directory with its TOML files, sorted by name.
fn expand_dirs(paths: &[PathBuf]) -> CliResult<Vec<PathBuf>> {
    let mut out = Vec::new();
    for p in paths {
        if !p.is_dir() {
            out.push(p.clone());
            continue;
        }
        let error = |e| CliError::File(p.clone(), e);
        let mut files = Vec::new();
        for entry in fs::read_dir(p).map_err(error)? {
            let path = entry.map_err(error)?.path();
            if path.extension().is_some_and(|e| e == "toml") {
                files.push(path);
            }
        }
        if files.is_empty() {
            return Err(CliError::Usage(format!("{}: no TOML files", p.display())));
        }
        files.sort();
        out.extend(files);
    }
    Ok(out)
}

fn read_file(path: &Path) -> CliResult<Result<SourceFile, Finding>> {
    let bytes = fs::read(path).map_err(|e| CliError::File(path.into(), e))?;
    let name = path.display().to_string();
    Ok(String::from_utf8(bytes).map(|text| SourceFile { name: name.clone(), text }).map_err(|e| {
        let good = &e.as_bytes()[..e.utf8_error().valid_up_to()];
        let line = good.iter().filter(|b| **b == b'\n').count() + 1;
        Finding { file: name, line, message: "not UTF-8".into() }
    }))
}
