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
    position: Option<summary::Position>,
    #[prost(fixed64, tag = "3")]
    members: u64,
    #[prost(bool, tag = "4")]
    members_only: bool,
    #[prost(bool, tag = "5")]
    full: bool,
    #[prost(bool, tag = "6")]
    knows_no_other: bool,
}

impl From<&spread::Fetch> for Fetch {
    fn from(fetch: &spread::Fetch) -> Self {
        Self {
            member: Some((&fetch.member).into()),
            position: Some(fetch.position.into()),
            members: fetch.members,
            members_only: fetch.members_only,
            full: fetch.full,
            knows_no_other: fetch.knows_no_other,
        }
    }
}

impl Fetch {
    /// Converts to a request; `None` if the requester's record is invalid.
    pub(crate) fn read(self) -> Option<spread::Fetch> {
        Some(spread::Fetch {
            member: self.member?.member()?,
            position: self.position.unwrap_or_default().into(),
            members: self.members,
            members_only: self.members_only,
            full: self.full,
            knows_no_other: self.knows_no_other,
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
    registrations: Option<registration::Registrations>,
    #[prost(message, optional, tag = "5")]
    redirect: Option<Redirect>,
}

/// Encoding of [`spread::Redirect`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Redirect {
    #[prost(string, repeated, tag = "1")]
    vms: Vec<String>,
    #[prost(uint64, tag = "2")]
    retry_after_us: u64,
}

impl From<&spread::Redirect> for Redirect {
    fn from(redirect: &spread::Redirect) -> Self {
        Self {
            vms: redirect.vms.iter().map(ToString::to_string).collect(),
            retry_after_us: clock::micros(redirect.retry_after),
        }
    }
}

impl From<Redirect> for spread::Redirect {
    fn from(redirect: Redirect) -> Self {
        let vms = redirect.vms.iter().filter_map(|vm| vm.parse().ok());
        Self {
            vms: vms.collect(),
            retry_after: time::Duration::from_micros(redirect.retry_after_us),
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
            redirect: answer.redirect.as_ref().map(Into::into),
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
            redirect: answer.redirect.map(Into::into),
        }
    }
}
