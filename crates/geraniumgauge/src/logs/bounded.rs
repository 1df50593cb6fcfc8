//! Log writer that never blocks the thread that logs.

use std::io;
use std::sync;
use std::thread;
use std::time;

/// Largest number of bytes queued for the writer. Without the limit, a stalled reader
/// of the output would let the queue fill the memory.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Largest number of lines per second, several times what a busy VM writes. Without
/// the limit, logging many failures would take the processor time that is needed to
/// recover from them.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Delay between the first queued line and the write, so that the writer wakes up
/// once for many lines.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(200);
/// Interval at which [`BoundedSink::flush`] checks the queue.
const FLUSH_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Log sink with limits on queue size and rate. Lines over the limits are dropped and
/// counted; a separate log line reports their number.
#[derive(Debug, Clone)]
pub struct BoundedSink {
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
    second_start: Option<time::Instant>,
    lines_in_second: u32,
    writing: bool,
}

impl BoundedSink {
    /// Returns a sink that writes to `output` from its own thread.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(output: impl io::Write + Send + 'static) -> io::Result<Self> {
        let shared = sync::Arc::new(Shared::default());
        let sink = Self {
            shared: shared.clone(),
        };
        let writer = thread::Builder::new().name("logs".to_owned());
        writer.spawn(move || write(&shared, output))?;
        Ok(sink)
    }

    /// Queues one line, given without its line break, or drops it if a limit is
    /// reached.
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

    /// Waits until all queued lines are written, but no longer than `timeout`.
    pub fn flush(&self, timeout: time::Duration) {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            let queue = lock(&self.shared.queue);
            if queue.text.is_empty() && !queue.writing {
                return;
            }
            drop(queue);
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl Queue {
    fn admits(&mut self, len: usize, now: time::Instant) -> bool {
        let start = *self.second_start.get_or_insert(now);
        if now.saturating_duration_since(start) >= time::Duration::from_secs(1) {
            self.second_start = Some(now);
            self.lines_in_second = 0;
        }
        if self.lines_in_second >= MAX_LINES_PER_SECOND || self.text.len() + len >= MAX_QUEUED_BYTES
        {
            return false;
        }
        self.lines_in_second += 1;
        true
    }

    fn take(&mut self) -> Vec<u8> {
        let mut text = std::mem::take(&mut self.text);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            let now = time::SystemTime::now();
            let line = serde_json::json!({
                "time": humantime::format_rfc3339_millis(now).to_string(),
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
        thread::sleep(WRITE_DELAY);
        let text = lock(&shared.queue).take();
        // A failure of the log output can't be reported anywhere.
        let _ = output.write_all(&text);
        let _ = output.flush();
    }
}

fn lock(queue: &sync::Mutex<Queue>) -> sync::MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
