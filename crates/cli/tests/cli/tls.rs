use std::{
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType};
use rustls::{
    ServerConfig, ServerConnection, StreamOwned,
    pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer},
};

use crate::workdir::Workdir;

/// Starts a TLS host that answers any number of calls. Returns the PEM of its CA and its address.
fn tls_host() -> (String, SocketAddr) {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().unwrap();
    let ca = params.self_signed(&key).unwrap().pem();
    let issuer = Issuer::new(params, key);

    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.subject_alt_names = vec![SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST))];
    let key = KeyPair::generate().unwrap();
    let cert = params.signed_by(&key, &issuer).unwrap();
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der()));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![cert.der().clone()], key)
        .unwrap();

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let config = Arc::new(config);
    thread::spawn(move || {
        while let Ok((tcp, _)) = listener.accept() {
            let mut tls = StreamOwned::new(ServerConnection::new(config.clone()).unwrap(), tcp);
            if tls.read(&mut [0; 4096]).is_ok() {
                let _ = tls.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue");
                let _ = tls.flush();
            }
        }
    });
    (ca, addr)
}

// Guards against calls that are not encrypted or that accept a certificate of another CA.
#[test]
fn hosts_are_called_with_their_ca() {
    let ((ca, addr), (other, _)) = (tls_host(), tls_host());
    let w = Workdir::new();
    w.write("ca", ca).write("other", other).write("none", "");
    assert_eq!(w.ok(&format!("status --ca ca {addr}")), "true\n");
    assert!(w.fail(&format!("status --ca other {addr}")).contains(&addr.to_string()));
    assert!(w.fail(&format!("status --ca none {addr}")).contains("no certificates"));
    w.fail(&format!("status {addr}"));
}
