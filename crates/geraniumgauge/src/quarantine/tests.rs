mod direct;
mod service;
mod simulation;
mod tracker;
