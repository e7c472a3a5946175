"""Define the entities, one slotted class each, in tables keyed by identifier."""
