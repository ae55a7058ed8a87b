"""Scale tests: what each role costs against the size of the fleet, by hollow dispatchers and workers."""
