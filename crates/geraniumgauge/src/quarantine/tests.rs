mod book;
mod fleet;
mod service;
