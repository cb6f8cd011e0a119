//! Log and snapshot files of a control instance.
