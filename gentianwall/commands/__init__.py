"""What the command lines call."""
