//! Store objects that show operators the state of services and VMs.

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
    /// Generation of the accepted document; 0 if there is none.
    pub generation: ids::Generation,
    /// Version of the layout; 0 if there is none.
    pub layout: ids::LayoutVersion,
    /// Result of checking the team's text.
    pub document: Verdict,
    /// Problems found in the layout.
    pub layout_findings: Vec<finding::Finding>,
    /// Number of VMs that apply this generation and layout or newer ones.
    pub in_force: u32,
    /// Number of VMs in the keeper's view.
    pub vms: u32,
    /// Up to [`MAX_BEHIND_LISTED`] VMs that apply an older version or haven't reported.
    pub behind: Vec<ids::Vm>,
    /// Up to [`MAX_BEHIND_LISTED`] VMs that started while the store was unavailable and
    /// apply versions from other members that the store hasn't confirmed yet.
    #[serde(default)]
    pub unconfirmed: Vec<ids::Vm>,
    /// Set if the service was ended.
    pub retired: bool,
    /// The VM that wrote the object.
    pub keeper: ids::Vm,
    /// Time at which it was written, by that VM's clock.
    pub written: time::Wall,
}

/// The object [`REPORTED_KEY`]: reports of the VMs in the keeper's view.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reported {
    /// The VM that wrote the object.
    pub keeper: ids::Vm,
    /// Time at which it was written, by that VM's clock.
    pub written: time::Wall,
    /// The report of every VM in the keeper's view.
    pub vms: collections::BTreeMap<ids::Vm, Report>,
}

/// Store key of the object with the VMs' reports to the keeper, [`Reported`].
pub const REPORTED_KEY: &str = "vms/reported";

/// The keeper's summary of one VM's report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Set if the VM has reported recently.
    pub heard: bool,
    /// Services of which the VM applies older versions than the keeper, at most
    /// [`MAX_BEHIND_LISTED`].
    pub behind: Vec<ids::Service>,
    /// Set if the VM started while the store was unavailable and the store hasn't
    /// confirmed the versions that it applies.
    pub unconfirmed: bool,
}

/// Maximum number of VMs or services in a list of those that are behind or
/// unconfirmed.
pub const MAX_BEHIND_LISTED: usize = 8;

/// Result of checking a team's text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Verdict {
    /// The text is the accepted document.
    Accepted {
        /// Version of `documents/{service}`.
        version: ids::ObjectVersion,
    },
    /// The text has findings; the document accepted before stays in force.
    Refused {
        /// Version of `documents/{service}`.
        version: ids::ObjectVersion,
        /// Problems found in the text.
        findings: Vec<finding::Finding>,
    },
    /// The text was deleted; the document accepted before stays in force.
    Vanished,
    /// The store was restored to an older state; the document in force stays.
    SetBack {
        /// Version of `documents/{service}` that isn't treated as an edit.
        version: ids::ObjectVersion,
        /// The generation that the store held; `None` if it held none.
        stored: Option<ids::Generation>,
    },
}

impl Verdict {
    /// Returns the version of the text; `None` if there is no text.
    pub fn version(&self) -> Option<ids::ObjectVersion> {
        match self {
            Self::Accepted { version }
            | Self::Refused { version, .. }
            | Self::SetBack { version, .. } => Some(*version),
            Self::Vanished => None,
        }
    }
}
