//! Tests of TLS for callers and mutual TLS between hosts, with real host processes.

mod support;

use std::{
    fs,
    io::{ErrorKind, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType};
use rustls::{
    ClientConfig, ClientConnection, RootCertStore, StreamOwned,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName},
};
use support::{Fleet, FleetSpec, exchange};

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

    /// Writes the certificate, key and CA certificate of a host at 127.0.0.1.
    fn issue(&self, dir: &Path) {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.subject_alt_names = vec![SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST))];
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        fs::create_dir_all(dir).unwrap();
        fs::write(dir.join("cert"), cert.pem()).unwrap();
        fs::write(dir.join("key"), key.serialize_pem()).unwrap();
        fs::write(dir.join("ca"), &self.pem).unwrap();
    }
}

fn parse_certificates(pem: &[u8]) -> Vec<CertificateDer<'static>> {
    rustls_pemfile::certs(&mut &*pem).map(Result::unwrap).collect()
}

/// Configuration of a client that trusts `ca` and presents the certificate in the folder
/// `identity`.
fn client(ca: &str, identity: Option<&Path>) -> Arc<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for c in parse_certificates(ca.as_bytes()) {
        roots.add(c).unwrap();
    }
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots);
    Arc::new(match identity {
        None => config.with_no_client_auth(),
        Some(dir) => {
            let chain = parse_certificates(&fs::read(dir.join("cert")).unwrap());
            let key = fs::read(dir.join("key")).unwrap();
            let key: PrivateKeyDer<'static> =
                rustls_pemfile::private_key(&mut &*key).unwrap().unwrap();
            config.with_client_auth_cert(chain, key).unwrap()
        }
    })
}

fn connect(to: SocketAddr, config: &Arc<ClientConfig>) -> StreamOwned<ClientConnection, TcpStream> {
    let s = TcpStream::connect(to).unwrap();
    s.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let name = ServerName::IpAddress(to.ip().into());
    StreamOwned::new(ClientConnection::new(config.clone(), name).unwrap(), s)
}

/// Whether a host keeps a connection to its peer port open. With TLS 1.3 a client learns that its
/// certificate was rejected only when it reads.
fn is_accepted(to: SocketAddr, config: &Arc<ClientConfig>) -> bool {
    let mut s = connect(to, config);
    if s.flush().is_err() {
        return false;
    }
    let end = s.read(&mut [0]);
    matches!(end, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

/// Certificate that a host presents.
fn served_certificate(to: SocketAddr, config: &Arc<ClientConfig>) -> Option<Vec<u8>> {
    let mut s = connect(to, config);
    while s.conn.is_handshaking() {
        s.conn.complete_io(&mut s.sock).ok()?;
    }
    Some(s.conn.peer_certificates()?[0].to_vec())
}

fn issued_certificate(dir: &Path) -> Option<Vec<u8>> {
    Some(parse_certificates(&fs::read(dir.join("cert")).unwrap())[0].to_vec())
}

// Guards against TLS that works only in isolation: hosts that cannot form a group or serve requests
// with it, peers that are accepted without a certificate of the CA, and replaced certificates that
// are used only after a restart.
#[test]
fn three_hosts_use_tls_for_all_connections() {
    let (ca, other) = (TestCa::new(), TestCa::new());
    let scratch = tempfile::tempdir().unwrap();
    let dirs: Vec<PathBuf> = (0..3).map(|i| scratch.path().join(format!("h{i}"))).collect();
    dirs.iter().for_each(|d| ca.issue(d));
    let caller = client(&ca.pem, None);
    let spec = FleetSpec { hosts: 3, tls: dirs.clone(), ..FleetSpec::default() };
    let f = Fleet::start(&spec, Some(caller.clone()));

    // A host is ready only with a lease, which needs the votes of its peers.
    for i in 0..3 {
        let a = f.complete(i, "a0", 10_000);
        assert_eq!(a.status, 200, "{a:?}\n{}", f.log(i));
        assert!(a.body.contains("a0:1#1 "), "{a:?}");
        assert!(exchange(f.hosts[i].http, None, "GET", "/healthz", &[], "").is_none());
    }

    let stranger = scratch.path().join("stranger");
    other.issue(&stranger);
    let guest = client(&ca.pem, Some(&dirs[1]));
    for h in &f.hosts {
        assert!(is_accepted(h.peer, &guest), "a host was rejected by its peer");
        assert!(!is_accepted(h.peer, &caller), "a peer without a certificate was accepted");
        let intruder = client(&ca.pem, Some(&stranger));
        assert!(!is_accepted(h.peer, &intruder), "a peer of another CA was accepted");
    }

    let old = served_certificate(f.hosts[0].http, &caller);
    assert_eq!(old, issued_certificate(&dirs[0]));
    dirs.iter().for_each(|d| ca.issue(d));
    let start = Instant::now();
    for (h, dir) in f.hosts.iter().zip(&dirs) {
        while served_certificate(h.http, &caller) != issued_certificate(dir)
            || served_certificate(h.peer, &guest) != issued_certificate(dir)
        {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "the old certificate is still in use"
            );
            thread::sleep(Duration::from_millis(100));
        }
    }
    assert_ne!(served_certificate(f.hosts[0].http, &caller), old);
    // Longer than a lease lasts, so it was renewed with the old or the new certificates in use.
    thread::sleep(Duration::from_secs(4));
    for i in 0..3 {
        assert_eq!(f.get(i, "/readyz").unwrap().status, 200, "{}", f.log(i));
        assert_eq!(f.complete(i, "a1", 10_000).status, 200);
        assert!(!f.log(i).contains("LeaseLost"), "{}", f.log(i));
    }
}
