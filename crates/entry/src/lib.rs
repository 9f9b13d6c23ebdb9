//! Entry process: caller API and the jobs it owns.
