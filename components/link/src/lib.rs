//! Streams of messages between processes over HTTP/2.
