//! Reports to requesters on the calls that this VM makes for them.

use std::time;

use crate::edge::frame;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::time as clock;

impl state::State {
    /// Handles the end of a call of a batch.
    pub(in crate::edge::state) fn batch_call_ended(
        &mut self,
        id: u64,
        remote: u64,
        verdict: forward::Verdict,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let Some(batch) = self.peers.batches.get_mut(&id) else {
            return;
        };
        batch.pending.remove(&remote);
        let whole_replies = batch.whole_replies;
        let (how, reply) = match verdict {
            forward::Verdict::Good(reply) => (frame::How::Good, Some(reply)),
            forward::Verdict::Failure(reply) if whole_replies => (frame::How::Failure, Some(reply)),
            forward::Verdict::Failure(_) => (frame::How::Failure, None),
            forward::Verdict::NotRun => (frame::How::NotRun, None),
            forward::Verdict::Misdirected => (frame::How::Misdirected, None),
            forward::Verdict::AddressLost => (frame::How::AddressLost, None),
            forward::Verdict::NotSent => (frame::How::NotSent, None),
            forward::Verdict::NoBudget => (frame::How::NoBudget, None),
            forward::Verdict::Advised(_) => (frame::How::Advised, None),
            forward::Verdict::Lost => (frame::How::Lost, None),
        };
        let mut end = frame::End::new(remote, how);
        end.took_us = clock::micros(took);
        match reply {
            Some(reply) if whole_replies => self.report_whole(id, end, reply),
            Some(reply) => {
                end.signature = reply.signature.unwrap_or_default();
                batch.replies.push((end, reply.body));
                if batch.immediate || batch.pending.is_empty() {
                    self.report_replies(id, now);
                }
            }
            None => self.report_ends(id, vec![end], now),
        }
    }

    /// Reports the end of a call with the upstream's whole reply.
    fn report_whole(&mut self, id: u64, end: frame::End, reply: h1::Reply) {
        let Some(batch) = self.peers.batches.get(&id) else {
            return;
        };
        let (peer, last) = (batch.peer, batch.pending.is_empty());
        let report = frame::Report {
            replies: vec![frame::Reply::new(end.id, reply)],
            ends: vec![end],
            ..frame::Report::default()
        };
        self.send_report(peer, report);
        if last {
            self.peers.batches.remove(&id);
        }
    }

    /// Reports that the calls of a batch are in progress.
    pub(super) fn report_pending(&mut self, id: u64) {
        let Some(batch) = self.peers.batches.get(&id) else {
            return;
        };
        let pending = batch.pending.keys().copied().collect();
        self.report_merged(id, pending, time::Duration::ZERO);
    }

    /// Reports calls that ended without a good reply. They are reported at once, so
    /// that the requester can call other upstreams.
    pub(super) fn report_ends(&mut self, id: u64, ends: Vec<frame::End>, now: clock::Moment) {
        let Some(batch) = self.peers.batches.get(&id) else {
            return;
        };
        let (peer, last) = (batch.peer, batch.pending.is_empty());
        let report = frame::Report {
            ends,
            ..frame::Report::default()
        };
        self.send_report(peer, report);
        if last {
            self.report_replies(id, now);
        }
    }

    /// Handles the merge time of a batch: reports the merged replies and which calls
    /// are still pending.
    pub(in crate::edge) fn merge_due(&mut self, id: u64) {
        let Some(batch) = self.peers.batches.get_mut(&id) else {
            return;
        };
        batch.immediate = true;
        let pending = batch.pending.keys().copied().collect();
        let due_after = batch.merge_after;
        for call in batch.pending.values() {
            if let Some(call) = self.calls.get(call) {
                self.fleet.health(call.upstream).mark_late();
            }
        }
        self.report_merged(id, pending, due_after);
    }

    /// Reports the good replies of a batch in one merged report.
    fn report_replies(&mut self, id: u64, now: clock::Moment) {
        let Some(batch) = self.peers.batches.get(&id) else {
            return;
        };
        let due_after = if batch.immediate {
            time::Duration::ZERO
        } else {
            now.since(batch.received_at)
        };
        self.report_merged(id, Vec::new(), due_after);
    }

    /// Sends a merged report, and removes the batch if no call is pending. Sends
    /// nothing if there is nothing to report.
    fn report_merged(&mut self, id: u64, pending: Vec<u64>, due_after: time::Duration) {
        let Some(batch) = self.peers.batches.get_mut(&id) else {
            return;
        };
        let replies = std::mem::take(&mut batch.replies);
        let (peer, top_k) = (batch.peer, batch.top_k);
        if batch.pending.is_empty() {
            self.peers.batches.remove(&id);
        }
        if replies.is_empty() && pending.is_empty() {
            return;
        }
        let records = forward::top_records(replies.iter().map(|(_, body)| body.as_ref()), top_k);
        let report = frame::Report {
            ends: replies.into_iter().map(|(end, _)| end).collect(),
            records: records.into(),
            pending,
            due_us: clock::micros(due_after),
            replies: Vec::new(),
        };
        self.send_report(peer, report);
    }

    fn send_report(&mut self, peer: u64, report: frame::Report) {
        self.send_to(peer, frame::Kind::Report(report));
    }

    /// Returns the number of incoming VM connections with unsent bytes.
    pub(in crate::edge) fn senders_writing(&self) -> usize {
        let senders = self.peers.incoming.values();
        senders.filter(|sender| sender.is_writing()).count()
    }

    /// Sends a message over an incoming VM connection. If that isn't possible, ends the
    /// connection: the other VM would wait for the message until its requests' deadlines.
    pub(in crate::edge) fn send_to(&mut self, peer: u64, kind: frame::Kind) {
        let bytes = frame::Frame::bytes(kind);
        let Some(sender) = self.peers.incoming.get(&peer) else {
            return;
        };
        if let Err(error) = sender.send(&bytes) {
            log::info!(
                peer = peer, bytes = bytes.len(), error:% = error;
                "message to VM not sent; connection ended"
            );
            sender.abort();
        }
    }
}
