mod admission;
mod large;
mod member;
pub(crate) mod news;
mod service;
mod start;
mod state;
mod wire;
pub(crate) mod world;
