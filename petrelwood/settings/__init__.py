"""KDL files, decoded once into named shapes; what is wrong is told with file and line."""
