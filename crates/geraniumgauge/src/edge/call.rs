//! One call to one upstream: its bytes, and what its reply means.

use std::net;
use std::rc;
use std::time;

use crate::edge::pool;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// What all calls of one request share.
#[derive(Debug)]
pub(super) struct Message {
    /// The caller's id of the request.
    pub(super) id: String,
    /// Request line and headers, each with its line end.
    pub(super) head: bytes::Bytes,
    /// The body.
    pub(super) body: bytes::Bytes,
    /// Whether the caller stated a body.
    pub(super) has_body: bool,
    /// Whether replies have no body.
    pub(super) head_only: bool,
    /// Whether replies are parts of an answer.
    pub(super) sharded: bool,
    /// When nobody waits any more.
    pub(super) deadline: clock::Moment,
}

impl Message {
    /// The bytes of a call to `upstream`, into `out`.
    pub(super) fn write(
        &self,
        names: &h1::Names,
        upstream: &registry::Entry,
        now: clock::Moment,
        out: &mut Vec<u8>,
    ) {
        use std::io::Write as _;
        out.extend_from_slice(&self.head);
        let left = now.until(self.deadline).as_millis().max(1);
        // Writing to memory can't fail.
        let _ = write!(
            out,
            "{}: {}\r\n{}: {left}\r\n",
            names.only_upstream, upstream.id, names.time_left
        );
        if self.has_body {
            let _ = write!(out, "content-length: {}\r\n", self.body.len());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
    }

    /// What makes the request the same when its caller sends it again.
    pub(super) fn fingerprint(&self) -> ids::Fingerprint {
        let line = self.head.split(|byte| *byte == b'\r').next();
        ids::Fingerprint::of_request(line.unwrap_or_default(), &self.body)
    }

    /// What a reply to the call means.
    pub(super) fn verdict(&self, reply: h1::Reply) -> forward::Verdict {
        let success = (200..300).contains(&reply.status);
        let signed = reply.signature.is_some();
        if reply.status == 421 {
            return forward::Verdict::Misdirected;
        }
        if reply.not_run {
            return forward::Verdict::NotRun;
        }
        if reply.coded || !signed && success {
            return forward::Verdict::Lost;
        }
        // A refusal that the upstream made for the request's own sake is the
        // answer; asking another upstream wouldn't change it.
        let own_answer = !self.sharded && reply.status < 500;
        if success || own_answer {
            return forward::Verdict::Good(reply);
        }
        forward::Verdict::Failure(reply)
    }
}

/// Who waits for a call's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Owner {
    /// A part of a request of this VM; the request may be over.
    Job { job: u64, part: usize },
    /// Another VM, which knows the call by the number `remote`.
    Ask { ask: u64, remote: u64 },
}

impl Owner {
    /// The part of request `job` that `send` is for.
    pub(super) fn of(job: u64, send: &forward::Send) -> Self {
        Self::Job {
            job,
            part: send.part,
        }
    }
}

/// A call that was begun and hasn't ended.
#[derive(Debug)]
pub(super) struct Call {
    /// Who waits for its end.
    pub(super) owner: Owner,
    /// Where it goes.
    pub(super) upstream: registry::Handle,
    /// When it began.
    pub(super) began: clock::Moment,
    /// What is sent.
    pub(super) message: rc::Rc<Message>,
    /// The connection it was written to.
    pub(super) link: Option<pool::Link>,
    /// The VM that was asked to make it.
    pub(super) via: Option<net::SocketAddr>,
    /// How long such calls usually take.
    pub(super) usual: time::Duration,
    /// Whether nobody waits for it any more.
    pub(super) orphaned: bool,
}

impl Call {
    /// A call that begins now.
    pub(super) fn new(
        owner: Owner,
        upstream: registry::Handle,
        message: rc::Rc<Message>,
        usual: time::Duration,
        now: clock::Moment,
    ) -> Self {
        Self {
            owner,
            upstream,
            began: now,
            message,
            link: None,
            via: None,
            usual,
            orphaned: false,
        }
    }

    /// What is learned by of its upstream.
    pub(super) fn made(&self) -> forward::StartedCall {
        forward::StartedCall {
            upstream: self.upstream,
            began: self.began,
            typical: self.usual,
        }
    }
}
