//! Generates the committed protocol code from the .proto file.
