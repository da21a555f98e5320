"""The client side towards workers: attempts, cancels and load polls over persistent connections."""
