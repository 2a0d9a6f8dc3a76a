"""Durable storage: two slots written in turn and a short log between. It knows nothing about what is stored."""
