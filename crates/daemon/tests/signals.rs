//! Tests of SIGTERM handling with a real host process.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use tempfile::TempDir;

/// A host without a platform. It answers health checks and can be stopped, but is never ready.
struct Host {
    child: Child,
    http: SocketAddr,
    _dir: TempDir,
}

/// An address that was just free. The settings name the port before the process binds it.
fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Host {
    fn start() -> Self {
        let (http, peer, unreachable) = (free_addr(), free_addr(), free_addr());
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("settings.toml");
        let text = format!(
            "name = \"h0\"\nordinal = 0\ndomain = \"a\"\n[listen]\nhttp = \"{http}\"\npeer = \"{peer}\"\n\
             [platform]\nconfig = \"{unreachable}\"\nlist = \"{unreachable}\"\n[plaintext]\ncallers = true\npeers = true\n"
        );
        fs::write(&file, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_yuccawingd"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let host = Self { child, http, _dir: dir };
        let start = Instant::now();
        while host.get("/healthz") != 200 {
            assert!(start.elapsed() < Duration::from_secs(10), "the host does not answer");
            thread::sleep(Duration::from_millis(50));
        }
        host
    }

    /// Status of the response, or 0 without one.
    fn get(&self, path: &str) -> u16 {
        let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let call = || {
            let mut s = TcpStream::connect(self.http).ok()?;
            s.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            s.write_all(text.as_bytes()).ok()?;
            let mut out = String::new();
            s.read_to_string(&mut out).ok()?;
            out.get(9..12)?.parse().ok()
        };
        call().unwrap_or(0)
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    /// Waits until the process has exited and returns how long that took.
    fn wait_ended(&mut self, limit: Duration) -> Duration {
        let start = Instant::now();
        while self.child.try_wait().unwrap().is_none() {
            assert!(start.elapsed() < limit, "the process is still running");
            thread::sleep(Duration::from_millis(10));
        }
        start.elapsed()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a process that exits at once, or refuses callers that still have its address
    // cached.
    first_signal_serves_until_the_address_ttl_has_passed: {
        let mut h = Host::start();
        h.terminate();
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(h.get("/healthz"), 200);
        assert_eq!(h.get("/readyz"), 503);
        let took = h.wait_ended(Duration::from_secs(15));
        assert!(took >= Duration::from_millis(1000), "{took:?}");
    }
    // Guards against a hanging shutdown that operators cannot cut short.
    second_signal_ends_the_process: {
        let mut h = Host::start();
        h.terminate();
        thread::sleep(Duration::from_millis(300));
        assert_eq!(h.get("/healthz"), 200);
        h.terminate();
        let took = h.wait_ended(Duration::from_secs(2));
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
}
