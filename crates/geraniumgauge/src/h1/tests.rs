use tokio_util::codec::Decoder as _;

use super::*;

const NAMES: Names = Names {
    request_id: "request-id",
    time_left: "time-left",
    only_upstream: "only-upstream",
    upstream_id: "upstream-id",
    signature: "signature",
    signatures: "signatures",
    missing: "missing",
    not_run: "not-run",
};

fn request_codec() -> RequestCodec {
    RequestCodec::new(NAMES, rate::Bytes(1024), rate::Bytes(64))
}

fn decode_request(text: &str) -> Result<Option<Request>, Error> {
    request_codec().decode(&mut bytes::BytesMut::from(text))
}

#[test]
fn a_request_keeps_what_may_be_passed_on() {
    let text = "POST /a?b HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nTime-Left: 250\r\n\
        Connection: close, X-Hop\r\nX-Hop: 1\r\nOnly-Upstream: forged\r\nX-Other: 2\r\n\
        Content-Length: 3\r\n\r\nabc";
    let request = decode_request(text).expect("well formed").expect("whole");
    assert_eq!(request.body.as_ref(), b"abc");
    assert_eq!(
        (request.host.as_str(), request.id.as_str()),
        ("one.example", "r1")
    );
    assert_eq!(
        request.time_left,
        Some(std::time::Duration::from_millis(250))
    );
    assert!(request.close);
    let head = String::from_utf8(request.head).expect("text");
    let expected = "POST /a?b HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nX-Other: 2\r\n";
    assert_eq!(head, expected);
}

/// Guards against request smuggling: if the end of a body is ambiguous, an upstream could
/// take part of it for a second request, and run one that wasn't sent as a request.
#[test]
fn requests_that_could_smuggle_another_are_refused() {
    for framing in [
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Content-Length: +3\r\n",
        "Content-Length : 3\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{framing}\r\nabcd");
        assert!(decode_request(&text).is_err(), "{framing}");
    }
}

#[test]
fn heads_and_bodies_over_the_limits_are_refused() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(2000));
    assert!(matches!(decode_request(&long), Err(Error::HeadTooLarge(_))));
    let body = "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
    assert!(matches!(decode_request(body), Err(Error::BodyTooLarge(_))));
    let chunk = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n{}",
        "x".repeat(65)
    );
    assert!(matches!(
        decode_request(&chunk),
        Err(Error::BodyTooLarge(_))
    ));
    let broken = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    assert!(matches!(decode_request(broken), Err(Error::Malformed(_))));
}

/// Returns `count` headers of five bytes each.
fn tiny_headers(count: usize) -> String {
    "a:b\r\n".repeat(count)
}

/// Guards against a request that is refused since it has many headers, though all of them
/// together are within the limit.
#[test]
fn headers_are_limited_by_their_bytes_alone() {
    let request = |count| format!("GET / HTTP/1.1\r\nHost: x\r\n{}\r\n", tiny_headers(count));
    let allowed = request(199);
    assert_eq!(allowed.len(), 1022);
    let decoded = decode_request(&allowed).expect("within the limit");
    let head = decoded.expect("whole").head;
    assert_eq!(head.split(|byte| *byte == b'\n').count(), 2 + 199 + 1);
    let refused = decode_request(&request(200));
    assert!(matches!(refused, Err(Error::HeadTooLarge(_))));
}

/// Guards against an upstream's answer that is lost since it has many headers.
#[test]
fn a_reply_may_have_many_headers() {
    let text = format!("HTTP/1.1 200 OK\r\n{}\r\n", tiny_headers(2000));
    let reply = decode_replies(text.as_bytes(), 100).pop().expect("a reply");
    let lines = reply.headers.iter().filter(|byte| **byte == b'\n');
    assert_eq!(lines.count(), 2000);
}

/// Guards against a request in chunks that is refused since it has many trailers, or long
/// extensions, which the operator's limit allows.
#[test]
fn trailers_and_extensions_are_limited_as_headers_are() {
    let request = |extension: usize, trailers| {
        format!(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;{}\r\na\r\n0\r\n{}\r\n",
            "e".repeat(extension),
            tiny_headers(trailers)
        )
    };
    let decoded = decode_request(&request(1000, 200)).expect("within the limits");
    assert_eq!(decoded.expect("whole").body.as_ref(), b"a");
    for text in [request(1024, 0), request(0, 205)] {
        let refused = decode_request(&text);
        assert!(matches!(refused, Err(Error::HeadTooLarge(_))));
    }
}

/// Guards against a head that takes time in proportion to the square of its length, as it
/// arrives in small pieces and is parsed from its beginning for each of them.
#[test]
fn a_head_in_small_pieces_is_parsed_a_few_times() {
    let text = format!("GET / HTTP/1.1\r\n{}\r\n", tiny_headers(1000));
    let mut scan = scan::Scan::new(scan::Kind::Head);
    let limit = rate::Bytes(1 << 16);
    let attempts = (1..=text.len()).filter_map(|len| {
        let attempt = scan.next(&text.as_bytes()[..len], limit);
        attempt.expect("within the limit")
    });
    let attempts: Vec<scan::Attempt> = attempts.collect();
    // The length doubles from 1 to 5018 bytes, the last time less than twice.
    assert_eq!(attempts.len(), 14);
    assert!(
        attempts
            .iter()
            .rev()
            .skip(1)
            .all(|attempt| !attempt.complete)
    );
}

/// Guards against a call that waits for the rest of bytes that can't become a reply.
#[test]
fn bytes_that_arent_a_reply_are_refused_before_their_end() {
    let mut codec = ReplyCodec::new(NAMES, rate::Bytes(1 << 16));
    let mut buffer = bytes::BytesMut::from("not a reply");
    assert!(codec.decode(&mut buffer).is_err());
}

/// Decodes the replies in `text`, received in pieces of `step` bytes.
fn decode_replies(text: &[u8], step: usize) -> Vec<Reply> {
    let mut codec = ReplyCodec::new(NAMES, rate::Bytes(1 << 16));
    let mut buffer = bytes::BytesMut::new();
    let mut replies = Vec::new();
    for piece in text.chunks(step.max(1)) {
        buffer.extend_from_slice(piece);
        while let Some(reply) = codec.decode(&mut buffer).expect("well formed") {
            replies.push(reply);
        }
    }
    replies.extend(codec.decode_eof(&mut buffer).expect("well formed"));
    replies
}

quickcheck::quickcheck! {
    fn replies_are_the_same_in_any_pieces(bodies: Vec<(Vec<u8>, bool)>, step: u8) -> bool {
        let mut text = Vec::new();
        for (number, (body, chunked)) in bodies.iter().enumerate() {
            text.extend_from_slice(format!("HTTP/1.1 200 OK\r\nRequest-Id: {number}\r\n").as_bytes());
            if *chunked {
                text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                for chunk in body.chunks(3) {
                    text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    text.extend_from_slice(chunk);
                    text.extend_from_slice(b"\r\n");
                }
                text.extend_from_slice(b"0\r\n\r\n");
            } else {
                text.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
                text.extend_from_slice(body);
            }
        }
        let replies = decode_replies(&text, usize::from(step));
        replies.len() == bodies.len()
            && replies.iter().zip(&bodies).enumerate().all(|(number, (reply, (body, _)))| {
                reply.body == body.as_slice() && reply.id == Some(number.to_string())
            })
    }
}

/// Guards against passing on a truncated reply. A reply without a length is complete
/// only if the connection is closed properly; one that is shorter than its stated
/// length never is.
#[test]
fn a_truncated_reply_is_never_complete() {
    let open = decode_replies(b"HTTP/1.1 200 OK\r\n\r\nab", 4);
    assert_eq!(open[0].body.as_ref(), b"ab");
    assert!(open[0].close);
    let mut codec = ReplyCodec::new(NAMES, rate::Bytes(1 << 16));
    let mut buffer = bytes::BytesMut::from("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
    assert!(codec.decode_eof(&mut buffer).is_err());
}

/// Guards against a reply whose head breaks off and that is taken for a whole one with an
/// empty or short body.
#[test]
fn a_reply_whose_head_breaks_off_is_never_complete() {
    let framings = [
        "Content-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "",
    ];
    let interims = ["", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"];
    let starts = framings
        .into_iter()
        .flat_map(|framing| interims.map(|interim| (framing, interim)));
    for ((framing, interim), head_only) in
        starts.flat_map(|start| [false, true].map(|head_only| (start, head_only)))
    {
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n{framing}\r\n");
        for cut in 0..head.len() {
            let mut codec = ReplyCodec::new(NAMES, rate::Bytes(1 << 16));
            codec.expect(head_only);
            let text = format!("{interim}{}", &head[..cut]);
            let mut buffer = bytes::BytesMut::from(text.as_str());
            let before_end = codec.decode(&mut buffer);
            assert!(matches!(before_end, Ok(None)), "{text:?}");
            let end = codec.decode_eof(&mut buffer);
            assert!(!matches!(end, Ok(Some(_))), "{text:?}");
        }
    }
}

/// Guards against memory that grows with a reply's head without end.
#[test]
fn a_reply_whose_head_has_no_end_is_refused() {
    let mut codec = ReplyCodec::new(NAMES, rate::Bytes(1 << 10));
    let mut buffer = bytes::BytesMut::from("HTTP/1.1 200 OK\r\n");
    for _ in 0..1024 {
        buffer.extend_from_slice(b"A: b\r\n");
        match codec.decode(&mut buffer) {
            Ok(reply) => assert!(reply.is_none()),
            Err(error) => return assert!(matches!(error, Error::HeadTooLarge(_))),
        }
    }
    panic!("{} bytes were kept", buffer.len());
}

/// Makes a call and returns the length of its reply's body. A tenth of the reply is
/// sent each `interval`, and nothing more after `pieces` tenths.
fn call(pieces: usize, interval: std::time::Duration) -> Result<usize, client::Failure> {
    const SIZE: usize = 100_000;
    let body = "a".repeat(SIZE);
    let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n{body}");
    crate::slow_sender::send(reply.as_bytes(), pieces, interval, async |mut stream| {
        let wait = std::time::Duration::from_millis(900);
        let last_received = crate::time::Latest::default();
        let request = b"GET / HTTP/1.1\r\n\r\n";
        let reply = client::exchange(&mut stream, request, wait, NAMES, &last_received).await;
        reply.map(|(reply, _)| reply.body.len())
    })
}

/// Guards against a store that counts as unavailable while its large reply is still
/// arriving over a slow link.
#[test]
fn a_reply_is_read_as_long_as_bytes_arrive() {
    let length = call(11, std::time::Duration::from_millis(250));
    assert_eq!(length.ok(), Some(100_000));
}

/// Guards against waiting for a store that stops sending in the middle of a reply, or
/// never completes one.
#[test]
fn a_reply_that_stops_arriving_times_out() {
    for (pieces, interval) in [(4, 100), (11, 800)] {
        let interval = std::time::Duration::from_millis(interval);
        let failure = call(pieces, interval);
        assert!(
            matches!(failure, Err(client::Failure::Silent)),
            "{failure:?}"
        );
    }
}
