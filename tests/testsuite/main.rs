//! The tests: a module for each feature, and a small support module.

mod path;
mod support;
