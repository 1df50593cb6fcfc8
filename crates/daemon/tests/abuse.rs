//! Abusive clients of the program itself: it lives, stays within the memory of its machine and
//! answers ordinary callers.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy allows these in tests, but not in helpers of integration tests"
)]

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Memory of the machine.
const MEMORY_BYTES: u64 = 160_000_000;
/// Number of file descriptors that the process may open.
const DESCRIPTORS: u64 = 1024;
/// Largest body by default.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time that an ordinary caller waits for an answer, also on a busy machine.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A running `geraniumgauged` without a store, which answers callers that it isn't ready.
struct Daemon {
    child: process::Child,
    callers: net::SocketAddr,
    folder: path::PathBuf,
}

impl Daemon {
    fn start(name: &str) -> Self {
        let ports: Vec<u16> = (0..4)
            .map(|_| net::TcpListener::bind("127.0.0.1:0").unwrap())
            .collect::<Vec<_>>()
            .iter()
            .map(|listener| listener.local_addr().unwrap().port())
            .collect();
        let folder = std::env::temp_dir().join(format!("{name}-{}", process::id()));
        fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("settings.jsonc");
        let text = format!(
            r#"{{"vm": "vm-1", "data_centre": "a", "callers": "127.0.0.1:{}", "operators": "127.0.0.1:{}",
            "mesh": "127.0.0.1:{}", "store": "http://127.0.0.1:{}", "log": {{"file": {:?}}}}}"#,
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            folder.join("log"),
        );
        fs::write(&settings, text).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_geraniumgauged"))
            .arg("--settings")
            .arg(&settings)
            .spawn()
            .unwrap();
        let limit = rustix::process::Rlimit {
            current: Some(DESCRIPTORS),
            maximum: Some(DESCRIPTORS),
        };
        let id = rustix::process::Pid::from_child(&child);
        rustix::process::prlimit(Some(id), rustix::process::Resource::Nofile, limit).unwrap();
        let daemon = Self {
            child,
            callers: net::SocketAddr::from(([127, 0, 0, 1], ports[0])),
            folder,
        };
        for _ in 0..1000 {
            if daemon.answers() {
                return daemon;
            }
            thread::sleep(time::Duration::from_millis(20));
        }
        panic!("the process doesn't start");
    }

    /// Returns whether an ordinary caller gets an answer.
    fn answers(&self) -> bool {
        let Ok(mut stream) = net::TcpStream::connect_timeout(&self.callers, ANSWER_TIMEOUT) else {
            return false;
        };
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let body = "{\"query\": 1}";
        let request = format!(
            "POST /v1/services/desk/search HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut answer = [0; 9];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.starts_with(b"HTTP/1.1 ")
    }

    /// Checks that the process lives and stays within the memory.
    fn check_memory(&mut self, bodies: usize) {
        assert!(self.child.try_wait().unwrap().is_none());
        let resident = self.resident_bytes();
        assert!(resident < MEMORY_BYTES, "{resident} with {bodies} bodies");
    }

    fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.map_or(0, |text| text.parse::<u64>().unwrap() * 1024)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Guards against bodies of legal size, held short of their last bytes, that together take up
/// more memory than the machine has.
#[test]
fn held_bodies_stay_within_the_memory() {
    let mut daemon = Daemon::start("held-bodies");
    let body = vec![b' '; MAX_BODY_BYTES - 1];
    let head = format!(
        "POST /v1/services/desk/search HTTP/1.1\r\nHost: x\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let mut held = Vec::new();
    for number in 0..200 {
        let mut stream = net::TcpStream::connect(daemon.callers).unwrap();
        stream.set_write_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        // It may be refused before the whole body is sent.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&body);
        held.push(stream);
        daemon.check_memory(number);
    }
    // The process reads on what the sockets have taken.
    for _ in 0..100 {
        daemon.check_memory(held.len());
        thread::sleep(time::Duration::from_millis(20));
    }
    assert!(daemon.answers());
}

/// Guards against crowds that send no whole head and so take up all descriptors.
#[test]
fn slow_heads_leave_room_for_callers() {
    let mut daemon = Daemon::start("slow-heads");
    let mut slow = Vec::new();
    for _ in 0..DESCRIPTORS + 200 {
        if let Ok(mut stream) =
            net::TcpStream::connect_timeout(&daemon.callers, time::Duration::from_secs(1))
        {
            let _ = stream.write_all(b"G");
            slow.push(stream);
        }
    }
    assert!(daemon.answers());
    assert!(daemon.child.try_wait().unwrap().is_none());
}
