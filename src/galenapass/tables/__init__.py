"""Hold the entities, one slotted class each, in tables keyed by their identifier."""
