//! What operators read back about a service: the object `status/{service}`.

use std::collections;

use crate::finding;
use crate::ids;
use crate::time;

/// The object `status/{service}`.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The service.
    pub service: ids::Service,
    /// Generation of the accepted document; 0 where there is none.
    pub generation: ids::Generation,
    /// Version of the layout; 0 where there is none.
    pub layout: ids::LayoutVersion,
    /// What became of the team's text.
    pub document: Verdict,
    /// What is wrong with the layout.
    pub layout_findings: Vec<finding::Finding>,
    /// VMs that apply exactly this generation and this layout.
    pub in_force: u32,
    /// VMs in the keeper's view.
    pub vms: u32,
    /// Up to [`MAX_BEHIND`] VMs that apply something else or haven't reported.
    pub behind: Vec<ids::Vm>,
    /// Up to [`MAX_BEHIND`] VMs that started while the store was out and apply
    /// what other members told them; the store hasn't confirmed it yet.
    #[serde(default)]
    pub unconfirmed: Vec<ids::Vm>,
    /// The service is ended.
    pub retired: bool,
    /// The VM that wrote this.
    pub keeper: ids::Vm,
    /// When it was written, by that VM's clock.
    pub written: time::Wall,
}

/// The object [`REPORTED`]: what the keeper hears of the VMs in its view.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reported {
    /// The VM that wrote this.
    pub keeper: ids::Vm,
    /// When it was written, by that VM's clock.
    pub written: time::Wall,
    /// Every VM in the keeper's view.
    pub vms: collections::BTreeMap<ids::Vm, Report>,
}

/// Store key of [`Reported`].
pub const REPORTED: &str = "vms/reported";

/// What the keeper hears of one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// It has reported of late.
    pub heard: bool,
    /// Services of which it applies something older than the keeper does; at
    /// most [`MAX_BEHIND`].
    pub behind: Vec<ids::Service>,
    /// It started while the store was out, and the store hasn't confirmed what
    /// it applies.
    pub unconfirmed: bool,
}

/// Most VMs that a status names as behind.
pub const MAX_BEHIND: usize = 8;

/// What became of the team's text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Verdict {
    /// It is the accepted document.
    Accepted {
        /// Version of `documents/{service}`.
        version: ids::ObjectVersion,
    },
    /// It has findings; the document accepted before stays in force.
    Refused {
        /// Version of `documents/{service}`.
        version: ids::ObjectVersion,
        /// What is wrong.
        findings: Vec<finding::Finding>,
    },
    /// There is no text; the document accepted before stays in force.
    Vanished,
    /// The store shows an older state; what was in force stays in force.
    SetBack {
        /// Version of `documents/{service}` that is not taken for an edit.
        version: ids::ObjectVersion,
        /// The generation that the store held; `None` where it held none.
        stored: Option<ids::Generation>,
    },
}

impl Verdict {
    /// The version of the text that this is about; `None` where there is none.
    pub fn version(&self) -> Option<ids::ObjectVersion> {
        match self {
            Self::Accepted { version }
            | Self::Refused { version, .. }
            | Self::SetBack { version, .. } => Some(*version),
            Self::Vanished => None,
        }
    }
}
