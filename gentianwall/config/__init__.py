"""Settings of processes, declarations, routes and the questionnaire."""
