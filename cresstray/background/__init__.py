"""Background jobs of a gateway: run between requests, within a time budget, and ended in order.

See docs/background.md.
"""
