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
