//! What homes tell and ask the quarantine of requests that crash upstreams.

use std::sync;

use super::state;
use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::tracker;

/// Tells which requests are suspected of crashing upstreams.
pub trait Guard: Send + Sync {
    /// Records that a connection to `upstream` was lost while it ran the request.
    fn connection_lost(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        upstream: &ids::Upstream,
        run: tracker::Run,
    );

    /// Returns whether a canary of the request may be sent. If not, the mark is sent to
    /// `coordinator`, which can't know it yet.
    fn admits_canary(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        coordinator: &ids::Vm,
    ) -> bool;
}

impl Guard for quarantine::Service {
    fn connection_lost(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        upstream: &ids::Upstream,
        run: tracker::Run,
    ) {
        self.connection_lost(service, fingerprint, upstream, run);
    }

    fn admits_canary(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        coordinator: &ids::Vm,
    ) -> bool {
        if self.verdict(service, fingerprint) == quarantine::Verdict::Clear {
            return true;
        }
        self.send_mark(service, fingerprint, coordinator);
        false
    }
}

/// The way to the guard of one VM's homes; `None` in the baseline, which has no guard.
pub(super) struct Handle(pub(super) Option<sync::Arc<dyn Guard>>);

impl Handle {
    /// Returns whether the call may be sent.
    pub(super) fn admits(&self, job: &state::Job) -> bool {
        let Some((guard, (service, fingerprint))) = self.0.as_ref().zip(request(job)) else {
            return true;
        };
        job.kind != message::Kind::Canary
            || guard.admits_canary(&service, fingerprint, &job.id.coordinator)
    }

    /// Records the loss of a call's connection.
    pub(super) fn lost(&self, job: &state::Job) {
        let Some((guard, (service, fingerprint))) = self.0.as_ref().zip(request(job)) else {
            return;
        };
        let run = match job.kind {
            message::Kind::Canary => tracker::Run::Canary,
            message::Kind::Trial => tracker::Run::Trial,
            _ => tracker::Run::Concurrent,
        };
        guard.connection_lost(&service, fingerprint, &job.upstream, run);
    }
}

/// Returns the service and the fingerprint of a search; `None` for a record.
fn request(job: &state::Job) -> Option<(ids::Service, ids::Fingerprint)> {
    let state::Work::Search { batch, .. } = &job.work else {
        return None;
    };
    let service = batch.service.parse().ok()?;
    Some((service, ids::Fingerprint(batch.fingerprint)))
}
