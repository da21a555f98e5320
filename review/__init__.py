"""Independent review: cases and their stand-ins."""
