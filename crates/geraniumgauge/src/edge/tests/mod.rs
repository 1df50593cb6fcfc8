mod given_up;
mod handover;
mod identity;
mod peers;
mod sender;
mod state;
