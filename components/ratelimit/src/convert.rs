//! Conversions to and from the wire messages, which give tenants by name.

use std::time::Duration;

use anyhow::{Error, Result, ensure};

use crate::{Claim, Grant, Issue, MAX_NEEDS, Need};

impl TryFrom<wire::Claim> for Claim<String> {
    type Error = Error;

    fn try_from(claim: wire::Claim) -> Result<Self> {
        check_length(claim.needs.len())?;
        ensure!(
            claim.number > claim.received,
            "claim {} counts issue {}, which is not earlier",
            claim.number,
            claim.received
        );
        let needs = claim.needs.into_iter().map(|need| Need {
            tenant: need.tenant,
            held: need.held,
            waiting: need.waiting,
            ahead: need.ahead,
            share_milli: need.share_milli,
        });
        Ok(Self {
            number: claim.number,
            received: claim.received,
            proxies: claim.proxies,
            needs: needs.collect(),
        })
    }
}

impl From<Issue<String>> for wire::Issue {
    fn from(issue: Issue<String>) -> Self {
        let grants = issue.grants.into_iter().map(|grant| wire::Grant {
            tenant: grant.tenant,
            tokens: grant.tokens,
            retry_in_ms: whole_millis(grant.retry_in),
            share_milli: grant.share_milli,
        });
        Self {
            number: issue.number,
            grants: grants.collect(),
        }
    }
}

impl<T> Claim<T> {
    /// The message for this claim of the proxy `instance`. `name` gives the name of a tenant; needs of
    /// tenants without one are left out.
    pub fn to_wire<'a>(&self, instance: &str, name: impl Fn(&T) -> Option<&'a str>) -> wire::Claim {
        let needs = self.needs.iter().filter_map(|need| {
            Some(wire::Need {
                tenant: name(&need.tenant)?.to_owned(),
                held: need.held,
                waiting: need.waiting,
                ahead: need.ahead,
                share_milli: need.share_milli,
            })
        });
        wire::Claim {
            number: self.number,
            received: self.received,
            proxies: self.proxies,
            instance: instance.to_owned(),
            needs: needs.collect(),
        }
    }
}

impl<T> Issue<T> {
    /// The issue in a message. `tenant` finds a tenant by name; grants for unknown names are left
    /// out.
    ///
    /// # Errors
    /// Fails if the message holds more than [`MAX_NEEDS`] grants.
    pub fn from_wire(issue: &wire::Issue, tenant: impl Fn(&str) -> Option<T>) -> Result<Self> {
        check_length(issue.grants.len())?;
        let grants = issue.grants.iter().filter_map(|grant| {
            Some(Grant {
                tenant: tenant(&grant.tenant)?,
                tokens: grant.tokens,
                retry_in: Duration::from_millis(grant.retry_in_ms.into()),
                share_milli: grant.share_milli,
            })
        });
        Ok(Self {
            number: issue.number,
            grants: grants.collect(),
        })
    }
}

fn check_length(length: usize) -> Result<()> {
    ensure!(
        length <= MAX_NEEDS,
        "{length} tenants in a message, more than {MAX_NEEDS}"
    );
    Ok(())
}

/// Rounded up: a caller that comes back early finds no token.
fn whole_millis(duration: Duration) -> u32 {
    let millis = duration.as_nanos().div_ceil(1_000_000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}
