//! Tests of the store with real files.

mod crash;
mod damage;
mod folder;
mod restart;
