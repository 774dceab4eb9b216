use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType};
use rustls::{ClientConfig, RootCertStore};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{Tls, TlsError, accept, connect, provider};
use crate::settings;

struct TestCa {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl TestCa {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Self { pem, issuer: Issuer::new(params, key) }
    }

    /// Writes the certificate and key of a host at 127.0.0.1.
    fn issue(&self, dir: &Path) {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.subject_alt_names = vec![SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST))];
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        fs::write(dir.join("cert"), cert.pem()).unwrap();
        fs::write(dir.join("key"), key.serialize_pem()).unwrap();
    }

    fn host(&self) -> (TempDir, settings::TlsFiles) {
        let dir = tempfile::tempdir().unwrap();
        self.issue(dir.path());
        fs::write(dir.path().join("ca"), &self.pem).unwrap();
        let path = |name: &str| dir.path().join(name);
        let files = settings::TlsFiles { cert: path("cert"), key: path("key"), ca: path("ca") };
        (dir, files)
    }
}

/// Connects a client to a server and returns the byte that the server sends.
async fn exchange_byte(server: Option<&Tls>, client: Option<&Tls>) -> io::Result<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let serve = async {
        let mut s = accept(server, listener.accept().await?.0).await?;
        s.write_all(b"x").await?;
        s.flush().await
    };
    let call = async {
        let mut s = connect(client, addr, TcpStream::connect(addr).await?).await?;
        // A TLS server sends nothing to a client without TLS until the client has written.
        s.write_all(b"hello").await?;
        s.flush().await?;
        s.read_u8().await
    };
    let (served, got) = tokio::join!(serve, call);
    served?;
    got
}

/// Files of a host and the certificate of its CA, in PEM.
pub(crate) fn host_files() -> (TempDir, settings::TlsFiles, String) {
    let ca = TestCa::new();
    let (dir, files) = ca.host();
    (dir, files, ca.pem)
}

/// Configuration of a caller that trusts `ca` and has no certificate.
pub(crate) fn client_config(ca: &str) -> ClientConfig {
    let mut roots = RootCertStore::empty();
    for c in rustls_pemfile::certs(&mut ca.as_bytes()) {
        roots.add(c.unwrap()).unwrap();
    }
    ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth()
}

/// Certificate that the server at `addr` presents to a caller.
async fn served_certificate(addr: SocketAddr, ca: &str) -> Result<Vec<u8>, io::Error> {
    let connector = tokio_rustls::TlsConnector::from(Arc::new(client_config(ca)));
    let name = rustls::pki_types::ServerName::IpAddress(addr.ip().into());
    let s = connector.connect(name, TcpStream::connect(addr).await?).await?;
    Ok(s.get_ref().1.peer_certificates().unwrap()[0].to_vec())
}

async fn serve(tls: &Tls) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let acceptor = tokio_rustls::TlsAcceptor::from(tls.server_config().unwrap());
    actix_rt::spawn(async move {
        while let Ok((s, _)) = listener.accept().await {
            let _ = acceptor.accept(s).await;
        }
    });
    addr
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

cases! {
    // Guards against hosts that cannot connect to each other.
    hosts_of_one_ca_connect: {
        let ca = TestCa::new();
        let ((_a, a), (_b, b)) = (ca.host(), ca.host());
        let (a, b) = (Tls::load(&a).unwrap(), Tls::load(&b).unwrap());
        assert_eq!(exchange_byte(Some(&a), Some(&b)).await.unwrap(), b'x');
        assert_eq!(exchange_byte(None, None).await.unwrap(), b'x');
    }
    // Guards against peers that are accepted without a certificate of the CA or without TLS.
    unauthenticated_peers_are_rejected: {
        let (ca, other) = (TestCa::new(), TestCa::new());
        let ((_a, a), (_b, b)) = (ca.host(), other.host());
        let (a, b) = (Tls::load(&a).unwrap(), Tls::load(&b).unwrap());
        assert!(exchange_byte(Some(&a), Some(&b)).await.is_err());
        assert!(exchange_byte(Some(&b), Some(&a)).await.is_err());
        assert!(exchange_byte(Some(&a), None).await.is_err());
        assert!(exchange_byte(None, Some(&a)).await.is_err());
    }
    // Guards against renewed certificates that are used only after a restart.
    changed_files_are_used_without_a_restart: {
        let ca = TestCa::new();
        let (dir, files) = ca.host();
        let tls = Tls::load(&files).unwrap();
        let addr = serve(&tls).await;
        let before = served_certificate(addr, &ca.pem).await.unwrap();
        let known = super::FileContents::read(&files).ok();
        assert!(tls.reload(known.clone()).1.is_none());
        ca.issue(dir.path());
        assert!(tls.reload(known).1.unwrap().is_ok());
        let after = served_certificate(addr, &ca.pem).await.unwrap();
        assert_ne!(before, after);
    }
    // Guards against a host that drops its certificate because a file is incomplete or missing.
    invalid_files_keep_the_old_certificate: {
        let ca = TestCa::new();
        let (dir, files) = ca.host();
        let tls = Tls::load(&files).unwrap();
        let addr = serve(&tls).await;
        let before = served_certificate(addr, &ca.pem).await.unwrap();
        let (other, _) = ca.host();
        fs::copy(other.path().join("cert"), dir.path().join("cert")).unwrap();
        let (mut known, outcome) = tls.reload(super::FileContents::read(&files).ok().map(|mut f| {
            f.cert.clear();
            f
        }));
        assert!(matches!(outcome, Some(Err(TlsError::Rustls(_)))));
        assert!(tls.reload(known.clone()).1.is_none(), "the same error was reported twice");
        for text in ["", "no pem", "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"] {
            fs::write(&files.cert, text).unwrap();
            let (now, outcome) = tls.reload(known);
            assert!(matches!(outcome, Some(Err(_))), "{text}");
            known = now;
        }
        fs::remove_file(&files.key).unwrap();
        let (now, outcome) = tls.reload(known);
        assert!(matches!(outcome, Some(Err(TlsError::File(..)))));
        assert!(tls.reload(now).1.is_none());
        assert_eq!(served_certificate(addr, &ca.pem).await.unwrap(), before);
    }
    // Guards against changed CA certificates after which hosts of the old CA are still accepted.
    changed_ca_rejects_hosts_of_the_old_ca: {
        let (ca, next) = (TestCa::new(), TestCa::new());
        let ((dir, files), (_b, b)) = (ca.host(), ca.host());
        let (a, b) = (Tls::load(&files).unwrap(), Tls::load(&b).unwrap());
        let known = super::FileContents::read(&files).ok();
        next.issue(dir.path());
        fs::write(&files.ca, &next.pem).unwrap();
        assert!(a.reload(known).1.unwrap().is_ok());
        assert!(exchange_byte(Some(&a), Some(&b)).await.is_err());
    }
}
