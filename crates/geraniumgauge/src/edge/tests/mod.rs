mod given_up;
mod handover;
mod peers;
mod sender;
mod state;
