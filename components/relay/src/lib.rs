//! Exchange between a caller and a target connection.
