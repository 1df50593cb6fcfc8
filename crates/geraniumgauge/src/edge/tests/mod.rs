mod caller;
mod given_up;
mod handover;
mod identity;
mod peers;
mod receiver;
mod sender;
mod state;
