"""Forward requests by route to targets that are registered in a store."""
