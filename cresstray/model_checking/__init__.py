"""Every schedule of small configurations, on the code that runs in service. A tool of developers."""
