mod peers;
mod sender;
