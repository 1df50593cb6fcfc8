mod admission;
mod large;
mod member;
pub(crate) mod messages;
mod service;
mod start;
mod state;
mod wire;
pub(crate) mod world;
