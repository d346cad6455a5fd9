"""Messages between entries and control instances, and the entries' client."""
