//! Leases of entries and connection quotas.
