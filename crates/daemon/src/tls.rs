//! TLS for connections of callers and mutual TLS between hosts. Changed certificate files are
//! reloaded without a restart.

#[cfg(test)]
pub(crate) mod tests;

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::Resumption,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, ServerName},
    server::{ClientHello, NoServerSessionStorage, ResolvesServerCert, WebPkiClientVerifier},
    sign::CertifiedKey,
};
use slog::{Logger, kv};
use tokio::{net::TcpStream, time::timeout};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use tokio_util::{either::Either, sync::CancellationToken};

use crate::{
    events::{Event, emit},
    settings,
};

/// Interval between checks of the files for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for a TLS handshake with a peer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a PEM file.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Why certificates cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A file is too large or has no valid PEM content of the expected kind.
    #[error("{0}: {1}")]
    Content(PathBuf, &'static str),
    /// Certificate and key do not match, or the key type is not supported.
    #[error("certificate and key: {0}")]
    Rustls(#[from] rustls::Error),
    /// The CA certificates cannot be used.
    #[error("CA certificates: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
}

/// Connection to a peer, in plain text or with TLS.
pub type PeerStream = Either<TcpStream, TlsStream<TcpStream>>;

/// Certificates in use. Clones are cheap and share the result of a reload.
#[derive(Clone, Debug)]
pub struct Tls {
    files: settings::TlsFiles,
    active: Arc<ActiveConfig>,
}

#[derive(Debug)]
struct ActiveConfig {
    identity: ArcSwap<CertifiedKey>,
    server: ArcSwap<ServerConfig>,
    client: ArcSwap<ClientConfig>,
}

// Content of the files, to detect changes.
#[derive(Clone, PartialEq, Eq)]
struct FileContents {
    cert: Vec<u8>,
    key: Vec<u8>,
    ca: Vec<u8>,
}

struct LoadedConfig {
    identity: CertifiedKey,
    server: ServerConfig,
    client: ClientConfig,
}

// Presents the certificate of the last successful reload.
#[derive(Debug)]
struct CertResolver(Arc<ActiveConfig>);

impl ResolvesServerCert for CertResolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.identity.load_full())
    }
}

impl Tls {
    /// Loads the certificates and the key from `files`.
    ///
    /// # Errors
    ///
    /// A file cannot be read or used; the first one is reported.
    pub fn load(files: &settings::TlsFiles) -> Result<Self, TlsError> {
        let l = FileContents::read(files)?.load(files)?;
        let active = ActiveConfig {
            identity: ArcSwap::from_pointee(l.identity),
            server: ArcSwap::from_pointee(l.server),
            client: ArcSwap::from_pointee(l.client),
        };
        Ok(Self { files: files.clone(), active: Arc::new(active) })
    }

    /// Server configuration for connections of callers. It follows reloads.
    ///
    /// # Errors
    ///
    /// The cryptography provider supports none of the default protocol versions.
    pub fn server_config(&self) -> Result<Arc<ServerConfig>, TlsError> {
        let config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(Arc::new(CertResolver(self.active.clone())));
        Ok(Arc::new(config))
    }

    /// Reloads the files when they change, until `stop` is cancelled.
    pub async fn watch(self, log: Logger, stop: CancellationToken) {
        let mut last = FileContents::read(&self.files).ok();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(RELOAD_INTERVAL) => {}
            }
            let (this, previous) = (self.clone(), last.clone());
            // File reads block, so they run outside of the event loop.
            let result = tokio::task::spawn_blocking(move || this.reload(previous)).await;
            if let Ok((files, outcome)) = result {
                last = files;
                match outcome {
                    None => {}
                    Some(Ok(())) => emit(&log, Event::TlsLoaded, &slog::b!()),
                    Some(Err(e)) => {
                        emit(&log, Event::TlsRejected, &kv!("error" => e.to_string()));
                    }
                }
            }
        }
    }

    // Returns the files as read now, and the result of the reload if they changed.
    fn reload(
        &self,
        previous: Option<FileContents>,
    ) -> (Option<FileContents>, Option<Result<(), TlsError>>) {
        let files = match FileContents::read(&self.files) {
            Ok(files) => files,
            // Reported once: without previous content the next failure is not a change.
            Err(e) => return (None, previous.map(|_| Err(e))),
        };
        if previous.as_ref() == Some(&files) {
            return (previous, None);
        }
        let outcome = files.load(&self.files).map(|l| {
            self.active.identity.store(Arc::new(l.identity));
            self.active.server.store(Arc::new(l.server));
            self.active.client.store(Arc::new(l.client));
        });
        (Some(files), Some(outcome))
    }
}

/// Accepts a connection of a peer, with mutual TLS or in plain text if `tls` is `None`.
///
/// # Errors
///
/// The peer has no certificate signed by the CA, or the handshake takes longer than 2 s.
pub async fn accept(tls: Option<&Tls>, socket: TcpStream) -> io::Result<PeerStream> {
    let Some(tls) = tls else { return Ok(Either::Left(socket)) };
    let acceptor = TlsAcceptor::from(tls.active.server.load_full());
    let stream =
        timeout(HANDSHAKE_TIMEOUT, acceptor.accept(socket)).await.map_err(handshake_timeout)??;
    Ok(Either::Right(stream.into()))
}

/// Client side of [`accept`], for a connection to the peer at `addr`. The peer's certificate must
/// name its IP address.
///
/// # Errors
///
/// As for [`accept`], or the certificate does not name the address.
pub async fn connect(
    tls: Option<&Tls>,
    addr: SocketAddr,
    socket: TcpStream,
) -> io::Result<PeerStream> {
    let Some(tls) = tls else { return Ok(Either::Left(socket)) };
    let connector = TlsConnector::from(tls.active.client.load_full());
    let name = ServerName::IpAddress(addr.ip().into());
    let stream = timeout(HANDSHAKE_TIMEOUT, connector.connect(name, socket))
        .await
        .map_err(handshake_timeout)??;
    Ok(Either::Right(stream.into()))
}

impl FileContents {
    fn read(files: &settings::TlsFiles) -> Result<Self, TlsError> {
        Ok(Self {
            cert: read_file(&files.cert)?,
            key: read_file(&files.key)?,
            ca: read_file(&files.ca)?,
        })
    }

    fn load(&self, paths: &settings::TlsFiles) -> Result<LoadedConfig, TlsError> {
        let chain = parse_certificates(&self.cert, &paths.cert)?;
        let key = parse_key(&self.key, &paths.key)?;
        let mut roots = RootCertStore::empty();
        for c in parse_certificates(&self.ca, &paths.ca)? {
            roots.add(c)?;
        }
        let roots = Arc::new(roots);
        let identity = CertifiedKey::from_der(chain.clone(), key.clone_key(), &provider())?;
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider()).build()?;
        let mut server = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())?;
        // A resumed session would skip the check against CA certificates that changed after it
        // began.
        server.session_storage = Arc::new(NoServerSessionStorage {});
        server.send_tls13_tickets = 0;
        let mut client = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)?;
        client.resumption = Resumption::disabled();
        Ok(LoadedConfig { identity, server, client })
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    let file_error = |e| TlsError::File(path.to_owned(), e);
    if fs::metadata(path).map_err(file_error)?.len() > MAX_FILE_BYTES {
        return Err(TlsError::Content(path.to_owned(), "larger than 1 MiB"));
    }
    fs::read(path).map_err(file_error)
}

fn parse_certificates(pem: &[u8], path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let invalid = |text| TlsError::Content(path.to_owned(), text);
    let all: Result<Vec<_>, _> = rustls_pemfile::certs(&mut &*pem).collect();
    match all {
        Ok(all) if all.is_empty() => Err(invalid("no certificate")),
        Ok(all) => Ok(all),
        Err(_) => Err(invalid("not a PEM file of certificates")),
    }
}

fn parse_key(pem: &[u8], path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let invalid = |text| TlsError::Content(path.to_owned(), text);
    match rustls_pemfile::private_key(&mut &*pem) {
        Ok(Some(key)) => Ok(key),
        Ok(None) => Err(invalid("no private key")),
        Err(_) => Err(invalid("not a PEM file of a private key")),
    }
}

fn handshake_timeout<E>(_: E) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the TLS handshake took longer than 2 s")
}
