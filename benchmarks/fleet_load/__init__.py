"""Model of a fleet under load: real entries in virtual time, model servers."""
