"""Implementation of the commands of `gentianwalld` and `gentianwallctl`."""
