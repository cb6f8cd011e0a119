//! Administration API: types and client.
