use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{Direction, Link, Proxy};

/// Limit for an expected response; reached only if a test fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time during which no response must arrive.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Starts an echo server.
fn echo() -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = l.local_addr().unwrap();
    thread::spawn(move || {
        for s in l.incoming().flatten() {
            thread::spawn(move || {
                let (mut r, mut w) = (s.try_clone().unwrap(), s);
                let _ = std::io::copy(&mut r, &mut w);
            });
        }
    });
    addr
}

fn proxied() -> (Proxy, SocketAddr) {
    let p = Proxy::start().unwrap();
    p.register(std::process::id(), "me");
    let addr = p.listen("echo", echo()).unwrap();
    (p, addr)
}

fn round_trip(s: &mut TcpStream, wait: Duration) -> std::io::Result<u8> {
    s.set_read_timeout(Some(wait))?;
    s.write_all(b"x")?;
    let mut b = [0];
    s.read_exact(&mut b)?;
    Ok(b[0])
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against faults applied to the wrong link because the caller was not found.
    a_link_is_the_pair_of_caller_and_target: {
        let (p, addr) = proxied();
        p.update_link("other", "echo", |l| l.cut = true);
        assert_eq!(round_trip(&mut TcpStream::connect(addr).unwrap(), TIMEOUT).unwrap(), b'x');
        let t = p.traffic()[&("me".to_owned(), "echo".to_owned())];
        assert_eq!((t.opened, t.sent, t.received), (1, 1, 1));
    }
    // Guards against a delay applied in one direction only.
    a_delay_applies_to_each_direction: {
        let (p, addr) = proxied();
        let delay = Duration::from_millis(50);
        p.set_link("me", "echo", Link { delay, ..Link::default() });
        let mut s = TcpStream::connect(addr).unwrap();
        round_trip(&mut s, TIMEOUT).unwrap();
        let start = Instant::now();
        round_trip(&mut s, TIMEOUT).unwrap();
        assert!(start.elapsed() >= 2 * delay);
    }
    // Guards against a blocked link that loses bytes or lets them pass.
    blocked_bytes_arrive_when_the_link_is_back: {
        let (p, addr) = proxied();
        let mut s = TcpStream::connect(addr).unwrap();
        round_trip(&mut s, TIMEOUT).unwrap();
        p.update_link("me", "echo", |l| l.blocked = true);
        assert!(round_trip(&mut s, QUIET_TIME).is_err());
        p.update_link("me", "echo", |l| l.blocked = false);
        s.set_read_timeout(Some(TIMEOUT)).unwrap();
        s.read_exact(&mut [0]).unwrap();
    }
    // Guards against a cut that does not close open connections.
    a_cut_ends_open_connections_and_refuses_new_ones: {
        let (p, addr) = proxied();
        let mut s = TcpStream::connect(addr).unwrap();
        round_trip(&mut s, TIMEOUT).unwrap();
        p.update_link("me", "echo", |l| l.cut = true);
        s.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert_eq!(s.read(&mut [0]).unwrap_or(0), 0);
        assert!(round_trip(&mut TcpStream::connect(addr).unwrap(), TIMEOUT).is_err());
    }
    // Guards against a silent connection that works again, and against silenced new connections.
    silence_is_permanent_and_affects_open_connections_only: {
        let (p, addr) = proxied();
        let mut old = TcpStream::connect(addr).unwrap();
        round_trip(&mut old, TIMEOUT).unwrap();
        p.silence("me", "echo", Direction::Back);
        assert!(round_trip(&mut old, QUIET_TIME).is_err());
        assert_eq!(round_trip(&mut TcpStream::connect(addr).unwrap(), TIMEOUT).unwrap(), b'x');
        assert!(round_trip(&mut old, QUIET_TIME).is_err());
    }
}
