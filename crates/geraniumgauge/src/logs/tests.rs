use super::*;

#[test]
fn a_line_is_json_with_the_message_and_the_request() {
    let pairs = [("request", "r-1"), ("level", "mine")];
    let arguments = format_args!("lost \"a\"\nshard");
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .target("query")
        .args(arguments)
        .key_values(&pairs)
        .build();
    let line = format("vm-1", time::UNIX_EPOCH, "lost \"a\"\nshard", &record);
    assert!(!line.contains('\n'));
    let json: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(json["time"], "1970-01-01T00:00:00.000Z");
    assert_eq!(json["level"], "WARN");
    assert_eq!(json["kv.level"], "mine");
    assert_eq!(json["vm"], "vm-1");
    assert_eq!(json["build"], SOURCES_VERSION);
    assert_eq!(json["request"], "r-1");
    assert_eq!(json["message"], "lost \"a\"\nshard");
}

/// An output that blocks each write until it is allowed to proceed.
struct Stalled {
    allowed: std::sync::mpsc::Receiver<()>,
    written: std::sync::mpsc::Sender<Vec<u8>>,
}

impl std::io::Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.allowed.recv().unwrap();
        self.written.send(bytes.to_vec()).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The reader of the logs stops reading. Logging must not block, the queue must not
/// fill the memory, and the log must report the dropped lines later.
#[test]
fn a_stalled_output_blocks_no_logging_and_dropped_lines_are_reported() {
    let (allow, allowed) = std::sync::mpsc::channel();
    let (write, written) = std::sync::mpsc::channel();
    let output = Stalled {
        allowed,
        written: write,
    };
    let sink = BoundedSink::start(output).unwrap();
    let start = time::Instant::now();
    for second in 0..10 {
        for _ in 0..400 {
            sink.push(&"x".repeat(1000), start + time::Duration::from_secs(second));
        }
    }
    allow.send(()).unwrap();
    let first = written.recv().unwrap();
    sink.push("one more", start + time::Duration::from_secs(20));
    allow.send(()).unwrap();
    let second = written.recv().unwrap();
    assert!(first.len() + second.len() < 1 << 20);
    let text = String::from_utf8([first, second].concat()).unwrap();
    assert!(text.contains("log lines dropped"), "{}", text.len());
}
