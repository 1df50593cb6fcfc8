use super::*;

#[test]
fn a_line_is_json_with_the_request_beside_the_message() {
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
    assert_eq!(json["request"], "r-1");
    assert_eq!(json["message"], "lost \"a\"\nshard");
}

/// An output that takes nothing until it is told to.
struct Stuck(
    std::sync::mpsc::Receiver<()>,
    std::sync::mpsc::Sender<Vec<u8>>,
);

impl std::io::Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.recv().unwrap();
        self.1.send(bytes.to_vec()).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Story: whoever collects the logs stops reading. Requests must go on as if
/// nothing were, the memory must not fill, and the gap must be seen later.
#[test]
fn a_stuck_output_holds_nobody_up_and_drops_are_said() {
    let (go, gate) = std::sync::mpsc::channel();
    let (seen, written) = std::sync::mpsc::channel();
    let sink = Bounded::start(Stuck(gate, seen)).unwrap();
    let start = time::Instant::now();
    for second in 0..10 {
        for _ in 0..400 {
            sink.push(&"x".repeat(1000), start + time::Duration::from_secs(second));
        }
    }
    go.send(()).unwrap();
    let first = written.recv().unwrap();
    sink.push("one more", start + time::Duration::from_secs(20));
    go.send(()).unwrap();
    let second = written.recv().unwrap();
    assert!(first.len() + second.len() < 1 << 20);
    let text = String::from_utf8([first, second].concat()).unwrap();
    assert!(text.contains("log lines dropped"), "{}", text.len());
}
