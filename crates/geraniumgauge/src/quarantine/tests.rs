mod book;
mod direct;
mod service;
mod simulation;
