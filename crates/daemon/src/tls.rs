//! TLS towards callers and mutual TLS between hosts. Changed files are used without a restart.

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

/// Interval at which the files are read for changes.
const RELOAD: Duration = Duration::from_secs(5);

/// Longest handshake with a peer.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);

/// Largest PEM file, in bytes.
const MAX_FILE: u64 = 1024 * 1024;

/// Why certificates cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A file does not have the content that it should have.
    #[error("{0}: {1}")]
    Content(PathBuf, &'static str),
    /// Certificate and key do not fit, or the key is of an unknown kind.
    #[error("certificate and key: {0}")]
    Rustls(#[from] rustls::Error),
    /// The CA certificates cannot be used.
    #[error("CA certificates: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
}

/// Connection to a peer, plain or TLS.
pub type PeerStream = Either<TcpStream, TlsStream<TcpStream>>;

/// Certificates in use. Cheap to clone; all clones see a reload.
#[derive(Clone, Debug)]
pub struct Tls {
    files: settings::Tls,
    active: Arc<Active>,
}

#[derive(Debug)]
struct Active {
    identity: ArcSwap<CertifiedKey>,
    server: ArcSwap<ServerConfig>,
    client: ArcSwap<ClientConfig>,
}

// Bytes of the files, to notice changes.
#[derive(Clone, PartialEq, Eq)]
struct Files {
    cert: Vec<u8>,
    key: Vec<u8>,
    ca: Vec<u8>,
}

struct Loaded {
    identity: CertifiedKey,
    server: ServerConfig,
    client: ClientConfig,
}

// Hands out the certificate of the last reload.
#[derive(Debug)]
struct Resolver(Arc<Active>);

impl ResolvesServerCert for Resolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.identity.load_full())
    }
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// The first file that cannot be used.
    pub fn load(files: &settings::Tls) -> Result<Self, TlsError> {
        let l = Files::read(files)?.load(files)?;
        let active = Active {
            identity: ArcSwap::from_pointee(l.identity),
            server: ArcSwap::from_pointee(l.server),
            client: ArcSwap::from_pointee(l.client),
        };
        Ok(Self { files: files.clone(), active: Arc::new(active) })
    }

    /// Configuration for `edge::Setup::tls`; follows reloads.
    ///
    /// # Errors
    ///
    /// The provider supports no protocol version.
    pub fn callers(&self) -> Result<Arc<ServerConfig>, TlsError> {
        let config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(Arc::new(Resolver(self.active.clone())));
        Ok(Arc::new(config))
    }

    /// Reads the files again, if they changed, until `stop` is cancelled.
    pub async fn watch(self, log: Logger, stop: CancellationToken) {
        let mut seen = Files::read(&self.files).ok();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(RELOAD) => {}
            }
            let (this, known) = (self.clone(), seen.clone());
            // Reading files blocks.
            let result = tokio::task::spawn_blocking(move || this.reload(known)).await;
            if let Ok((files, outcome)) = result {
                seen = files;
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

    // The files as read, and what was done about them if they changed.
    fn reload(&self, seen: Option<Files>) -> (Option<Files>, Option<Result<(), TlsError>>) {
        let files = match Files::read(&self.files) {
            Ok(files) => files,
            // Told once: without known files the next failure is not a change.
            Err(e) => return (None, seen.map(|_| Err(e))),
        };
        if seen.as_ref() == Some(&files) {
            return (seen, None);
        }
        let outcome = files.load(&self.files).map(|l| {
            self.active.identity.store(Arc::new(l.identity));
            self.active.server.store(Arc::new(l.server));
            self.active.client.store(Arc::new(l.client));
        });
        (Some(files), Some(outcome))
    }
}

/// Accepts a connection of a peer: mutual TLS, or plain text if `tls` is `None`.
///
/// # Errors
///
/// The peer has no certificate of the CA, or the handshake takes longer than 2 s.
pub async fn accept(tls: Option<&Tls>, socket: TcpStream) -> io::Result<PeerStream> {
    let Some(tls) = tls else { return Ok(Either::Left(socket)) };
    let acceptor = TlsAcceptor::from(tls.active.server.load_full());
    let stream = timeout(HANDSHAKE_LIMIT, acceptor.accept(socket)).await.map_err(late)??;
    Ok(Either::Right(stream.into()))
}

/// Sets up a connection to the peer at `addr`, as [`accept`]. The peer's certificate has to name
/// its IP address.
///
/// # Errors
///
/// As [`accept`].
pub async fn connect(
    tls: Option<&Tls>,
    addr: SocketAddr,
    socket: TcpStream,
) -> io::Result<PeerStream> {
    let Some(tls) = tls else { return Ok(Either::Left(socket)) };
    let connector = TlsConnector::from(tls.active.client.load_full());
    let name = ServerName::IpAddress(addr.ip().into());
    let stream =
        timeout(HANDSHAKE_LIMIT, connector.connect(name, socket)).await.map_err(late)??;
    Ok(Either::Right(stream.into()))
}

impl Files {
    fn read(files: &settings::Tls) -> Result<Self, TlsError> {
        Ok(Self { cert: read(&files.cert)?, key: read(&files.key)?, ca: read(&files.ca)? })
    }

    fn load(&self, names: &settings::Tls) -> Result<Loaded, TlsError> {
        let chain = certificates(&self.cert, &names.cert)?;
        let key = key(&self.key, &names.key)?;
        let mut roots = RootCertStore::empty();
        for c in certificates(&self.ca, &names.ca)? {
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
        // A resumed session would skip the check against CA certificates that have changed since.
        server.session_storage = Arc::new(NoServerSessionStorage {});
        server.send_tls13_tickets = 0;
        let mut client = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)?;
        client.resumption = Resumption::disabled();
        Ok(Loaded { identity, server, client })
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    let file = |e| TlsError::File(path.to_owned(), e);
    if fs::metadata(path).map_err(file)?.len() > MAX_FILE {
        return Err(TlsError::Content(path.to_owned(), "larger than 1 MiB"));
    }
    fs::read(path).map_err(file)
}

fn certificates(pem: &[u8], path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let bad = |text| TlsError::Content(path.to_owned(), text);
    let all: Result<Vec<_>, _> = rustls_pemfile::certs(&mut &*pem).collect();
    match all {
        Ok(all) if all.is_empty() => Err(bad("no certificate")),
        Ok(all) => Ok(all),
        Err(_) => Err(bad("not a PEM file of certificates")),
    }
}

fn key(pem: &[u8], path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let bad = |text| TlsError::Content(path.to_owned(), text);
    match rustls_pemfile::private_key(&mut &*pem) {
        Ok(Some(key)) => Ok(key),
        Ok(None) => Err(bad("no private key")),
        Err(_) => Err(bad("not a PEM file of a private key")),
    }
}

fn late<E>(_: E) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the TLS handshake took longer than 2 s")
}
