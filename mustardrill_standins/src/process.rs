//! Processes of a lab: started from this build, suspended, resumed and terminated by their ids.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// One process of a lab; dropping it kills the process.
#[derive(Debug)]
pub struct LabProcess {
    /// Name in the lab, also of its settings and log files.
    pub name: String,
    /// Address of its main listener, from the `ready` line of its log.
    pub address: SocketAddr,
    /// Address of its second listener: an entry's operator port or an agent's local port.
    pub second_address: Option<SocketAddr>,
    child: Child,
}

impl LabProcess {
    /// Kills the process at once, as a crash would, and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process (SIGSTOP); its connections stay open.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop (SIGTERM), without waiting for it.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process has ended; collects its exit status.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }
}

impl Drop for LabProcess {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// The folder with the binaries of the build that the current program belongs to.
pub(crate) fn build_folder() -> PathBuf {
    let executable = std::env::current_exe().expect("a process knows its program");
    // Tests are in `deps` and examples in `examples`, both one level below the binaries.
    executable.parent().and_then(Path::parent).expect("a build folder").to_owned()
}

/// Starts the example program of a stand-in on a free port.
pub(crate) fn stand_in(folder: &Path, program: &str, name: &str, arguments: &[&str]) -> LabProcess {
    let program = build_folder().join("examples").join(program);
    let mut command = Command::new(&program);
    command.args(["--listen", "127.0.0.1:0"]).args(arguments);
    start_program(folder, name, &program, command)
}

/// Starts a daemon with these settings, written to `NAME.ini` in `folder`.
pub fn daemon(folder: &Path, program: &str, name: &str, settings: &str) -> LabProcess {
    let program = build_folder().join(program);
    let file = folder.join(format!("{name}.ini"));
    std::fs::write(&file, settings).expect("settings can be written");
    let mut command = Command::new(&program);
    command.arg("--settings").arg(&file);
    start_program(folder, name, &program, command)
}

/// How long a program may take from its start until its log says that it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a program with `NAME.log` as its output, and waits until the log names its addresses.
///
/// Panics where the program cannot be started or does not listen within [`START_TIMEOUT`].
fn start_program(folder: &Path, name: &str, program: &Path, mut command: Command) -> LabProcess {
    let path = folder.join(format!("{name}.log"));
    let log = std::fs::File::create(&path).expect("a log file");
    let error_log = log.try_clone().expect("a second handle of the log file");
    command.stdin(Stdio::null()).stdout(log).stderr(error_log);
    let mut child = command.spawn().unwrap_or_else(|error| {
        panic!(
            "{}: {error}; build first with `cargo build --workspace --all-targets`",
            program.display()
        )
    });
    let line = ready_line(&path, &mut child);
    let mut addresses = line
        .split_whitespace()
        .map(|field| field.rsplit('=').next().unwrap_or(field))
        .filter_map(|field| field.parse().ok());
    let address = addresses.next().unwrap_or_else(|| panic!("{name} did not start: {line}"));
    LabProcess { name: name.to_owned(), address, second_address: addresses.next(), child }
}

/// The `ready` line of a log; the complete log where the program ended or timed out without one.
fn ready_line(path: &Path, child: &mut Child) -> String {
    const POLL_INTERVAL: Duration = Duration::from_millis(2);
    let started_at = Instant::now();
    loop {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let complete_lines = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
        if let Some(line) = complete_lines.lines().find(|line| line.starts_with("ready ")) {
            return line.to_owned();
        }
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended || started_at.elapsed() > START_TIMEOUT {
            return text;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
