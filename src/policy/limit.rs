//! How many requests the owner runs at a target at once.
