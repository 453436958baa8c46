"""A small deployment on loopback for trying the tool and for testing the docs."""
