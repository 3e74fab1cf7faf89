//! One process of a lab: started from this build, watched, frozen, stopped and ended by its id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// One process of a lab.
#[derive(Debug)]
pub struct LabProcess {
    /// Its name in the lab.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its second listener: the entry's operator port, the agent's local one.
    pub second: Option<SocketAddr>,
    child: Child,
}

impl LabProcess {
    /// Ends the process at once, as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process without ending it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The process's id.
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
        self.thaw();
        self.kill();
    }
}

/// The folder with the binaries of this build.
pub(crate) fn build_folder() -> PathBuf {
    let own = std::env::current_exe().expect("a process knows its program");
    // Tests lie in `deps`, examples in `examples`, both one below the binaries.
    own.parent().and_then(Path::parent).expect("a build folder").to_owned()
}

/// Starts a stand-in.
pub(crate) fn stand_in(folder: &Path, program: &str, name: &str, arguments: &[&str]) -> LabProcess {
    let program = build_folder().join("examples").join(program);
    let mut command = Command::new(&program);
    command.args(["--listen", "127.0.0.1:0"]).args(arguments);
    start(folder, name, &program, command)
}

/// Starts a daemon with these settings.
pub fn daemon(folder: &Path, program: &str, name: &str, settings: &str) -> LabProcess {
    let program = build_folder().join(program);
    let file = folder.join(format!("{name}.ini"));
    std::fs::write(&file, settings).expect("settings can be written");
    let mut command = Command::new(&program);
    command.arg("--settings").arg(&file);
    start(folder, name, &program, command)
}

/// How long a program may take until it listens.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// Starts a program and waits until its log says where it listens.
fn start(folder: &Path, name: &str, program: &Path, mut command: Command) -> LabProcess {
    let path = folder.join(format!("{name}.log"));
    let log = std::fs::File::create(&path).expect("a log file");
    let errors = log.try_clone().expect("a second handle of the log file");
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    let mut child = command.spawn().unwrap_or_else(|error| {
        panic!(
            "{}: {error}; build first with `cargo build --workspace --all-targets`",
            program.display()
        )
    });
    let line = ready_line(&path, &mut child);
    let mut addresses = line
        .split_whitespace()
        .map(|word| word.rsplit('=').next().unwrap_or(word))
        .filter_map(|word| word.parse().ok());
    let address = addresses.next().unwrap_or_else(|| panic!("{name} did not start: {line}"));
    LabProcess { name: name.to_owned(), address, second: addresses.next(), child }
}

/// The line of a log that says where the program listens; the whole log where it has ended.
fn ready_line(path: &Path, child: &mut Child) -> String {
    const LOOK_EVERY: Duration = Duration::from_millis(2);
    let begun = Instant::now();
    loop {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        if let Some(line) = whole.lines().find(|line| line.starts_with("ready ")) {
            return line.to_owned();
        }
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended || begun.elapsed() > START_PATIENCE {
            return text;
        }
        std::thread::sleep(LOOK_EVERY);
    }
}
