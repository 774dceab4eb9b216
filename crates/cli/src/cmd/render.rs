//! `yuccawing render`: writes a version as files that operators publish to the configuration
//! service.

use std::{
    cmp::Ordering,
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use yuccawing_core::{
    config::MAX_VERSION_BYTES,
    rules::{Head, MAX_PART_BYTES, Rendered},
};

use crate::{
    error::{CliError, CliResult},
    files::{self, HEAD_FILE, PARTS_DIR},
    out,
};

/// Write one version as values for the configuration service.
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "render",
    note = "DIR/part/DIGEST and DIR/head are the values of the keys part/DIGEST and head. Publish the parts first and the head last.",
    error_code(
        1,
        "The files have findings, the version is too large, or DIR has a later version or other content of this version."
    )
)]
pub struct Args {
    /// number of the version; must be above the last published one
    #[argh(option, arg_name = "N")]
    version: u64,
    /// directory to write to
    #[argh(option, arg_name = "DIR")]
    out: PathBuf,
    /// TOML files or directories
    #[argh(positional, arg_name = "FILE")]
    files: Vec<PathBuf>,
}

pub fn run(args: &Args) -> CliResult<ExitCode> {
    let out = files::read_rules(&args.files)?.render(args.version);
    out.head.check().map_err(|e| CliError::Version(e.to_string()))?;
    check_size(&out)?;
    if let Some(old) = files::read_head(&args.out)? {
        check_newer(&old, &out.head)?;
    }
    let new = write_version(&out, &args.out)?;
    let bytes: usize = out.parts.values().map(String::len).sum();
    out::line(format!(
        "version {} digest {}: {} parts, {bytes} bytes; {} new parts, {} bytes",
        out.head.version,
        out.head.digest,
        out.parts.len(),
        new.0,
        new.1,
    ))?;
    Ok(ExitCode::SUCCESS)
}

fn check_size(out: &Rendered) -> CliResult<()> {
    if let Some((d, t)) = out.parts.iter().find(|(_, t)| t.len() > MAX_PART_BYTES) {
        return Err(CliError::Version(format!(
            "part {d} has {} bytes, the configuration service allows {MAX_PART_BYTES}",
            t.len()
        )));
    }
    let bytes: usize = out.parts.values().map(String::len).sum();
    if bytes > MAX_VERSION_BYTES {
        return Err(CliError::Version(format!("{bytes} bytes, hosts allow {MAX_VERSION_BYTES}")));
    }
    Ok(())
}

fn check_newer(old: &Head, new: &Head) -> CliResult<()> {
    let message = match new.version.cmp(&old.version) {
        Ordering::Greater => return Ok(()),
        Ordering::Equal if new.digest == old.digest => return Ok(()),
        Ordering::Equal => "has other content; hosts reject it, use a higher version",
        Ordering::Less => "is older; hosts ignore it, use a higher version",
    };
    let text = format!(
        "version {}: the directory has version {}; this one {message}",
        new.version, old.version
    );
    Err(CliError::Version(text))
}

/// Writes the parts that the directory does not have yet, then the head. Returns the number of new
/// parts and their size in bytes.
fn write_version(out: &Rendered, dir: &Path) -> CliResult<(usize, usize)> {
    let parts = dir.join(PARTS_DIR);
    fs::create_dir_all(&parts).map_err(|e| CliError::File(parts.clone(), e))?;
    let mut new = (0, 0);
    for (digest, text) in &out.parts {
        let path = parts.join(digest.as_str());
        if fs::read(&path).is_ok_and(|b| b == text.as_bytes()) {
            continue;
        }
        fs::write(&path, text).map_err(|e| CliError::File(path, e))?;
        new = (new.0 + 1, new.1 + text.len());
    }
    // Replace the head atomically: an interrupted run leaves the old version complete.
    let (path, temp) = (dir.join(HEAD_FILE), dir.join("head.new"));
    fs::write(&temp, serde_json::to_vec(&out.head)?)
        .map_err(|e| CliError::File(temp.clone(), e))?;
    fs::rename(&temp, &path).map_err(|e| CliError::File(path, e))?;
    Ok(new)
}
