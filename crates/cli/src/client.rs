//! Calls to hosts.

use std::{fs, io::BufReader, path::Path, sync::Arc, time::Duration};

use awc::{Client, Connector};
use rustls::{ClientConfig, RootCertStore};

use crate::error::{CliError, CliResult};

/// Deadline of a call.
const LIMIT: Duration = Duration::from_secs(10);

/// Largest answer, in bytes. The metrics of a host with 1,000 accounts are below 10 MB.
const MAX_ANSWER: usize = 64_000_000;

/// Reads `path` from each host, all at the same time.
///
/// # Errors
///
/// The CA file cannot be used. An error of a host is in its place of the result.
pub fn get(addrs: &[String], path: &str, ca: Option<&Path>) -> CliResult<Vec<CliResult<Vec<u8>>>> {
    let config = ca.map(tls).transpose()?;
    let scheme = if ca.is_some() { "https" } else { "http" };
    Ok(actix_rt::System::new().block_on(async {
        let builder = Client::builder().timeout(LIMIT);
        let client = match config {
            Some(c) => builder.connector(Connector::new().rustls_0_23(Arc::new(c))).finish(),
            None => builder.finish(),
        };
        let calls: Vec<_> = addrs
            .iter()
            .map(|a| {
                let base = if a.contains("://") { a.clone() } else { format!("{scheme}://{a}") };
                let url = format!("{}{path}", base.trim_end_matches('/'));
                let (client, addr) = (client.clone(), a.clone());
                actix_rt::spawn(async move { call(&client, &url).await.map_err(|e| (addr, e)) })
            })
            .collect();
        let mut out = Vec::new();
        for (call, addr) in calls.into_iter().zip(addrs) {
            let answer = call.await.unwrap_or_else(|e| Err((addr.clone(), e.to_string())));
            out.push(answer.map_err(|(addr, e)| CliError::Host(addr, e)));
        }
        out
    }))
}

/// Reads `path` from one host.
///
/// # Errors
///
/// The host does not answer with success.
pub fn get_one(addr: &str, path: &str, ca: Option<&Path>) -> CliResult<Vec<u8>> {
    get(&[addr.to_owned()], path, ca)?
        .pop()
        .unwrap_or_else(|| Err(CliError::Host(addr.into(), "no answer".into())))
}

/// Escapes a value for the query of a path.
pub fn escape(value: &str) -> String {
    let mut out = String::new();
    for b in value.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~".contains(&b) {
            out.push(b.into());
        } else {
            out += &format!("%{b:02X}");
        }
    }
    out
}

async fn call(client: &Client, url: &str) -> Result<Vec<u8>, String> {
    let answer = client.get(url).send().await.map_err(|e| e.to_string())?;
    let mut answer = answer.timeout(LIMIT);
    let status = answer.status();
    let body = answer.body().limit(MAX_ANSWER).await.map_err(|e| e.to_string())?;
    if status.is_success() {
        Ok(body.to_vec())
    } else {
        Err(format!("{status}: {}", String::from_utf8_lossy(&body).trim()))
    }
}

fn tls(ca: &Path) -> CliResult<ClientConfig> {
    let error = |e| CliError::File(ca.into(), e);
    let mut roots = RootCertStore::empty();
    let file = fs::File::open(ca).map_err(error)?;
    for cert in rustls_pemfile::certs(&mut BufReader::new(file)) {
        roots
            .add(cert.map_err(error)?)
            .map_err(|e| CliError::Usage(format!("{}: {e}", ca.display())))?;
    }
    if roots.is_empty() {
        return Err(CliError::Usage(format!("{}: no certificates", ca.display())));
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| CliError::Usage(e.to_string()))?;
    Ok(config.with_root_certificates(roots).with_no_client_auth())
}
