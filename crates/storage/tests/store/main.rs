//! Tests of the store on real files.

mod crash;
mod damage;
mod folder;
mod restart;
