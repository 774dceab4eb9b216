//! Temporary directory in which a test runs the binary, and a fake host that it can call.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};

use tempfile::TempDir;

pub struct Workdir {
    dir: TempDir,
}

/// Exit code and output of a run.
pub struct Run {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

impl Workdir {
    pub fn new() -> Self {
        Self { dir: tempfile::tempdir().unwrap() }
    }

    /// Writes a file and creates its parent directories.
    pub fn write(&self, name: &str, text: impl AsRef<[u8]>) -> &Self {
        let path = self.dir.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
        self
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.dir.path().join(name)).unwrap()
    }

    /// File names in a directory.
    pub fn list(&self, name: &str) -> Vec<String> {
        let entries = fs::read_dir(self.dir.path().join(name)).unwrap();
        entries.map(|e| e.unwrap().file_name().into_string().unwrap()).collect()
    }

    /// Runs the binary; `args` are separated by whitespace.
    pub fn run(&self, args: &str) -> Run {
        let output = Command::new(env!("CARGO_BIN_EXE_yuccawing"))
            .args(args.split_whitespace())
            .current_dir(self.dir.path())
            .output()
            .unwrap();
        Run::new(output)
    }

    /// Runs the binary, asserts success and returns standard output.
    pub fn ok(&self, args: &str) -> String {
        let run = self.run(args);
        assert_eq!(run.code, Some(0), "{}{}", run.out, run.err);
        run.out
    }

    /// Runs the binary, asserts exit code 1 and returns standard error.
    pub fn fail(&self, args: &str) -> String {
        let run = self.run(args);
        assert_eq!(run.code, Some(1), "{}{}", run.out, run.err);
        run.err
    }
}

impl Run {
    fn new(o: Output) -> Self {
        let text = |b| String::from_utf8(b).unwrap();
        Self { code: o.status.code(), out: text(o.stdout), err: text(o.stderr) }
    }
}

/// Returns an address on which nothing listens.
pub fn unused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts a host that answers one call with each of `answers` (status and body). `REQUEST` in a
/// body is replaced with the request line, `KEY` with the bearer token.
pub fn fake_host(answers: &[(u16, &str)]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let answers: Vec<_> = answers.iter().map(|(s, b)| (*s, (*b).to_owned())).collect();
    thread::spawn(move || {
        for (status, body) in answers {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
                head.push(byte[0]);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let key = head.lines().find_map(|l| l.split_once("Bearer ")).map_or("", |(_, k)| k);
            let body = body.replace("REQUEST", head.lines().next().unwrap_or(""));
            let body = body.replace("KEY", key);
            let length = body.len();
            let _ = write!(
                stream,
                "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
        }
    });
    addr
}
