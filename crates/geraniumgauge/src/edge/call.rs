//! One call to one upstream: how it is encoded and its reply interpreted.

use std::net;
use std::rc;
use std::time;

use crate::edge::pool;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// The content of a request, shared by all of its calls.
#[derive(Debug)]
pub(super) struct Message {
    /// The request id that the caller set.
    pub(super) id: String,
    /// The request line and headers, each with its line ending.
    pub(super) head: bytes::Bytes,
    /// The request body.
    pub(super) body: bytes::Bytes,
    /// Whether the request has a body, which may be empty.
    pub(super) has_body: bool,
    /// Whether the method is HEAD, so that replies have no body.
    pub(super) head_only: bool,
    /// Whether the request is a search, whose replies are merged into one answer.
    pub(super) sharded: bool,
    /// When the caller stops waiting for an answer.
    pub(super) deadline: clock::Moment,
}

/// Size up to which a body is copied behind the head, which saves a write.
const SMALL_BODY: usize = 16 << 10;

impl Message {
    /// Encodes a call to `upstream` into `out`. Returns the body that is to be sent after it;
    /// empty if `out` has it.
    pub(super) fn write(
        &self,
        names: &h1::Names,
        upstream: &registry::Entry,
        now: clock::Moment,
        out: &mut Vec<u8>,
    ) -> bytes::Bytes {
        use std::io::Write as _;
        out.extend_from_slice(&self.head);
        let timeout_ms = now.until(self.deadline).as_millis().max(1);
        // Writing to memory can't fail.
        let _ = write!(
            out,
            "{}: {}\r\n{}: {timeout_ms}\r\n",
            names.only_upstream, upstream.id, names.time_left
        );
        if self.has_body {
            let _ = write!(out, "content-length: {}\r\n", self.body.len());
        }
        out.extend_from_slice(b"\r\n");
        if self.body.len() > SMALL_BODY {
            return self.body.clone();
        }
        out.extend_from_slice(&self.body);
        bytes::Bytes::new()
    }

    /// Returns the fingerprint of the request line and body, which is the same when the
    /// caller repeats the request.
    pub(super) fn fingerprint(&self) -> ids::Fingerprint {
        let line = self.head.split(|byte| *byte == b'\r').next();
        ids::Fingerprint::of_request(line.unwrap_or_default(), &self.body)
    }

    /// Classifies a reply to the call.
    pub(super) fn verdict(&self, reply: h1::Reply) -> forward::Verdict {
        let success = (200..300).contains(&reply.status);
        let signed = reply.signature.is_some();
        if reply.status == 421 {
            return forward::Verdict::Misdirected;
        }
        if reply.not_run {
            return forward::Verdict::NotRun;
        }
        if reply.has_content_encoding || !signed && success {
            return forward::Verdict::Lost;
        }
        // A status below 500 concerns the request itself, so another upstream would
        // answer the same.
        let own_answer = !self.sharded && reply.status < 500;
        if success || own_answer {
            return forward::Verdict::Good(reply);
        }
        forward::Verdict::Failure(reply)
    }
}

/// The owner of a call, to which its end is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Owner {
    /// A part of this VM's job `job`, which may be over.
    Job { job: u64, part: usize },
    /// A requester's batch. `remote` is the requester's id of the call.
    Batch { batch: u64, remote: u64 },
}

impl Owner {
    /// Returns the part of `job` that `send` is for.
    pub(super) fn of(job: u64, send: &forward::Send) -> Self {
        Self::Job {
            job,
            part: send.part,
        }
    }
}

/// The relay that makes a call.
#[derive(Debug)]
pub(super) struct Via {
    /// The relay's address.
    pub(super) relay: net::SocketAddr,
    /// This VM's permit, with which it may send the call itself; `None` if the relay charges
    /// a budget of its own.
    pub(super) permit: Option<forward::Permit>,
}

/// A call in progress.
#[derive(Debug)]
pub(super) struct Call {
    /// The owner, to which the end is delivered.
    pub(super) owner: Owner,
    /// The upstream that is called.
    pub(super) upstream: registry::Handle,
    /// When the call began.
    pub(super) began: clock::Moment,
    /// The request that is sent.
    pub(super) message: rc::Rc<Message>,
    /// The connection to which the call was written.
    pub(super) link: Option<pool::Link>,
    /// The relay that makes the call; `None` where this VM makes it.
    pub(super) via: Option<Via>,
    /// Typical duration of such calls.
    pub(super) typical_call_time: time::Duration,
    /// Whether the result is no longer wanted.
    pub(super) abandoned: bool,
    /// Whether its relay can't be asked any more what became of it.
    pub(super) unwatched: bool,
}

impl Call {
    /// Creates a call that begins now.
    pub(super) fn new(
        owner: Owner,
        upstream: registry::Handle,
        message: rc::Rc<Message>,
        typical_call_time: time::Duration,
        now: clock::Moment,
    ) -> Self {
        Self {
            owner,
            upstream,
            began: now,
            message,
            link: None,
            via: None,
            typical_call_time,
            abandoned: false,
            unwatched: false,
        }
    }

    /// Returns what the upstream's health is updated from.
    pub(super) fn made(&self) -> forward::StartedCall {
        forward::StartedCall {
            upstream: self.upstream,
            began: self.began,
            typical_call_time: self.typical_call_time,
        }
    }
}
