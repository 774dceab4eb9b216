//! `yuccawing explain`: decisions of a host about an adapter or a request.

use std::{path::PathBuf, process::ExitCode};

use crate::{
    client::{HostClient, escape},
    cmd::status,
    error::{CliError, CliResult},
};

/// Explain where an adapter is placed, or why a request was routed or refused.
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    error_code(1, "The host does not answer, or does not know the adapter or request.")
)]
pub struct Args {
    /// adapter to explain
    #[argh(option, arg_name = "NAME")]
    adapter: Option<String>,
    /// request to explain, by the x-request-id header of its response
    #[argh(option, arg_name = "ID")]
    request: Option<String>,
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
    let query = match (&args.adapter, &args.request) {
        (Some(a), None) => format!("adapter={}", escape(a)),
        (None, Some(r)) => format!("request={}", escape(r)),
        _ => return Err(CliError::Usage("give either --adapter or --request".into())),
    };
    let client = HostClient::default().ca(args.ca.clone()).key(args.key.clone());
    status::print(&args.addr, &format!("/admin/explain?{query}"), &client)?;
    Ok(ExitCode::SUCCESS)
}
