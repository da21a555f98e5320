"""The client side towards workers: attempts, cancellations and load-report polls over kept connections."""
