//! Child processes of an experiment: start, signals, logs and exit.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::{Error, Result};

/// Interval at which the exit of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of log lines that an error contains.
const LOG_TAIL_LINES: usize = 30;

/// A child process; it is killed when this value is dropped, and its log printed if a test failed.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` with its standard error in `dir/NAME.log` and its standard output in
    /// `dir/NAME.out`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the files cannot be written.
    pub fn start(name: &str, program: &Path, args: &[&Path], dir: &Path) -> Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let file = |p: &Path| File::create(p).map_err(|e| Error::File(p.into(), e));
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file(&dir.join(format!("{name}.out")))?)
            .stderr(file(&log)?)
            .spawn()
            .map_err(|e| Error::File(program.into(), e))?;
        Ok(Self { name: name.into(), child, log })
    }

    /// Returns the name given at the start, also that of its log files.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written to its standard output so far.
    pub fn output(&self) -> String {
        fs::read_to_string(self.log.with_extension("out")).unwrap_or_default()
    }

    /// Returns the last lines of standard error followed by standard output.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default() + &self.output();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| Error::UnknownName(self.name.clone()))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Returns the exit status if the process has exited.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Checks that the process still runs.
    ///
    /// # Errors
    ///
    /// The process has exited; the error contains its status and the end of its log.
    pub fn check_running(&mut self) -> Result<()> {
        match self.try_wait() {
            Some(s) => Err(Error::ProcessEnded {
                name: self.name.clone(),
                status: s.to_string(),
                log: self.log_tail(),
            }),
            None => Ok(()),
        }
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// The process still runs after `within`.
    pub async fn wait(&mut self, within: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + within;
        loop {
            if let Some(s) = self.try_wait() {
                return Ok(s);
            }
            if Instant::now() >= end {
                return Err(Error::Timeout { what: format!("{} to exit", self.name), within });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- {} (pid {})\n{}", self.name, self.pid(), self.log_tail());
        }
        self.kill();
    }
}

/// Returns the path of a built binary of this workspace: beside the running executable, or one
/// directory up, as for tests.
///
/// # Errors
///
/// The binary is not built.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let dir = exe.parent().unwrap_or(Path::new("."));
    let found = [Some(dir), dir.parent()].into_iter().flatten().map(|d| d.join(name));
    found.into_iter().find(|p| p.is_file()).ok_or_else(|| Error::Binary(dir.join(name)))
}
