mod large;
mod member;
pub(crate) mod news;
mod sending;
mod service;
mod start;
mod state;
mod wire;
pub(crate) mod world;
