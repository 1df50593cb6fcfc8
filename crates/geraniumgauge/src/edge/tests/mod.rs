mod given_up;
mod peers;
mod sender;
mod state;
