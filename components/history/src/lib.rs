//! Checker of operation histories.
