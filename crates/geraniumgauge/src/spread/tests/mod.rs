mod large;
mod member;
mod sending;
mod service;
mod start;
mod state;
mod wire;
pub(crate) mod world;
