//! Health of targets and changes of primary.
