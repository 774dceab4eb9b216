//! HTTP client for the hosts of the serving layer.

use std::{
    fs,
    io::BufReader,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use awc::{Client, Connector};
use rustls::{ClientConfig, RootCertStore};

use crate::error::{CliError, CliResult};

/// Applies to the response head and to the body, each on its own.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The metrics of a host with 1,000 accounts take less than 10 MB.
const MAX_RESPONSE_BYTES: usize = 64_000_000;

/// Calls hosts over HTTP. The default is an unencrypted connection without an operator key.
#[derive(Clone, Debug, Default)]
pub struct HostClient {
    ca: Option<PathBuf>,
    key: Option<PathBuf>,
}

impl HostClient {
    /// Uses TLS and trusts the CA certificates in this PEM file.
    pub fn ca(mut self, file: Option<PathBuf>) -> Self {
        self.ca = file;
        self
    }

    /// Sends the operator key in this file as a bearer token. As a command-line argument the key
    /// would be visible in the process list.
    pub fn key(mut self, file: Option<PathBuf>) -> Self {
        self.key = file;
        self
    }

    /// Requests `path` from all hosts concurrently. The results are in the order of `addrs`.
    ///
    /// # Errors
    ///
    /// The CA or key file cannot be used. A failed call to one host is an error in its result.
    pub fn get(&self, addrs: &[String], path: &str) -> CliResult<Vec<CliResult<Vec<u8>>>> {
        let config = self.ca.as_deref().map(tls_config).transpose()?;
        let key = self.key.as_deref().map(read_key).transpose()?;
        let scheme = if self.ca.is_some() { "https" } else { "http" };
        Ok(actix_rt::System::new().block_on(async {
            let mut builder = Client::builder().timeout(CALL_TIMEOUT);
            if let Some(k) = key {
                builder = builder.bearer_auth(k);
            }
            let client = match config {
                Some(c) => builder.connector(Connector::new().rustls_0_23(Arc::new(c))).finish(),
                None => builder.finish(),
            };
            let spawn = |addr: &String| {
                let full = addr.contains("://");
                let base = if full { addr.clone() } else { format!("{scheme}://{addr}") };
                let url = format!("{}{path}", base.trim_end_matches('/'));
                let client = client.clone();
                actix_rt::spawn(async move { call(&client, &url).await })
            };
            let calls: Vec<_> = addrs.iter().map(spawn).collect();
            let mut out = Vec::new();
            for (call, addr) in calls.into_iter().zip(addrs) {
                let response = call.await.unwrap_or_else(|e| Err(e.to_string()));
                out.push(response.map_err(|e| CliError::Host(addr.clone(), e)));
            }
            out
        }))
    }

    /// Requests `path` from one host.
    ///
    /// # Errors
    ///
    /// The host cannot be reached or responds with an error status.
    pub fn get_one(&self, addr: &str, path: &str) -> CliResult<Vec<u8>> {
        let none = || Err(CliError::Host(addr.into(), "no answer".into()));
        self.get(&[addr.to_owned()], path)?.pop().unwrap_or_else(none)
    }
}

/// Percent-encodes a value for a query string.
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
    let response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let mut response = response.timeout(CALL_TIMEOUT);
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| e.to_string())?;
    if status.is_success() {
        Ok(body.to_vec())
    } else {
        Err(format!("{status}: {}", String::from_utf8_lossy(&body).trim()))
    }
}

fn read_key(file: &Path) -> CliResult<String> {
    let text = fs::read_to_string(file).map_err(|e| CliError::File(file.into(), e))?;
    Ok(text.trim().to_owned())
}

fn tls_config(ca: &Path) -> CliResult<ClientConfig> {
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
