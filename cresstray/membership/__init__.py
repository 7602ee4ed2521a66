"""What a gateway keeps on disk, what it believes of it after a restart, and until when."""
