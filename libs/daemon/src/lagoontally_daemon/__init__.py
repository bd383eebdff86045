"""The balancer process and its composition root."""
