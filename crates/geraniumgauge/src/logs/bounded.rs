//! Writes log lines without ever holding up the thread that logs.

use std::io;
use std::sync;
use std::thread;
use std::time;

/// Bytes that wait for the writer at most. A reader of our output that stops
/// reading would otherwise fill the memory.
const MAX_WAITING: usize = 256 * 1024;
/// Lines a second at most; a storm of failures would otherwise cost the time
/// that is needed to get out of it. Several times what a busy VM writes.
const MAX_LINES: u32 = 400;
/// How long lines gather before they are written together: one wake-up of the
/// writer for all of them.
const GATHER: time::Duration = time::Duration::from_millis(200);

/// A sink of lines with bounds on size and rate. What doesn't fit is dropped,
/// counted, and said in a line of its own.
#[derive(Debug, Clone)]
pub struct Bounded {
    shared: sync::Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    queue: sync::Mutex<Queue>,
    filled: sync::Condvar,
}

#[derive(Debug, Default)]
struct Queue {
    text: Vec<u8>,
    dropped: u64,
    second: Option<time::Instant>,
    lines: u32,
    writing: bool,
}

impl Bounded {
    /// A sink that writes to `output` from a thread of its own.
    ///
    /// # Errors
    /// Where the thread can't be started.
    pub fn start(output: impl io::Write + Send + 'static) -> io::Result<Self> {
        let shared = sync::Arc::new(Shared::default());
        let sink = Self {
            shared: shared.clone(),
        };
        let writer = thread::Builder::new().name("logs".to_owned());
        writer.spawn(move || write(&shared, output))?;
        Ok(sink)
    }

    /// Takes one line, without its end; drops it where there is no room.
    pub fn push(&self, line: &str, now: time::Instant) {
        let mut queue = lock(&self.shared.queue);
        if !queue.admits(line.len(), now) {
            queue.dropped += 1;
            return;
        }
        queue.text.extend_from_slice(line.as_bytes());
        queue.text.push(b'\n');
        drop(queue);
        self.shared.filled.notify_one();
    }

    /// Waits until everything was written, for `wait` at most.
    pub fn flush(&self, wait: time::Duration) {
        let until = time::Instant::now() + wait;
        while time::Instant::now() < until {
            let queue = lock(&self.shared.queue);
            if queue.text.is_empty() && !queue.writing {
                return;
            }
            drop(queue);
            thread::sleep(time::Duration::from_millis(5));
        }
    }
}

impl Queue {
    fn admits(&mut self, len: usize, now: time::Instant) -> bool {
        let second = *self.second.get_or_insert(now);
        if now.saturating_duration_since(second) >= time::Duration::from_secs(1) {
            self.second = Some(now);
            self.lines = 0;
        }
        if self.lines >= MAX_LINES || self.text.len() + len >= MAX_WAITING {
            return false;
        }
        self.lines += 1;
        true
    }

    fn take(&mut self) -> Vec<u8> {
        let mut text = std::mem::take(&mut self.text);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            let line = serde_json::json!({
                "level": "WARN",
                "target": module_path!(),
                "message": "log lines dropped",
                "lines": dropped,
            });
            text.extend_from_slice(format!("{line}\n").as_bytes());
        }
        self.writing = true;
        text
    }
}

fn write(shared: &Shared, mut output: impl io::Write) {
    loop {
        let mut queue = lock(&shared.queue);
        queue.writing = false;
        while queue.text.is_empty() {
            queue = shared
                .filled
                .wait(queue)
                .unwrap_or_else(sync::PoisonError::into_inner);
        }
        drop(queue);
        thread::sleep(GATHER);
        let text = lock(&shared.queue).take();
        // There is nowhere left to report a failing output to.
        let _ = output.write_all(&text);
        let _ = output.flush();
    }
}

fn lock(queue: &sync::Mutex<Queue>) -> sync::MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
