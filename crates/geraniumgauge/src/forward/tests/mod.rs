mod blame;
mod budget;
mod job;
mod merge;
mod relay;
mod standing;
mod world;
