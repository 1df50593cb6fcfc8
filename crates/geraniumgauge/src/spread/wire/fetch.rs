//! Encoding of requests and answers in frames between VMs.

use std::time;

use crate::spread;
use crate::spread::wire::member;
use crate::spread::wire::registration;
use crate::spread::wire::summary;
use crate::time as clock;

/// Encoding of [`spread::Fetch`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct Fetch {
    #[prost(message, optional, tag = "1")]
    member: Option<member::Member>,
    #[prost(message, optional, tag = "2")]
    holds: Option<summary::Holds>,
    #[prost(fixed64, tag = "3")]
    members: u64,
    #[prost(bool, tag = "4")]
    brief: bool,
    #[prost(bool, tag = "5")]
    whole: bool,
    #[prost(bool, tag = "6")]
    alone: bool,
}

impl From<&spread::Fetch> for Fetch {
    fn from(fetch: &spread::Fetch) -> Self {
        Self {
            member: Some((&fetch.member).into()),
            holds: Some(fetch.holds.into()),
            members: fetch.members,
            brief: fetch.brief,
            whole: fetch.whole,
            alone: fetch.alone,
        }
    }
}

impl Fetch {
    /// Converts to a request; `None` if the requester's record is invalid.
    pub(crate) fn read(self) -> Option<spread::Fetch> {
        Some(spread::Fetch {
            member: self.member?.member()?,
            holds: self.holds.unwrap_or_default().into(),
            members: self.members,
            brief: self.brief,
            whole: self.whole,
            alone: self.alone,
        })
    }
}

/// Encoding of [`spread::Answer`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct Answer {
    #[prost(message, required, tag = "1")]
    summary: summary::Summary,
    #[prost(message, repeated, tag = "2")]
    records: Vec<member::Member>,
    #[prost(string, optional, tag = "3")]
    config: Option<String>,
    #[prost(message, optional, tag = "4")]
    registrations: Option<registration::News>,
    #[prost(message, optional, tag = "5")]
    elsewhere: Option<Elsewhere>,
}

/// Encoding of [`spread::Redirect`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Elsewhere {
    #[prost(string, repeated, tag = "1")]
    vms: Vec<String>,
    #[prost(uint64, tag = "2")]
    after_us: u64,
}

impl From<&spread::Elsewhere> for Elsewhere {
    fn from(elsewhere: &spread::Elsewhere) -> Self {
        Self {
            vms: elsewhere.vms.iter().map(ToString::to_string).collect(),
            after_us: clock::micros(elsewhere.after),
        }
    }
}

impl From<Elsewhere> for spread::Elsewhere {
    fn from(elsewhere: Elsewhere) -> Self {
        let vms = elsewhere.vms.iter().filter_map(|vm| vm.parse().ok());
        Self {
            vms: vms.collect(),
            after: time::Duration::from_micros(elsewhere.after_us),
        }
    }
}

impl From<spread::Answer> for Answer {
    fn from(answer: spread::Answer) -> Self {
        Self {
            summary: (&answer.summary).into(),
            records: answer.records.iter().map(member::Member::from).collect(),
            config: answer.config,
            registrations: answer.registrations.as_ref().map(Into::into),
            elsewhere: answer.elsewhere.as_ref().map(Into::into),
        }
    }
}

impl From<Answer> for spread::Answer {
    fn from(answer: Answer) -> Self {
        let records = answer.records.iter();
        Self {
            summary: answer.summary.into(),
            records: records.filter_map(member::Member::read).collect(),
            config: answer.config,
            registrations: answer.registrations.map(Into::into),
            elsewhere: answer.elsewhere.map(Into::into),
        }
    }
}
