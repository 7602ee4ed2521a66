"""The stages that a submission passes, and the module's port on sockets."""
