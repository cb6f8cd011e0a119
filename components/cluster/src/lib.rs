//! Shared parts of control instances and coordinators: conversion between messages and their wire
//! types, the data folder, and the queue of writes of the replicated log. For coordinators, which find each other
//! through seeds, also their streams and the maintenance of the member list.

pub mod convert;
pub mod data;
pub mod peers;
pub mod roster;
pub mod writes;

pub use peers::Peers;
pub use roster::Roster;
