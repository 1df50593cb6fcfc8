mod book;
mod direct;
mod fleet;
mod service;
