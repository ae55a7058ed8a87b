"""Settings in KDL files: decoded into typed records; what is wrong is reported with file and line."""
