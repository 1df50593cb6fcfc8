mod broadcast;
mod service;
mod simulation;
mod tracker;
