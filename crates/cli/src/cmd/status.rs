//! `yuccawing status`: the state of a host.

use std::{path::PathBuf, process::ExitCode};

use serde_json::Value;

use crate::{
    client::HostClient,
    error::{CliError, CliResult},
    out,
};

/// Print the state of a host as JSON.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status", error_code(1, "The host does not answer."))]
pub struct Args {
    /// PEM file with the CA certificates of the hosts; enables TLS
    #[argh(option, arg_name = "FILE")]
    ca: Option<PathBuf>,
    /// file with the operator key, which hosts require for calls that do not come from loopback
    #[argh(option, arg_name = "FILE")]
    key: Option<PathBuf>,
    /// IP address and port of the host
    #[argh(positional, arg_name = "ADDR")]
    addr: String,
}

pub fn run(args: &Args) -> CliResult<ExitCode> {
    let client = HostClient::default().ca(args.ca.clone()).key(args.key.clone());
    print(&args.addr, "/admin/status", &client)?;
    Ok(ExitCode::SUCCESS)
}

/// Requests `path` from a host and pretty-prints the JSON response.
///
/// # Errors
///
/// The call fails or the response is not JSON.
pub fn print(addr: &str, path: &str, client: &HostClient) -> CliResult<()> {
    let bytes = client.get_one(addr, path)?;
    let value: Value =
        serde_json::from_slice(&bytes).map_err(|e| CliError::Host(addr.into(), e.to_string()))?;
    out::line(serde_json::to_string_pretty(&value)?)
}
