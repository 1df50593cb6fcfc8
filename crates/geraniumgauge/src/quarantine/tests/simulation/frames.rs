//! Frames between VMs, which arrive in the order in which they were sent.

use super::*;

/// Bits of an attempt's number that count within its search.
const ATTEMPT_BITS: u32 = 20;
/// Delay of a frame between two VMs, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 500..3_000;
/// Delay of a frame to the same VM, in microseconds.
const LOCAL_DELAY_MICROS: std::ops::Range<u64> = 10..100;

pub(super) enum Frame {
    Batch {
        search: usize,
        version: Option<ids::IndexVersion>,
        calls: Vec<message::Call>,
    },
    Cancel(Vec<u64>),
    Replies(Vec<message::Reply>),
    Mark(String),
    Inquiry {
        upstreams: Vec<ids::Upstream>,
        asked: clock::Moment,
    },
    Report {
        upstream: ids::Upstream,
        answered: clock::Moment,
    },
}

/// The links between VMs.
#[derive(Default)]
pub(super) struct Links {
    /// When the latest frame of each link arrives.
    busy_until: collections::BTreeMap<(usize, usize), clock::Moment>,
    /// Percentage of frames that are delayed, and all after them with them, as on a VM
    /// that has too much to do.
    pub(super) late_percent: u32,
    /// Maximum delay of such a frame, in microseconds.
    pub(super) late_micros: u64,
}

pub(super) fn first_attempt(search: usize) -> u64 {
    (search as u64) << ATTEMPT_BITS
}

fn search_of(attempt: u64) -> usize {
    (attempt >> ATTEMPT_BITS) as usize
}

impl World {
    pub(super) fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let mut delay = if from == to {
            self.rng.random_range(LOCAL_DELAY_MICROS)
        } else {
            self.rng.random_range(DELAY_MICROS)
        };
        if self.links.late_percent > 0 && self.rng.random_range(0..100) < self.links.late_percent {
            delay += self.rng.random_range(0..self.links.late_micros);
        }
        let at = self.now + time::Duration::from_micros(delay);
        let busy_until = self.links.busy_until.entry((from, to)).or_default();
        *busy_until = at.max(*busy_until);
        let at = *busy_until;
        self.at(at, Event::Delivered { from, to, frame });
    }

    pub(super) fn delivered(&mut self, from: usize, to: usize, frame: Frame) {
        match frame {
            Frame::Batch {
                search,
                version,
                calls,
            } => self.batch(from, to, search, version, calls),
            Frame::Cancel(attempts) => self.cancel(from, &attempts),
            Frame::Replies(replies) => {
                for reply in replies {
                    self.reply(from, reply);
                }
            }
            Frame::Mark(mark) => self.receive(to, &mark),
            Frame::Inquiry { upstreams, asked } => self.inquiry(from, to, upstreams, asked),
            Frame::Report { upstream, answered } => {
                let stats = self.coordinators[to].upstreams.stats(&upstream);
                stats.record_contact(answered);
            }
        }
    }

    /// Delivers a home's reply to its search, also after the search's end.
    fn reply(&mut self, from: usize, reply: message::Reply) {
        let search = search_of(reply.attempt);
        if self.searches[search].answer.is_none() {
            let from = vm_name(from);
            let replies = vec![reply];
            self.handle(search, gather::Event::Replies { from, replies });
            return;
        }
        let state = &self.searches[search];
        if reply.outcome() == message::Outcome::Lost && state.gather.leaves_calls() {
            let (coordinator, fingerprint) = (state.coordinator, state.fingerprint);
            let upstream = reply.upstream.parse().unwrap();
            let run = tracker::Run::Concurrent;
            self.record_loss(coordinator, fingerprint, upstream, run);
        }
    }
}
