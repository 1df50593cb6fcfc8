mod sender;
