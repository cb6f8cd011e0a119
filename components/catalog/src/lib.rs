//! Replicated state: settings tree, targets, terms, members.
