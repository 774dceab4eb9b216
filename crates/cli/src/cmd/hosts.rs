//! `yuccawing hosts`: the address look-up that callers use.

use std::{path::PathBuf, process::ExitCode};

use yuccawing_core::membership::{Address, Addresses};

use crate::{
    client::HostClient,
    error::{CliError, CliResult},
    out,
};

/// List the hosts that a host announces to callers.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "hosts", error_code(1, "The host does not answer."))]
pub struct Args {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// PEM file with the CA certificates of the hosts; enables TLS
    #[argh(option, arg_name = "FILE")]
    ca: Option<PathBuf>,
    /// IP address and port of the host
    #[argh(positional, arg_name = "ADDR")]
    addr: String,
}

pub fn run(args: &Args) -> CliResult<ExitCode> {
    let bytes = HostClient::default().ca(args.ca.clone()).get_one(&args.addr, "/v1/hosts")?;
    let response: Addresses = serde_json::from_slice(&bytes)
        .map_err(|e| CliError::Host(args.addr.clone(), e.to_string()))?;
    if args.json {
        out::line(serde_json::to_string_pretty(&response)?)?;
    } else {
        let heading = ["NAME", "ADDRESS", "DOMAIN", "INCARNATION", "WEIGHT"].map(String::from);
        let mut rows = vec![heading.to_vec()];
        rows.extend(response.hosts.iter().map(row));
        out::table(&rows)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn row(a: &Address) -> Vec<String> {
    vec![
        a.name.to_string(),
        a.http.to_string(),
        if a.domain.is_empty() { "-".into() } else { a.domain.to_string() },
        a.incarnation.clone(),
        a.weight.to_string(),
    ]
}
