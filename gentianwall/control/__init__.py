"""Messages between entries and the control instances, and both ends."""
