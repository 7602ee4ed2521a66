"""One log of bytes that a few keepers agree on, by the Raft algorithm; it knows nothing of what it keeps."""
