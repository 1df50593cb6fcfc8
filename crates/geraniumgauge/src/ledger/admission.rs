//! Admission of registrations that may crash upstreams.

use crate::ids;
use crate::quarantine;
use crate::query;

/// Decides whether a registration may run.
#[async_trait::async_trait]
pub trait Admission: Send + Sync {
    /// Returns the isolated trial in which a suspect may run, or `None` if the
    /// registration needs none. Called before the claim.
    ///
    /// # Errors
    /// If the registration may not run now, or not at all; nothing has run.
    async fn admit(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> Result<Option<quarantine::Trial>, query::Refusal>;
}

#[async_trait::async_trait]
impl Admission for quarantine::Service {
    async fn admit(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> Result<Option<quarantine::Trial>, query::Refusal> {
        match self.verdict(service, fingerprint) {
            quarantine::Verdict::Clear => Ok(None),
            quarantine::Verdict::Quarantined => Err(quarantined()),
            quarantine::Verdict::Suspect => match self.trial(service, fingerprint, None).await {
                Ok(trial) => Ok(Some(trial)),
                Err(quarantine::Denied::Quarantined) => Err(quarantined()),
                Err(quarantine::Denied::Later { after, .. }) => {
                    let text = "the record may crash upstreams and must wait for an isolated trial";
                    let refusal = query::Refusal::not_run(query::Code::Unavailable, text);
                    Err(refusal.retry_after(after))
                }
            },
        }
    }
}

fn quarantined() -> query::Refusal {
    let text =
        "the record is quarantined for crashing upstreams; see its mark before sending it again";
    query::Refusal::not_run(query::Code::Quarantined, text)
}
