"""What the cases of the review share."""
