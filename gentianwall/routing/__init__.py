"""Selection of routes and servers, and the load data that it is based on."""
