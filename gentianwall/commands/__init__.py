"""Functions that carry out the commands of the command lines."""
