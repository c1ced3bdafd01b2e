"""Stand-ins and the deployment that the scripts of the third review share."""
