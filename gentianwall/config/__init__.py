"""Settings of an instance and declarations of operators."""
