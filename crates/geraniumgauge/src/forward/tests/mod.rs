mod blame;
mod budget;
mod hedge;
mod job;
mod merge;
mod relay;
mod standing;
mod world;
